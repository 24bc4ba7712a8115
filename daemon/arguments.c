/* Parses the program's arguments with argp. */
#include "arguments.h"

#include <argp.h>
#include <stddef.h>

#include "constants.h"

const char *argp_program_version = "ploverloft " PLOVERLOFT_VERSION;

enum option_key { OPTION_CONFIG = 'c', OPTION_OPERATOR_CONFIG = 'o', OPTION_CHECK = 'k' };

static const struct argp_option options[] = {
    {"config", OPTION_CONFIG, "FILE", 0, "the platform's settings (TOML)", 0},
    {"operator-config", OPTION_OPERATOR_CONFIG, "FILE", 0,
     "the operators' own settings (resembles HCL, read by libconfuse)", 0},
    {"check", OPTION_CHECK, NULL, 0, "check the settings and exit", 0},
    {0},
};

static error_t parse_option(int key, char *value, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case OPTION_CONFIG:
		arguments->config = value;
		return 0;
	case OPTION_OPERATOR_CONFIG:
		arguments->operator_config = value;
		return 0;
	case OPTION_CHECK:
		arguments->check_only = true;
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument: %s", value);
		return 0;
	case ARGP_KEY_END:
		if (!arguments->config)
			argp_error(state, "--config FILE is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

void arguments_parse(struct arguments *arguments, int argc, char **argv, int error_status)
{
	static const struct argp parser = {
	    .options = options,
	    .parser = parse_option,
	    .doc = "A controller of the ploverloft cluster scheduler.",
	};

	*arguments = (struct arguments){0};
	argp_err_exit_status = error_status;
	argp_parse(&parser, argc, argv, 0, NULL, arguments);
}
