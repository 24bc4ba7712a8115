/* Memory and file descriptors that a process uses, read from /proc, and the limit of open files. */
#ifndef PLOVERLOFT_PROCESS_USE_H
#define PLOVERLOFT_PROCESS_USE_H

#include <sys/types.h>

/* Returns the process's resident memory in MiB, or 0 if it cannot be read. */
double process_memory_mb(pid_t pid);

/*
 * Returns the number of entries in the process's directory of file descriptors, "." and ".."
 * included, or 0 if it cannot be read.
 */
int process_descriptors(pid_t pid);

/*
 * Raises this process's limit of open files to `wanted` if it is lower. Returns 0, or -1 if the
 * system does not allow it.
 */
int process_raise_file_limit(int wanted);

#endif
