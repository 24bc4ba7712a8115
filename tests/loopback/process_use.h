/* What a process of this system uses, as /proc has it. */
#ifndef PLOVERLOFT_PROCESS_USE_H
#define PLOVERLOFT_PROCESS_USE_H

#include <sys/types.h>

/* The process's resident memory; 0 if it can't be read. */
double process_memory_mb(pid_t pid);

/* Entries of the process's directory of descriptors; 0 if it can't be read. */
int process_descriptors(pid_t pid);

/* Lets this process open so many files: 0, or -1 if it may not. */
int process_raise_files(int wanted);

#endif
