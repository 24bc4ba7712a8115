/* The process's limit of open files. */
#ifndef PLOVERLOFT_OPEN_FILES_H
#define PLOVERLOFT_OPEN_FILES_H

/*
 * Raises the limit of open files to `wanted`, as far as this process may, and returns how many of
 * them it can have open. Fewer than `wanted` are logged.
 */
int open_files_raise(int wanted);

#endif
