/* The program: reads the arguments and the settings, and runs a controller. */
#include <stdio.h>
#include <stdlib.h>

#include "arguments.h"
#include "conf/conf.h"
#include "controller.h"
#include "util/log.h"

/* The exit statuses of the program. */
enum exit_status {
	EXIT_VALID = 0,	       /* --check: the settings are valid */
	EXIT_CANNOT_SERVE = 1, /* the controller cannot listen on its addresses */
	EXIT_WRONG_INPUT = 2   /* wrong arguments or settings */
};

static int load_settings(struct conf *conf, const struct arguments *arguments,
			 char error[CONF_ERR_MAX])
{
	if (conf_load(conf, arguments->config, error))
		return -1;
	if (!arguments->operator_config)
		return 0;
	return conf_load_operator(conf, arguments->operator_config, error);
}

int main(int argc, char **argv)
{
	struct arguments arguments;
	char error[CONF_ERR_MAX];
	struct conf conf;
	int status;

	arguments_parse(&arguments, argc, argv, EXIT_WRONG_INPUT);
	if (load_settings(&conf, &arguments, error)) {
		fprintf(stderr, "ploverloft: %s\n", error);
		status = EXIT_WRONG_INPUT;
	} else if (arguments.check_only) {
		puts("settings are valid");
		status = EXIT_VALID;
	} else {
		log_setup(conf.name, getenv("LOG_LEVEL"));
		controller_run(&conf);
		status = EXIT_CANNOT_SERVE;
	}
	conf_free(&conf);
	return status;
}
