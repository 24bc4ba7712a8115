/* The arguments of the program. */
#ifndef PLOVERLOFT_ARGUMENTS_H
#define PLOVERLOFT_ARGUMENTS_H

#include <stdbool.h>

/* The texts are those of the program's `argv`. */
struct arguments {
	const char *config;	     /* path of the platform's settings */
	const char *operator_config; /* path of the operators' settings, or NULL */
	bool check_only;	     /* end after the settings were read */
};

/*
 * Reads the arguments. --help and --version are answered and end the process with status 0; wrong
 * arguments are reported on standard error and end it with `error_status`.
 */
void arguments_parse(struct arguments *arguments, int argc, char **argv, int error_status);

#endif
