/* The process's limit on open files. */
#ifndef PLOVERLOFT_OPEN_FILES_H
#define PLOVERLOFT_OPEN_FILES_H

/*
 * Raises the limit on open files to `wanted`, or to the hard limit if that is lower. Returns the
 * number of files, up to `wanted`, that the process may have open. If they are fewer than
 * `wanted`, this is logged.
 */
int open_files_raise(int wanted);

#endif
