/*
 * Pairwise share switching, after the Cilk-NOW macroscheduler. Each quantum the leader hands every
 * live controller its hash part of the slots: a slot is the part of a machine that one array task
 * takes, since there are more jobs than machines here. A controller writes its counts per job as
 * one value, reads and sums those of all, draws a partner for each slot with probability
 * proportional to the partner's count, and answers with the switches. A switched slot finishes its
 * task, sits out meanwhile, and then serves its new job.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "core/scheduling/share_switching.h"
#include "core/state.h"
#include "peer.pb-c.h"
#include "util/log.h"
#include "util/xalloc.h"

struct job_share {
	char id[ID_MAX];
	double slots;
	bool open;
	UT_hash_handle hh;
};

/* A part under way in this controller: counts are being written, then read. */
struct partition_work {
	uint64_t conn; /* the leader's request; 0: the leader's own part */
	Peer__Part *part;
	struct job_share *own; /* our counts, as far as they are still to be written */
	int written;	       /* values of them */
	uint64_t own_quantum;  /* that they are counts of */
	struct job_share *counts;
	json_int_t quantum; /* of the controller whose values are read */
};

static void counts_free(struct job_share **counts)
{
	struct job_share *count, *tmp;

	HASH_ITER (hh, *counts, count, tmp) {
		HASH_DEL(*counts, count);
		free(count);
	}
}

static void work_free(void *arg)
{
	struct partition_work *work = arg;

	counts_free(&work->own);
	counts_free(&work->counts);
	peer__part__free_unpacked(work->part, NULL);
	free(work);
}

static struct job_share *count_get(struct job_share **counts, const char *id)
{
	struct job_share *count;

	HASH_FIND_STR(*counts, id, count);
	if (count)
		return count;
	count = xcalloc(1, sizeof(*count));
	snprintf(count->id, sizeof(count->id), "%s", id);
	HASH_ADD_STR(*counts, id, count);
	return count;
}

/* The chance that a slot of a job with m_b slots goes over to one with m_a, if m_a < m_b. */
double share_switch_probability(double m_a, double m_b)
{
	if (m_a <= 0 || m_a >= m_b)
		return 0;
	return fmin(1, (m_b * m_b - m_a * m_a) / (2 * m_a * m_b));
}

/* A partner other than the slot's own job, drawn in proportion to its count. */
static struct job_share *draw(struct core *core, struct partition_work *work, double total)
{
	double at = core_random(core) * total;
	struct job_share *count, *tmp;

	HASH_ITER (hh, work->counts, count, tmp) {
		at -= count->slots;
		if (at < 0)
			return count;
	}
	return NULL;
}

static void switches_send(struct core *core, struct partition_work *work, Peer__Switches *out)
{
	size_t n;
	uint8_t *buf = peers_pack(&out->base, &n);

	if (work->conn) {
		core_reply_packed(core, work->conn, buf, n);
		return;
	}
	share_switching_take(core, core->conf->npeers, buf, n);
	free(buf);
}

static void pair_decide(struct core *core, struct partition_work *work)
{
	size_t n = work->part->n_slots;
	Peer__Switch *all = xcalloc(n + 1, sizeof(*all)), **list = xcalloc(n + 1, sizeof(*list));
	Peer__Switches out = PEER__SWITCHES__INIT;
	struct job_share *count, *tmp;
	double total = 0;

	HASH_ITER (hh, work->counts, count, tmp)
		total += count->slots;
	for (size_t i = 0; i < n; i++) {
		Peer__Slot *s = work->part->slots[i];
		struct job_share *b = count_get(&work->counts, s->job),
				 *a = draw(core, work, total);

		if (!a || a == b || !a->open ||
		    core_random(core) >= share_switch_probability(a->slots, b->slots))
			continue;
		peer__switch__init(&all[i]);
		all[i].slot = s;
		all[i].to = a->id;
		list[out.n_switches++] = &all[i];
	}
	out.token = work->part->token;
	out.incarnation = peers_incarnation(core);
	out.switches = list;
	switches_send(core, work, &out);
	free(all);
	free(list);
}

/*
 * A controller that had more to say some quanta ago left further values behind. Its first value,
 * which comes before them, tells its newest quantum.
 */
static bool counts_left_over(struct partition_work *work, const struct kv_item *it)
{
	json_int_t quantum = json_integer_value(json_object_get(it->value, "quantum"));
	const char *name = it->key + strlen("p/");
	size_t len = strcspn(name, "/");

	if (!name[len]) {
		work->quantum = quantum;
		return false;
	}
	return quantum != work->quantum;
}

static void sum_item(void *ctx, const struct kv_item *it)
{
	struct partition_work *work = ctx;
	const char *job;
	json_t *v;

	/* Counts of an earlier leader's quantum say nothing about this one. */
	if ((uint64_t)json_integer_value(json_object_get(it->value, "token")) != work->part->token)
		return;
	if (counts_left_over(work, it))
		return;
	json_object_foreach (json_object_get(it->value, "counts"), job, v) {
		if (strlen(job) < ID_MAX)
			count_get(&work->counts, job)->slots += json_number_value(v);
	}
}

static void on_counts(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct partition_work *work = call->arg;
	json_t *o;

	store_note_answer(core, answer);
	if (answer->status == STATUS_OK) {
		o = wire_parse(answer->body, answer->len);
		wire_items(o, sum_item, work);
		json_decref(o);
		pair_decide(core, work);
	} else if (work->conn) {
		core_reply_error(core, work->conn, STATUS_UNAVAILABLE, 0, "state");
	}
	work_free(work);
}

#define COUNTS_FRAME_BYTES 64 /* of a value beside its entries: names, token, quantum */
#define COUNT_FRAME_BYTES 16  /* of an entry beside the job's id */

static void add_counts_value(const struct core *core, struct txn *txn, struct partition_work *work,
			     json_t *counts)
{
	char key[CONF_NAME_MAX + 16];

	if (work->written)
		snprintf(key, sizeof(key), "p/%s/%d", core->conf->name, work->written);
	else
		snprintf(key, sizeof(key), "p/%s", core->conf->name);
	txn_put(txn, key,
		json_pack("{s:I,s:I,s:o}", "token", (json_int_t)work->part->token, "quantum",
			  (json_int_t)work->own_quantum, "counts", counts),
		0);
	work->written++;
}

/* One value, of as many of our counts as fit; they are taken off those still to be written. */
static void add_counts(const struct core *core, struct txn *txn, struct partition_work *work)
{
	size_t most = limits_job_record_bytes(core), bytes = COUNTS_FRAME_BYTES;
	json_t *counts = json_object();
	struct job_share *count, *tmp;

	HASH_ITER (hh, work->own, count, tmp) {
		bytes += strlen(count->id) + COUNT_FRAME_BYTES;
		if (bytes > most)
			break;
		json_object_set_new(counts, count->id, json_integer((json_int_t)count->slots));
		HASH_DEL(work->own, count);
		free(count);
	}
	add_counts_value(core, txn, work, counts);
}

static void write_counts(struct core *core, struct partition_work *work);

static void on_written(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct partition_work *work = call->arg;

	store_note_answer(core, answer);
	if (answer->status == STATUS_OK && work->own) {
		write_counts(core, work);
		return;
	}
	if (answer->status == STATUS_OK) {
		store_range(core, "p/", "", on_counts, work)->free_arg = work_free;
		return;
	}
	if (work->conn)
		core_reply_error(core, work->conn, STATUS_UNAVAILABLE, 0, "state");
	work_free(work);
}

/* Our counts, in as many values and transactions as they need. */
static void write_counts(struct core *core, struct partition_work *work)
{
	struct txn txn;

	txn_begin(&txn);
	do
		add_counts(core, &txn, work);
	while (work->own && txn.op_count < limits_txn_ops(core));
	store_commit(core, txn_finish(&txn), on_written, work)->free_arg = work_free;
}

/* Starts on a part: the own counts are written. */
static void pair_begin(struct core *core, uint64_t conn, const uint8_t *data, size_t len)
{
	Peer__Part *part = peer__part__unpack(NULL, len, data);
	struct partition_work *work;

	if (!part) {
		core_reply_error(core, conn, STATUS_BAD_REQUEST, 0, "part");
		return;
	}
	work = xcalloc(1, sizeof(*work));
	work->conn = conn;
	work->part = part;
	for (size_t i = 0; i < part->n_open; i++)
		count_get(&work->counts, part->open[i]->job)->open = true;
	for (size_t i = 0; i < part->n_slots; i++)
		count_get(&work->own, part->slots[i]->job)->slots++;
	work->own_quantum = ++core->share_switching.quantum;
	write_counts(core, work);
}

void share_switching_request(struct core *core, const struct core_request *request)
{
	pair_begin(core, request->conn, (const uint8_t *)request->body, request->len);
}

/* --- the leader --- */

void share_switching_take(struct core *core, size_t peer, const uint8_t *data, size_t len)
{
	Peer__Switches *in = peer__switches__unpack(NULL, len, data);

	if (!in)
		return;
	if (peer < core->conf->npeers)
		peers_note_incarnation(core, peer, in->incarnation);
	for (size_t i = 0; i < in->n_switches && in->token == election_token(core); i++) {
		Peer__Slot *s = in->switches[i]->slot;
		struct machine *m = s ? machine_find(core, s->machine) : NULL;
		struct job *to = job_find(core, in->switches[i]->to);
		struct binding *binding;

		if (!m || !to || !job_waiting_count(to))
			continue;
		DL_FOREACH2 (m->bindings, binding, machine_next) {
			if (binding->task != s->task || strcmp(binding->job->spec.id, s->job) ||
			    *binding->switched_to)
				continue;
			core->share_switching.switches++;
			snprintf(binding->switched_to, sizeof(binding->switched_to), "%s",
				 to->spec.id);
			log_info("share_switched", "job=%s machine=%s task=%u to=%s", s->job, m->id,
				 s->task, to->spec.id);
		}
	}
	peer__switches__free_unpacked(in, NULL);
}

static void on_part_answer(struct core *core, struct call *call, const struct call_answer *answer)
{
	size_t i = (size_t)(uintptr_t)call->arg;

	if (election_call_is_stale(core, call))
		return;
	core->share_switching.peer_live[i] = answer->status == STATUS_OK;
	if (answer->status == STATUS_OK)
		share_switching_take(core, i, (const uint8_t *)answer->body, answer->len);
}

/* Rendezvous: of the live controllers, the one whose hash with the machine is highest. */
static size_t owner_of(const struct core *core, const char *machine)
{
	size_t best = core->conf->npeers;
	XXH64_hash_t top = XXH3_64bits_withSeed(
	    machine, strlen(machine), XXH3_64bits(core->conf->name, strlen(core->conf->name)));

	for (size_t i = 0; i < core->conf->npeers; i++) {
		const char *name = core->conf->peers[i].name;
		XXH64_hash_t h =
		    XXH3_64bits_withSeed(machine, strlen(machine), XXH3_64bits(name, strlen(name)));

		if (core->share_switching.peer_live[i] && h > top) {
			top = h;
			best = i;
		}
	}
	return best;
}

struct part_build {
	Peer__Slot *slots, **slot_list;
	Peer__Open *open, **open_list;
	size_t nslots, nopen;
};

static void build_slots(struct core *core, size_t owner, struct part_build *build)
{
	struct machine *machine, *tmp;
	struct binding *binding;
	size_t cap = 0;

	MACHINES_FOR_EACH (core, machine, tmp)
		cap += (size_t)machine->binding_count;
	build->slots = xcalloc(cap + 1, sizeof(*build->slots));
	build->slot_list = xcalloc(cap + 1, sizeof(*build->slot_list));
	MACHINES_FOR_EACH (core, machine, tmp) {
		if (owner_of(core, machine->id) != owner)
			continue;
		DL_FOREACH2 (machine->bindings, binding, machine_next) {
			Peer__Slot *s = &build->slots[build->nslots];

			if (binding->job->spec.kind != JOB_ARRAY || binding->job->orphan ||
			    *binding->switched_to)
				continue;
			peer__slot__init(s);
			s->machine = machine->id;
			s->job = binding->job->spec.id;
			s->task = binding->task;
			build->slot_list[build->nslots++] = s;
		}
	}
}

static void build_open(struct core *core, struct part_build *build)
{
	struct job *job, *tmp;

	build->open = xcalloc(job_count(core) + 1, sizeof(*build->open));
	build->open_list = xcalloc(job_count(core) + 1, sizeof(*build->open_list));
	JOBS_FOR_EACH (core, job, tmp) {
		/* A job whose team is at its limit, or with nothing waiting, is not drawn. */
		if (job->spec.kind != JOB_ARRAY || !job_waiting_count(job) ||
		    !team_has_room(core, &job->spec, 1))
			continue;
		peer__open__init(&build->open[build->nopen]);
		build->open[build->nopen].job = job->spec.id;
		build->open_list[build->nopen] = &build->open[build->nopen];
		build->nopen++;
	}
}

static void send_part(struct core *core, size_t owner)
{
	struct part_build build = {0};
	Peer__Part part = PEER__PART__INIT;
	uint8_t *buf;
	size_t n;

	build_slots(core, owner, &build);
	build_open(core, &build);
	part.token = election_token(core);
	part.slots = build.slot_list;
	part.n_slots = build.nslots;
	part.open = build.open_list;
	part.n_open = build.nopen;
	buf = peers_pack(&part.base, &n);
	if (owner == core->conf->npeers) {
		pair_begin(core, 0, buf, n);
		free(buf);
	} else {
		core_call_packed(core, core->conf->peers[owner].addr, SHARE_SWITCHING_PATH, buf, n,
				 on_part_answer, (void *)(uintptr_t)owner);
	}
	free(build.slots);
	free(build.slot_list);
	free(build.open);
	free(build.open_list);
}

/* Nothing is paired after a take-over until workers have had the time to report. */
void share_switching_tick(struct core *core)
{
	if (core->now < core->share_switching.next_at ||
	    core->now - core->leading_since < AUTOSCALE_SETTLE_S || store_is_unavailable(core))
		return;
	core->share_switching.next_at =
	    core->now + SWITCH_QUANTUM_S * (1 + SWITCH_JITTER * (core_random(core) - 0.5));
	for (size_t i = 0; i <= core->conf->npeers; i++)
		send_part(core, i);
}
