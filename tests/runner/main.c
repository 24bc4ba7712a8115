/*
 * Plays a scenario file: controllers' cores against the stand-ins, in simulated time. Every
 * scenario runs under the checker of the rules and says what it expects. See tests/README.md.
 */
#include <getopt.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "behaviour_trace.h"
#include "clients.h"
#include "controllers.h"
#include "connections.h"
#include "message_queue.h"
#include "network.h"
#include "outbox.h"
#include "util/log.h"
#include "util/xalloc.h"
#include "wire/names.h"
#include "world.h"

#define EPILOGUE_S                                                                                 \
	80.0 /* seconds played after the last line: longer than a job may go unanswered */
#define WORDS 24

/* --- scenario lines --- */

struct words {
	char *w[WORDS];
	int n;
};

static const char *opt(const struct words *x, const char *name, const char *def)
{
	size_t len = strlen(name);

	for (int i = 0; i < x->n; i++)
		if (!strncmp(x->w[i], name, len) && x->w[i][len] == '=')
			return x->w[i] + len + 1;
	return def;
}

static double num(const struct words *x, const char *name, double def)
{
	const char *s = opt(x, name, NULL);

	return s ? atof(s) : def;
}

static void job_id(char *out, const char *word)
{
	snprintf(out, ID_MAX, W_JOB_PREFIX "%06d", atoi(word));
}

static struct si_job *declare_job(struct world *world, const struct words *x, const char *id)
{
	static const char *const prios[] = {"production", "high", "normal", "low"};
	struct si_job *j = si_job(&world->standin, id);
	const char *kind = opt(x, "kind", "array"), *prio = opt(x, "prio", "normal");
	struct job_spec *s;

	if (j)
		return j;
	j = calloc(1, sizeof(*j));
	if (!j)
		abort();
	s = &j->spec;
	snprintf(s->id, sizeof(s->id), "%s", id);
	snprintf(s->class_name, sizeof(s->class_name), "%s", opt(x, "class", "any"));
	snprintf(s->team, sizeof(s->team), "%s", opt(x, "team", "core"));
	snprintf(s->image, sizeof(s->image), "%s", opt(x, "image", "img"));
	snprintf(s->zone, sizeof(s->zone), "%s", opt(x, "zone", ""));
	if (opt(x, "type", NULL))
		name_list_add(&s->types, opt(x, "type", ""));
	s->kind = !strcmp(kind, "gang")	     ? JOB_GANG
		  : !strcmp(kind, "service") ? JOB_SERVICE
					     : JOB_ARRAY;
	s->priority = PRIO_NORMAL;
	for (int i = 0; i < 4; i++)
		if (!strcmp(prios[i], prio))
			s->priority = (enum job_priority)i;
	s->ntasks = (uint32_t)num(x, "tasks", 1);
	s->cpus = num(x, "cpus", 1);
	s->gpus = num(x, "gpus", 0);
	s->mem_gb = num(x, "mem", 1);
	s->image_gb = num(x, "gb", 0.5);
	s->estimate_s = num(x, "run", 5);
	s->checkpoint_s = num(x, "checkpoint", 0);
	s->save_s = num(x, "save", 1);
	s->deadline_s = num(x, "deadline", -1);
	s->one_zone = (int)num(x, "together", 0);
	s->spread = (int)num(x, "spread", 0);
	s->spot = (int)num(x, "spot", 0);
	j->run_s = s->estimate_s;
	j->accepted_at = j->answered_at = j->began_at = j->room_since = -1;
	j->bad = num(x, "bad", 0) > 0;
	j->ends = !strcmp(opt(x, "ends", ""), "done")	 ? WHY_DONE
		  : !strcmp(opt(x, "ends", ""), "error") ? WHY_ERROR
							 : WHY_NONE;
	j->done = calloc(1, s->ntasks / 8 + 1);
	HASH_ADD_STR(world->standin.jobs, spec.id, j);
	return j;
}

static void do_type(struct world *world, const struct words *x)
{
	struct machine_type t = {0};
	char zones[256], *z, *save = NULL;

	snprintf(t.name, sizeof(t.name), "%s", x->w[1]);
	t.cpus = num(x, "cpus", 4);
	t.gpus = num(x, "gpus", 0);
	t.mem_gb = num(x, "mem", 16);
	t.cache_gb = 50;
	t.fetch_gb_per_s = num(x, "fetch", 1);
	t.price = num(x, "price", 1);
	t.spot_price = num(x, "spotprice", t.price / 3);
	t.boot_s = num(x, "boot", 5);
	snprintf(zones, sizeof(zones), "%s", opt(x, "zones", "a"));
	for (z = strtok_r(zones, ",", &save); z; z = strtok_r(NULL, ",", &save))
		name_list_add(&t.zones, z);
	si_type(&world->standin, &t, (int)num(x, "capacity", 10), num(x, "reuse", 0) > 0);
}

static void do_team(struct world *world, const struct words *x)
{
	struct conf_team *t = world_add_team(world, x->w[1]);

	t->cpus = num(x, "cpus", 0);
	t->cpus_max = num(x, "cpus_max", 0);
	t->gpus = num(x, "gpus", 0);
	t->gpus_max = num(x, "gpus_max", 0);
}

static void do_machines(struct world *world, const struct words *x)
{
	for (int i = 0; i < atoi(x->w[2]); i++) {
		struct si_machine *m = si_machine(&world->standin, x->w[1], opt(x, "zone", "a"),
						  num(x, "spot", 0) > 0);

		m->up_at = num(x, "up", 0);
		m->faulty = num(x, "faulty", 0) > 0;
	}
}

/* "3", or "3..9": machines 3 to 9 */
static int range_word(const char *word, int *last)
{
	const char *dots = strstr(word, "..");

	*last = atoi(dots ? dots + 2 : word);
	return atoi(word);
}

static int host_word(struct world *world, const char *word)
{
	if (!strcmp(word, "state"))
		return HOST_STATE;
	if (!strcmp(word, "cloud"))
		return HOST_CLOUD;
	if (!strcmp(word, "users"))
		return HOST_CLIENTS;
	if (!strcmp(word, "all"))
		return -1;
	if (!strncmp(word, "machine:", 8))
		return HOST_MACHINES + atoi(word + 8);
	return controller_named(world, word);
}

/* cut A B for=S [mode=hold]; "workers" stands for all machines */
static void do_cut(struct world *world, const struct words *x)
{
	double until = world->now_s + num(x, "for", 10);
	enum cut_mode mode = !strcmp(opt(x, "mode", "drop"), "hold") ? CUT_HOLD : CUT_DROP;

	if (!strcmp(x->w[2], "workers")) {
		int a = host_word(world, x->w[1]);

		for (int i = 0; i < world->standin.nmachines; i++)
			network_cut_add(world, a, HOST_MACHINES + i, until)->mode = mode;
		return;
	}
	if (!strcmp(x->w[2], "peers")) {
		int a = host_word(world, x->w[1]);

		for (int i = 0; i < world->controller_count; i++)
			if (i != a)
				network_cut_add(world, a, i, until)->mode = mode;
		return;
	}
	if (!strncmp(x->w[1], "machine:", 8)) {
		int last, first = range_word(x->w[1] + 8, &last);

		for (int i = first; i <= last; i++)
			network_cut_add(world, HOST_MACHINES + i, host_word(world, x->w[2]), until)
			    ->mode = mode;
		return;
	}
	network_cut_add(world, host_word(world, x->w[1]), host_word(world, x->w[2]), until)->mode =
	    mode;
}

/* capture K: keeps the newest report of machine K; replay K: it comes once more, to the leader */
static void do_capture(struct world *world, const struct words *x)
{
	int k = atoi(x->w[1]) % CAPTURED_REPORTS, to = controller_leader(world);
	struct message *m;

	if (!strcmp(x->w[0], "capture")) {
		free(world->captured_reports[k]);
		world->captured_reports[k] = strdup(world->standin.machines[k].report_text);
		return;
	}
	if (to < 0 || !world->captured_reports[k]) {
		world_fail(world, "nothing to replay: %s", x->w[1]);
		return;
	}
	m = message_new(world, MESSAGE_REPORT, HOST_MACHINES + k, to, world->now_s);
	m->report_number = DUPLICATE_REPORT_NUMBER;
	m->body = strdup(world->captured_reports[k]);
}

/* oneway K for=S: machine K's reports arrive, answers and commands do not reach it */
static void do_oneway(struct world *world, const struct words *x)
{
	network_cut_add(world, -1, HOST_MACHINES + atoi(x->w[1]), world->now_s + num(x, "for", 10))
	    ->scope = CUT_ONE_WAY;
}

/* mute K for=S: machine K, or K..L, reaches no controller, while direct commands reach it */
static void do_mute(struct world *world, const struct words *x)
{
	int last, first = range_word(x->w[1], &last);

	for (int i = first; i <= last; i++) {
		network_cut_add(world, -1, HOST_MACHINES + i, world->now_s + num(x, "for", 10))
		    ->scope = CUT_REPORTS;
	}
}

static void machine_fault(struct world *world, const struct words *x, struct si_machine *m)
{
	const char *what = x->w[0];

	if (!strcmp(what, "kill"))
		si_machine_off(&world->standin, m, false);
	else if (!strcmp(what, "take"))
		si_machine_off(&world->standin, m, true);
	else if (!strcmp(what, "restart"))
		si_machine_restart(&world->standin, m);
	else if (!strcmp(what, "notice"))
		m->notice_until = world->now_s + num(x, "for", 8), m->changed = true;
	else if (!strcmp(what, "hang"))
		m->hanging = num(x, "end", 0) == 0;
	else
		world_fail(world, "unknown line: %s", what);
}

static void do_machine_fault(struct world *world, const struct words *x)
{
	int last, first = range_word(x->w[1], &last);

	for (int i = first; i <= last; i++)
		machine_fault(world, x, &world->standin.machines[i]);
}

static enum crash_step crash_step_word(struct world *world, const char *word)
{
	if (!strcmp(word, "lease"))
		return CRASH_WITH_LEASE;
	if (!strcmp(word, "loading"))
		return CRASH_LOADING;
	if (!strcmp(word, "lead"))
		return CRASH_LEADING;
	world_fail(world, "no such step of an election: %s", word);
	return CRASH_NEVER;
}

static void do_fault(struct world *world, const struct words *x)
{
	const char *what = x->w[0];

	world->quiet_since_s =
	    fmax(world->quiet_since_s, world->now_s + fmax(num(x, "for", 0), num(x, "back", 3)));

	if (!strcmp(what, "crash")) {
		if (!strcmp(x->w[1], "all"))
			for (int i = 0; i < world->controller_count; i++)
				controller_crash(world, i, num(x, "back", 3));
		else
			controller_crash(world, controller_named(world, x->w[1]),
					 num(x, "back", 3));
	} else if (!strcmp(what, "outage") && !strcmp(x->w[1], "state")) {
		si_state_outage(&world->standin, true);
		world->state_outage_until_s = world->now_s + num(x, "for", 10);
	} else if (!strcmp(what, "outage")) {
		world->standin.cloud.down = strcmp(opt(x, "end", "0"), "1") != 0;
	} else if (!strcmp(what, "refuse")) {
		world->standin.state.refuses[controller_named(world, x->w[1])] =
		    num(x, "end", 0) == 0;
	} else if (!strcmp(what, "cut")) {
		do_cut(world, x);
	} else if (!strcmp(what, "loss")) {
		world->network_faults.lost = atof(x->w[1]);
	} else if (!strcmp(what, "repeat")) {
		world->network_faults.repeated = atof(x->w[1]);
	} else if (!strcmp(what, "slow")) {
		world->network_faults.slow_state_replies = atof(x->w[1]);
	} else if (!strcmp(what, "copies")) {
		world->network_faults.duplicate_reports = atof(x->w[1]);
		world->network_faults.duplicate_delay_s = num(x, "after", 30);
	} else if (!strcmp(what, "crashon")) {
		world->election_crash.step = crash_step_word(world, x->w[1]);
		world->election_crash.times_left = (int)num(x, "times", 1);
		world->election_crash.down_s = num(x, "back", 3);
	} else if (!strcmp(what, "quiet")) {
		world->quiet_since_s =
		    world->now_s; /* as if what lasts were no trouble: for the checks' own tests */
	} else if (!strcmp(what, "capture") || !strcmp(what, "replay")) {
		do_capture(world, x);
	} else if (!strcmp(what, "oneway")) {
		do_oneway(world, x);
	} else if (!strcmp(what, "mute")) {
		do_mute(world, x);
	} else if (!strcmp(what, "freeze")) {
		world->controllers[controller_named(world, x->w[1])].frozen_until_s =
		    world->now_s + num(x, "for", 10);
	} else if (!strcmp(what, "stall")) {
		world->standin.state.stalls[controller_named(world, x->w[1])] =
		    num(x, "end", 0) == 0;
	} else if (!strcmp(what, "late")) {
		world->network_faults.late_transactions = atof(x->w[1]);
	} else if (!strcmp(what, "cancelend")) {
		world->cancel_at_end = atoi(x->w[1]);
	} else {
		do_machine_fault(world, x);
	}
}

static void do_user(struct world *world, const struct words *x)
{
	int node = opt(x, "node", NULL) ? controller_named(world, opt(x, "node", "0")) : -1;
	char id[ID_MAX];

	job_id(id, x->w[1]);
	if (!strcmp(x->w[0], "submit")) {
		int copies = (int)num(x, "copies", 1);

		for (int i = 0; i < copies; i++) {
			char word[16];

			snprintf(word, sizeof(word), "%d", atoi(x->w[1]) + i);
			job_id(id, word);
			declare_job(world, x, id);
			client_request_job(world, CLIENT_SUBMIT, id, node);
		}
	} else {
		client_request_job(world, !strcmp(x->w[0], "poll") ? CLIENT_POLL : CLIENT_CANCEL,
				   id, node);
	}
}

/* Each check must be able to fail: what follows breaks a rule on purpose. */
static void do_break(struct world *world, const struct words *x)
{
	char id[ID_MAX];

	job_id(id, x->w[2]);
	if (!strcmp(x->w[1], "start"))
		si_force_start(&world->standin, &world->standin.machines[atoi(x->w[3])], id,
			       (uint32_t)atoi(x->w[4]));
	else if (!strcmp(x->w[1], "accept"))
		si_told_submit(&world->standin, id, 201);
	else
		si_told_state(&world->standin, id, atoi(x->w[3]), x->n > 4 ? x->w[4] : "",
			      world->now_s);
}

static void raw_request(struct world *world, const struct words *x, const char *line)
{
	const char *body = strstr(line, "body=");
	int controller = controller_leader(world) < 0 ? 0 : controller_leader(world);

	if (opt(x, "node", NULL))
		controller = controller_named(world, opt(x, "node", "0"));
	client_request_raw(world, controller, x->w[1], x->w[2], body ? body + 5 : NULL);
}

static bool compare(double have, const char *op, double want)
{
	if (!strcmp(op, "=="))
		return fabs(have - want) < 1e-9;
	if (!strcmp(op, ">="))
		return have >= want;
	return have <= want;
}

#define UNKNOWN_MEASURE (-2.0)

/* What is known of one job; UNKNOWN_MEASURE if `what` is no measure of jobs. */
static double measure_job(struct world *world, const char *what, const char *arg)
{
	char id[ID_MAX];
	struct si_job *j;
	double n = 0;

	job_id(id, arg);
	j = si_job(&world->standin, id);
	if (!strcmp(what, "done"))
		return j && j->told_done;
	if (!strcmp(what, "cancelled"))
		return j && j->told_cancelled;
	if (!strcmp(what, "tasksdone"))
		return j ? (double)j->ndone : -1;
	if (!strcmp(what, "starts"))
		return j ? (double)j->starts : -1;
	if (!strcmp(what, "served")) /* share of a service's replica time */
		return j && j->replica_s > 0 ? j->served_s / j->replica_s : 0;
	if (!strcmp(what, "wait")) /* seconds from its acceptance until it began */
		return j && j->began_at >= 0 ? j->began_at - j->accepted_at : INFINITY;
	if (!strcmp(what, "shown"))
		return j ? (double)j->shown_running : -1;
	if (!strcmp(what, "running")) {
		for (int i = 0; i < world->standin.nmachines; i++)
			for (struct si_task *t = world->standin.machines[i].tasks; t; t = t->next)
				n += t->state == TS_RUNNING && !strcmp(t->job, id);
		return n;
	}
	return UNKNOWN_MEASURE;
}

static double measure(struct world *world, const char *what, const char *arg)
{
	double n = measure_job(world, what, arg);

	if (n > UNKNOWN_MEASURE)
		return n;
	n = 0;
	if (!strcmp(what, "directs")) {
		for (int i = 0; i < world->controller_count; i++)
			n += world->controllers[i].up
				 ? inspect_direct_commands(world->controllers[i].core)
				 : 0;
		return n;
	}
	if (!strcmp(what, "rented"))
		return world->standin.nmachines;
	if (!strcmp(what, "takeovers"))
		return (double)world->standin.state.leader_puts;
	if (!strcmp(what, "answers"))
		return world->answer_counts[atoi(arg)];
	if (!strcmp(what, "state"))
		return !strcmp(arg, "puts")	  ? (double)world->standin.state.puts
		       : !strcmp(arg, "toolarge") ? (double)world->standin.state.too_large
		       : !strcmp(arg, "requests") ? (double)world->standin.state.requests
						  : (double)world->standin.state.refused;
	if (!strcmp(what, "keys")) { /* that start so */
		for (struct si_key *key = world->standin.state.keys; key; key = key->hh.next)
			n += !strncmp(key->key, arg, strlen(arg));
		return n;
	}
	if (!strcmp(what, "asked"))
		return !strcmp(arg, "show") ? (double)world->standin.shows
					    : (double)world->standin.directs;
	if (!strcmp(what, "latestarts"))
		return (double)world->standin.starts_cancelled;
	if (!strcmp(what, "allstarts"))
		return (double)world->standin.starts_total;
	if (!strcmp(what, "leaders")) {
		for (int i = 0; i < world->controller_count; i++)
			n += world->controllers[i].up && inspect_leads(world->controllers[i].core);
		return n;
	}
	if (!strcmp(what, "machines")) {
		for (int i = 0; i < world->standin.nmachines; i++)
			n += world->standin.machines[i].power == SI_UP &&
			     (!strcmp(arg, "any") ||
			      !strcmp(world->standin.machines[i].type->name, arg));
		return n;
	}
	if (!strcmp(what, "switches")) {
		for (int i = 0; i < world->controller_count; i++)
			n += world->controllers[i].up
				 ? inspect_pairing_switches(world->controllers[i].core)
				 : 0;
		return n;
	}
	if (!strcmp(what, "broken")) {
		for (int r = 0; r < RULES; r++)
			if (!strcmp(rule_names[r], arg))
				n += world->standin.broken[r] > 0;
		return n;
	}
	world_fail(world, "unknown measure: %s", what);
	return -1;
}

/* expect WHAT ARG OP NUMBER */
static void do_expect(struct world *world, const struct words *x)
{
	double have = measure(world, x->w[1], x->w[2]);
	char text[160];

	if (compare(have, x->w[3], atof(x->w[4])))
		return;
	snprintf(text, sizeof(text), "%s %s is %g, expected %s %s", x->w[1], x->w[2], have, x->w[3],
		 x->w[4]);
	world_fail(world, "%s", text);
}

/* What the state service allows from now on; what is 0 stays as it is. */
static void state_limits(struct world *world, const struct conf_limits *limits)
{
	struct si_state *state = &world->standin.state;

	if (limits->txn_ops)
		state->txn_ops = limits->txn_ops;
	if (limits->value_kb > 0)
		state->value_bytes = (size_t)(limits->value_kb * 1024);
	if (limits->rps > 0)
		state->rps = limits->rps;
	if (limits->write_rps > 0)
		state->write_rps = limits->write_rps;
}

/* limits value_kb= txn_ops= write_rps= rps= */
static void do_limits(struct world *world, const struct words *x)
{
	struct conf_limits limits = {0};

	limits.value_kb = num(x, "value_kb", 0);
	limits.txn_ops = (int)num(x, "txn_ops", 0);
	limits.write_rps = num(x, "write_rps", 0);
	limits.rps = num(x, "rps", 0);
	state_limits(world, &limits);
}

/* hold NODE|all [end=1]: counts from the controller's next start */
static void do_hold(struct world *world, const struct words *x)
{
	for (int i = 0; i < world->controller_count; i++)
		if (!strcmp(x->w[1], "all") || controller_named(world, x->w[1]) == i)
			world->controllers[i].keeps_previous_format = num(x, "end", 0) == 0;
}

static void do_facts(struct world *world, const struct words *x)
{
	world->conf.report_s = num(x, "report", world->conf.report_s);
	world->conf.lease_s = num(x, "lease", world->conf.lease_s);
	world->conf.cancel_s = num(x, "cancel", world->conf.cancel_s);
	world->conf.limits.txn_ops = (int)num(x, "txn_ops", world->conf.limits.txn_ops);
	world->conf.limits.rps = num(x, "rps", world->conf.limits.rps);
	world->conf.limits.write_rps = num(x, "write_rps", world->conf.limits.write_rps);
	world->conf.limits.value_kb = num(x, "value_kb", world->conf.limits.value_kb);
	world->conf.next_limits.txn_ops =
	    (int)num(x, "next_txn_ops", world->conf.next_limits.txn_ops);
	world->conf.next_limits.write_rps =
	    num(x, "next_write_rps", world->conf.next_limits.write_rps);
	world->conf.next_limits.value_kb =
	    num(x, "next_value_kb", world->conf.next_limits.value_kb);
	state_limits(world, &world->conf.limits);
	world->standin.state.keep = (size_t)num(x, "keep", 0);
}

static void do_objective(struct world *world, const struct words *x)
{
	struct conf_objective *o;

	world->conf.objectives =
	    realloc(world->conf.objectives, (world->conf.nobjectives + 1) * sizeof(*o));
	if (!world->conf.objectives)
		abort();
	o = &world->conf.objectives[world->conf.nobjectives++];
	memset(o, 0, sizeof(*o));
	o->kind = !strcmp(x->w[1], "guarantee") ? OBJ_GUARANTEE
		  : !strcmp(x->w[1], "wait")	? OBJ_WAIT
						: OBJ_PRICE;
	snprintf(o->class_name, sizeof(o->class_name), "%s", opt(x, "class", ""));
	o->within_s = num(x, "within", 0);
	o->share = num(x, "share", 0);
}

static void do_line(struct world *world, char *line)
{
	char copy[1024];
	struct words x = {0};
	char *save = NULL, *p;
	double at;

	snprintf(copy, sizeof(copy), "%s", line);
	for (p = strtok_r(line, " \t\n", &save); p && x.n < WORDS;
	     p = strtok_r(NULL, " \t\n", &save))
		x.w[x.n++] = p;
	if (!x.n || x.w[0][0] == '#')
		return;
	if (!strcmp(x.w[0], "at")) {
		at = atof(x.w[1]);
		world_run(world, at);
		x.n -= 2;
		memmove(x.w, x.w + 2, (size_t)x.n * sizeof(*x.w));
	}
	if (!strcmp(x.w[0], "nodes"))
		world->controller_count = atoi(x.w[1]);
	else if (!strcmp(x.w[0], "seed"))
		world->seed = strtoull(x.w[1], NULL, 10);
	else if (!strcmp(x.w[0], "facts"))
		do_facts(world, &x);
	else if (!strcmp(x.w[0], "limits"))
		do_limits(world, &x);
	else if (!strcmp(x.w[0], "hold"))
		do_hold(world, &x);
	else if (!strcmp(x.w[0], "objective"))
		do_objective(world, &x);
	else if (!strcmp(x.w[0], "type"))
		do_type(world, &x);
	else if (!strcmp(x.w[0], "team"))
		do_team(world, &x);
	else if (!strcmp(x.w[0], "machines"))
		do_machines(world, &x);
	else if (!strcmp(x.w[0], "submit") || !strcmp(x.w[0], "poll") || !strcmp(x.w[0], "cancel"))
		do_user(world, &x);
	else if (!strcmp(x.w[0], "request"))
		raw_request(world, &x, copy);
	else if (!strcmp(x.w[0], "break"))
		do_break(world, &x);
	else if (!strcmp(x.w[0], "expect"))
		do_expect(world, &x);
	else if (strcmp(x.w[0], "until"))
		do_fault(world, &x);
	else
		world_run(world, atof(x.w[1]));
}

/* Rules broken that the scenario did not ask for. */
static void check_rules(struct world *world, const char *expected)
{
	si_check_served(&world->standin);
	if (!world->standin.starts_total)
		si_broken(&world->standin, RULE_NOTHING_RAN, "no start");
	for (int r = 0; r < RULES; r++)
		if (world->standin.broken[r] && !strstr(expected, rule_names[r]))
			world_fail(world, "rule broken: %s", world->standin.why);
}

struct options {
	const char *scenario;
	const char *trace; /* file for the controllers' actions; NULL: none */
	bool digest;
};

static bool options_parse(struct options *options, int argc, char **argv)
{
	static const struct option known[] = {
	    {"digest", no_argument, NULL, 'd'}, {"trace", required_argument, NULL, 't'}, {0}};
	int c;

	while ((c = getopt_long(argc, argv, "", known, NULL)) != -1) {
		if (c == 'd')
			options->digest = true;
		else if (c == 't')
			options->trace = optarg;
		else
			return false;
	}
	if (optind != argc - 1)
		return false;
	options->scenario = argv[optind];
	return true;
}

static void play(struct world *world, FILE *f)
{
	char line[1024], expected[256] = "";

	while (fgets(line, sizeof(line), f)) {
		world->line_number++;
		if (!strncmp(line, "breaks ", 7))
			snprintf(expected, sizeof(expected), "%.200s", line + 7);
		else
			do_line(world, line);
	}
	/* Whatever it did, everybody is answered again when its troubles are over. */
	world_run(world, fmax(world->now_s, world->quiet_since_s) + EPILOGUE_S);
	check_rules(world, expected);
}

int main(int argc, char **argv)
{
	static struct world w;
	struct options options = {0};
	FILE *f = options_parse(&options, argc, argv) ? fopen(options.scenario, "r") : NULL;

	if (!f) {
		fprintf(stderr, "usage: runner [--digest] [--trace FILE] SCENARIO\n");
		return 2;
	}
	log_setup("-", getenv("LOG_LEVEL") ? getenv("LOG_LEVEL") : "error");
	world_init(&w, options.scenario);
	if (options.digest || options.trace) {
		w.trace = behaviour_trace_new(options.trace);
		if (!w.trace) {
			fprintf(stderr, "%s can't be written\n", options.trace);
			return 2;
		}
	}
	w.standin.verbose = log_on(LOG_INFO);
	play(&w, f);
	fclose(f);
	if (options.digest)
		printf("%016" PRIx64 "\n", behaviour_trace_digest(w.trace));
	if (w.trace)
		behaviour_trace_free(w.trace);
	world_free(&w);
	if (w.failures)
		fprintf(stderr, "%d failures\n", w.failures);
	return w.failures ? 1 : 0;
}
