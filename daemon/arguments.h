/* The program's arguments. */
#ifndef PLOVERLOFT_ARGUMENTS_H
#define PLOVERLOFT_ARGUMENTS_H

#include <stdbool.h>

/* The arguments as parsed. The texts belong to the program's `argv`. */
struct arguments {
	const char *config;	     /* path of the platform's settings */
	const char *operator_config; /* path of the operators' settings, or NULL */
	bool check_only;	     /* exit once the settings are checked */
};

/*
 * Parses the arguments. --help and --version print their text and end the process with status 0.
 * Wrong arguments are reported on standard error and end the process with `error_status`.
 */
void arguments_parse(struct arguments *arguments, int argc, char **argv, int error_status);

#endif
