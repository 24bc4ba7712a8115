/* The handlers of the lines that describe the deployment. Settings take effect when the controllers
 * start. */
#include "setup.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controllers.h"
#include "util/xalloc.h"

#define BYTES_PER_KB 1024
#define MACHINE_CACHE_GB 50

/* nodes N: the number of controllers */
static void set_controller_count(struct world *world, const struct scenario_line *line)
{
	world->controller_count = line_integer(line, 1);
}

/* simulation_seed N: the seed of the simulation's random numbers, which decide on latencies and
 * random faults */
static void set_simulation_seed(struct world *world, const struct scenario_line *line)
{
	uint64_t seed = strtoull(line_word(line, 1), NULL, 10);

	for (size_t i = 0; i < 3; i++)
		world->random_state[i] = (unsigned short)(seed >> (16 * i));
}

/* seed N: the seed of the controllers' random numbers */
static void set_seed(struct world *world, const struct scenario_line *line)
{
	world->seed = strtoull(line_word(line, 1), NULL, 10);
}

/* Sets the limits of the state service from now on. Those that are 0 do not change. */
static void apply_limits(struct standin_state_service *state, const struct conf_limits *limits)
{
	if (limits->txn_ops)
		state->txn_ops = limits->txn_ops;
	if (limits->value_kb > 0)
		state->value_bytes = (size_t)(limits->value_kb * BYTES_PER_KB);
	if (limits->rps > 0)
		state->rps = limits->rps;
	if (limits->write_rps > 0)
		state->write_rps = limits->write_rps;
}

/* limits value_kb= txn_ops= write_rps= rps=: changes the limits of the state service, but not the
 * controllers' settings */
static void change_limits(struct world *world, const struct scenario_line *line)
{
	struct conf_limits limits = {
	    .value_kb = line_option_number(line, "value_kb", 0),
	    .txn_ops = (int)line_option_number(line, "txn_ops", 0),
	    .write_rps = line_option_number(line, "write_rps", 0),
	    .rps = line_option_number(line, "rps", 0),
	};

	apply_limits(&world->standin.state_service, &limits);
}

static void override_number(const struct scenario_line *line, const char *option, double *setting)
{
	*setting = line_option_number(line, option, *setting);
}

static void override_integer(const struct scenario_line *line, const char *option, int *setting)
{
	*setting = (int)line_option_number(line, option, *setting);
}

/* settings report= lease= cancel= txn_ops= ... keep=: changes the controllers' settings, and the
 * limits of the state service to match; keep= is the number of changes that it keeps */
static void change_settings(struct world *world, const struct scenario_line *line)
{
	struct conf *conf = &world->conf;

	override_number(line, "report", &conf->report_s);
	override_number(line, "lease", &conf->lease_s);
	override_number(line, "cancel", &conf->cancel_s);
	override_integer(line, "txn_ops", &conf->limits.txn_ops);
	override_number(line, "rps", &conf->limits.rps);
	override_number(line, "write_rps", &conf->limits.write_rps);
	override_number(line, "value_kb", &conf->limits.value_kb);
	override_integer(line, "next_txn_ops", &conf->upcoming_limits.txn_ops);
	override_number(line, "next_write_rps", &conf->upcoming_limits.write_rps);
	override_number(line, "next_value_kb", &conf->upcoming_limits.value_kb);
	apply_limits(&world->standin.state_service, &conf->limits);
	world->standin.state_service.changes_kept = (size_t)line_option_number(line, "keep", 0);
}

/* hold_format NODE|all [end=1]: from its next start on, the controller writes records that the
 * previous version can read */
static void keep_previous_format(struct world *world, const struct scenario_line *line)
{
	const char *name = line_word(line, 1);
	bool all = !strcmp(name, "all");
	bool keeps_format = line_option_number(line, "end", 0) == 0;

	for (int i = 0; i < world->controller_count; i++)
		if (all || controller_named(world, name) == i)
			world->controllers[i].keeps_previous_format = keeps_format;
}

static enum objective_kind objective_kind(const char *word)
{
	if (!strcmp(word, "guarantee"))
		return OBJECTIVE_GUARANTEE;
	if (!strcmp(word, "wait"))
		return OBJECTIVE_WAIT;
	return OBJECTIVE_PRICE;
}

/* objective guarantee|wait|price class= within= share=: adds a service-level objective */
static void add_objective(struct world *world, const struct scenario_line *line)
{
	struct conf *conf = &world->conf;
	struct conf_objective *objective;

	conf->objectives =
	    xreallocarray(conf->objectives, conf->objective_count + 1, sizeof(*objective));
	objective = &conf->objectives[conf->objective_count++];
	memset(objective, 0, sizeof(*objective));
	objective->kind = objective_kind(line_word(line, 1));
	snprintf(objective->class_name, sizeof(objective->class_name), "%s",
		 line_option(line, "class", ""));
	objective->within_s = line_option_number(line, "within", 0);
	objective->share = line_option_number(line, "share", 0);
}

static void add_zones(struct name_list *zones, const char *names)
{
	char buffer[256];
	char *rest = NULL;
	const char *zone;

	snprintf(buffer, sizeof(buffer), "%s", names);
	zone = strtok_r(buffer, ",", &rest);
	while (zone) {
		name_list_add(zones, zone);
		zone = strtok_r(NULL, ",", &rest);
	}
}

/* type NAME cpus= mem= gpus= boot= fetch= price= spotprice= zones=a,b capacity= reuse=: adds a
 * machine type to the cloud's catalog */
static void add_machine_type(struct world *world, const struct scenario_line *line)
{
	struct machine_type type = {0};
	int capacity = (int)line_option_number(line, "capacity", 10);

	snprintf(type.name, sizeof(type.name), "%s", line_word(line, 1));
	type.cpus = line_option_number(line, "cpus", 4);
	type.gpus = line_option_number(line, "gpus", 0);
	type.mem_gb = line_option_number(line, "mem", 16);
	type.cache_gb = MACHINE_CACHE_GB;
	type.fetch_gb_per_s = line_option_number(line, "fetch", 1);
	type.price = line_option_number(line, "price", 1);
	type.spot_price = line_option_number(line, "spotprice", type.price / 3);
	type.boot_s = line_option_number(line, "boot", 5);
	add_zones(&type.zones, line_option(line, "zones", "a"));
	standin_machine_type_add(&world->standin, &type, capacity, line_option_set(line, "reuse"));
}

/* team NAME cpus= cpus_max= gpus= gpus_max=: adds a team with its guarantee and its quota */
static void add_team(struct world *world, const struct scenario_line *line)
{
	struct conf_team *team = world_add_team(world, line_word(line, 1));

	team->cpus = line_option_number(line, "cpus", 0);
	team->cpus_max = line_option_number(line, "cpus_max", 0);
	team->gpus = line_option_number(line, "gpus", 0);
	team->gpus_max = line_option_number(line, "gpus_max", 0);
}

/* machines TYPE N zone= spot= faulty= up=: adds N machines, which are up from the time up= on */
static void add_machines(struct world *world, const struct scenario_line *line)
{
	const char *type = line_word(line, 1);
	int count = line_integer(line, 2);

	for (int i = 0; i < count; i++) {
		struct standin_machine *machine =
		    standin_machine_add(&world->standin, type, line_option(line, "zone", "a"),
					line_option_set(line, "spot"));

		machine->up_at = line_option_number(line, "up", 0);
		machine->faulty = line_option_set(line, "faulty");
	}
}

const struct scenario_keyword setup_keywords[] = {
    {"nodes", 1, set_controller_count},
    {"seed", 1, set_seed},
    {"simulation_seed", 1, set_simulation_seed},
    {"settings", 0, change_settings},
    {"limits", 0, change_limits},
    {"hold_format", 1, keep_previous_format},
    {"objective", 1, add_objective},
    {"type", 1, add_machine_type},
    {"team", 1, add_team},
    {"machines", 2, add_machines},
    {NULL, 0, NULL},
};
