/* A list of jobs in the order in which a scheduling cycle places them. */
#ifndef PLOVERLOFT_JOB_LIST_H
#define PLOVERLOFT_JOB_LIST_H

#include <stddef.h>

struct job;

struct job_list {
	struct job **jobs; /* the list's creator frees the array, never the jobs */
	size_t count;
};

#endif
