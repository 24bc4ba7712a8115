/*
 * The scenario runner. It runs a scenario file in simulated time: the controllers' cores with
 * stand-ins for the systems around them. A scenario fails if an expectation that it states is not
 * met, or if the checker finds a broken rule. tests/README.md describes the scenario language.
 */
#include <errno.h>
#include <getopt.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "behaviour_trace.h"
#include "scenario.h"
#include "util/log.h"
#include "world.h"

/* Exit statuses of the program. */
enum exit_status { STATUS_PASSED, STATUS_FAILED, STATUS_USAGE };

/* The command line. */
struct options {
	const char *scenario;
	const char *trace; /* path of the file for the controllers' actions; NULL: none */
	bool digest;	   /* true: print the digest of the controllers' actions */
};

/* Parses the command line. Returns false if it is wrong. */
static bool options_parse(struct options *options, int argc, char **argv)
{
	static const struct option long_options[] = {
	    {"digest", no_argument, NULL, 'd'},
	    {"trace", required_argument, NULL, 't'},
	    {0},
	};
	int option;

	while ((option = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
		if (option == 'd')
			options->digest = true;
		else if (option == 't')
			options->trace = optarg;
		else
			return false;
	}
	if (optind != argc - 1)
		return false;
	options->scenario = argv[optind];
	return true;
}

static void set_up_log(void)
{
	const char *level = getenv("LOG_LEVEL");

	log_setup("-", level ? level : "error");
}

/* Creates the trace if one is requested. Returns false if its file cannot be opened. */
static bool set_up_trace(struct world *world, const struct options *options)
{
	if (!options->digest && !options->trace)
		return true;
	world->trace = behaviour_trace_new(options->trace);
	if (!world->trace)
		fprintf(stderr, "trace file %s: cannot be written: %s\n", options->trace,
			strerror(errno));
	return world->trace;
}

static void finish_trace(struct world *world, const struct options *options)
{
	if (options->digest)
		printf("%016" PRIx64 "\n", behaviour_trace_digest(world->trace));
	if (world->trace)
		behaviour_trace_free(world->trace);
}

int main(int argc, char **argv)
{
	static struct world world;
	struct options options = {0};
	FILE *file;

	if (!options_parse(&options, argc, argv)) {
		fprintf(stderr, "usage: runner [--digest] [--trace FILE] SCENARIO\n");
		return STATUS_USAGE;
	}
	file = fopen(options.scenario, "r");
	if (!file) {
		fprintf(stderr, "scenario %s: cannot be read: %s\n", options.scenario,
			strerror(errno));
		return STATUS_USAGE;
	}
	set_up_log();
	world_init(&world, options.scenario);
	world.standin.verbose = log_enabled(LOG_INFO);
	if (!set_up_trace(&world, &options))
		return STATUS_USAGE;
	scenario_run(&world, file);
	fclose(file);
	finish_trace(&world, &options);
	world_free(&world);
	if (world.failures)
		fprintf(stderr, "%s: %d failures\n", options.scenario, world.failures);
	return world.failures ? STATUS_FAILED : STATUS_PASSED;
}
