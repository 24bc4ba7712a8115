/*
 * Plays a scenario file: controllers' cores against the stand-ins, in simulated time. Every
 * scenario runs under the checker of the rules and says what it expects. See tests/README.md.
 */
#include <getopt.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "behaviour_trace.h"
#include "scenario.h"
#include "util/log.h"
#include "world.h"

/* Exit status of the program. */
enum exit_status { STATUS_PASSED, STATUS_FAILED, STATUS_USAGE };

/* What the command line says. */
struct options {
	const char *scenario;
	const char *trace; /* file for the controllers' actions; NULL: none */
	bool digest;	   /* print the digest of the controllers' actions */
};

/* Returns false if the arguments are wrong. */
static bool options_parse(struct options *options, int argc, char **argv)
{
	static const struct option known[] = {
	    {"digest", no_argument, NULL, 'd'},
	    {"trace", required_argument, NULL, 't'},
	    {0},
	};
	int option;

	while ((option = getopt_long(argc, argv, "", known, NULL)) != -1) {
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

/* Returns false if the file of the trace can't be written. */
static bool set_up_trace(struct world *world, const struct options *options)
{
	if (!options->digest && !options->trace)
		return true;
	world->trace = behaviour_trace_new(options->trace);
	if (!world->trace)
		fprintf(stderr, "%s can't be written\n", options->trace);
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
	FILE *file = options_parse(&options, argc, argv) ? fopen(options.scenario, "r") : NULL;

	if (!file) {
		fprintf(stderr, "usage: runner [--digest] [--trace FILE] SCENARIO\n");
		return STATUS_USAGE;
	}
	set_up_log();
	world_init(&world, options.scenario);
	world.standin.verbose = log_enabled(LOG_INFO);
	if (!set_up_trace(&world, &options))
		return STATUS_USAGE;
	scenario_play(&world, file);
	fclose(file);
	finish_trace(&world, &options);
	world_free(&world);
	if (world.failures)
		fprintf(stderr, "%d failures\n", world.failures);
	return world.failures ? STATUS_FAILED : STATUS_PASSED;
}
