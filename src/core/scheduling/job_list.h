/* A list of jobs in the order in which they are served. */
#ifndef PLOVERLOFT_JOB_LIST_H
#define PLOVERLOFT_JOB_LIST_H

#include <stddef.h>

struct job;

struct job_list {
	struct job **jobs; /* the array is owned by whoever made the list, the jobs never */
	size_t count;
};

#endif
