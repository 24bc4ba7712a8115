/*
 * Decides which slots of a controller's part are switched in a quantum of share switching. The
 * controller writes the number of slots of each job in its part to the state service, and reads and
 * sums the counts of all controllers. For each slot it draws a job with probability proportional to
 * the job's count, and it answers with the slots that are switched. A switched slot goes to its new
 * job when its task has ended; until then no part contains it.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/scheduling/job_counts.h"
#include "core/scheduling/share_switching.h"
#include "core/state.h"
#include "peer.pb-c.h"
#include "util/xalloc.h"

/* Prefix of the keys of the controllers' counts: p/NAME for a controller's first value, p/NAME/1,
 * p/NAME/2 and so on for further ones. */
#define COUNTS_PREFIX "p/"
#define COUNTS_KEY_BYTES (CONF_NAME_MAX + 16)
/* Bytes of a value with counts, without its entries: names of fields, token, quantum. */
#define COUNTS_OVERHEAD_BYTES 64
/* Bytes of one entry of a value with counts: the count of one job, without the job's id. */
#define COUNT_OVERHEAD_BYTES 16

/* A decision under way on the slots of one Part message of the leader (see
 * share_switching.h): first this controller's counts are written, then the counts of all
 * controllers are read. */
struct part_decision {
	uint64_t connection; /* connection to answer on; 0: this controller is the leader */
	Peer__Part *part;
	/* Number of slots of each job in `part`, which is this controller's part; without the jobs
	 * whose numbers were already added to a transaction. */
	struct job_slot_count *own_counts;
	/* Number of values with this controller's counts added to transactions so far. */
	int values_written;
	/* Number of this controller's quantum, written with each of its values. */
	uint64_t own_quantum;
	/* Number of slots of each job in the parts of all controllers, and whether the job accepts
	 * slots of other jobs. */
	struct job_slot_count *counts;
	/* Number of the newest quantum of the controller whose counts are being read. */
	json_int_t newest_quantum;
};

static void part_decision_free(void *arg)
{
	struct part_decision *decision = arg;

	job_counts_free(&decision->own_counts);
	job_counts_free(&decision->counts);
	peer__part__free_unpacked(decision->part, NULL);
	free(decision);
}

static void part_decision_fail(struct core *core, struct part_decision *decision)
{
	if (decision->connection)
		/* "state" means: the state service refused the request or did not answer. */
		core_reply_error(core, decision->connection, STATUS_UNAVAILABLE, 0, "state");
	part_decision_free(decision);
}

/* --- deciding on switches --- */

double share_switch_probability(double m_a, double m_b)
{
	if (m_a <= 0 || m_a >= m_b)
		return 0;
	return fmin(1, (m_b * m_b - m_a * m_a) / (2 * m_a * m_b));
}

/* Draws a job with probability proportional to its slots; NULL if there are no slots. */
static struct job_slot_count *draw_job(struct core *core, struct job_slot_count *counts,
				       double total)
{
	double position = core_random(core) * total;
	struct job_slot_count *count;

	for (count = counts; count; count = count->hh.next) {
		position -= count->slots;
		if (position < 0)
			return count;
	}
	return NULL;
}

/* Draws whether a slot of the job `id` is switched. Returns the job that gets the slot; NULL if the
 * slot is not switched. */
static struct job_slot_count *draw_switch_target(struct core *core, struct part_decision *decision,
						 const char *id, double total)
{
	const struct job_slot_count *current = job_counts_get(&decision->counts, id);
	struct job_slot_count *drawn = draw_job(core, decision->counts, total);
	double probability;

	if (!drawn || drawn == current || !drawn->accepts_slots)
		return NULL;
	probability = share_switch_probability(drawn->slots, current->slots);
	return core_random(core) < probability ? drawn : NULL;
}

static void send_switches(struct core *core, const struct part_decision *decision,
			  const Peer__Switches *switches)
{
	size_t len;
	uint8_t *message = peers_pack(&switches->base, &len);

	if (decision->connection) {
		core_reply_packed(core, decision->connection, message, len);
		return;
	}
	share_switching_apply(core, core->conf->peer_count, message, len);
	free(message);
}

static void decide_switches(struct core *core, struct part_decision *decision)
{
	size_t slot_count = decision->part->n_slots;
	Peer__Switch *switches = xcalloc(slot_count, sizeof(*switches));
	Peer__Switch **list = xcalloc(slot_count, sizeof(*list));
	Peer__Switches message = PEER__SWITCHES__INIT;
	double total = job_counts_total(decision->counts);

	for (size_t i = 0; i < slot_count; i++) {
		Peer__Slot *slot = decision->part->slots[i];
		struct job_slot_count *target =
		    draw_switch_target(core, decision, slot->job, total);

		if (!target)
			continue;
		peer__switch__init(&switches[i]);
		switches[i].slot = slot;
		switches[i].to = target->id;
		list[message.n_switches++] = &switches[i];
	}
	message.token = decision->part->token;
	message.incarnation = peers_incarnation(core);
	message.switches = list;
	send_switches(core, decision, &message);
	free(switches);
	free(list);
}

/* --- reading the counts of all controllers --- */

/*
 * Whether a value with counts is left from an earlier quantum of its controller: a controller that
 * wrote more values in an earlier quantum does not delete the additional ones. A controller's first
 * value is read before its other values and shows the controller's newest quantum, which is kept
 * in `newest_quantum`.
 */
static bool counts_are_outdated(struct part_decision *decision, const struct kv_item *item)
{
	json_int_t quantum = json_integer_value(json_object_get(item->value, "quantum"));
	const char *name = item->key + strlen(COUNTS_PREFIX);
	size_t name_len = strcspn(name, "/");

	if (!name[name_len]) {
		decision->newest_quantum = quantum;
		return false;
	}
	return quantum != decision->newest_quantum;
}

static void sum_counts_value(void *ctx, const struct kv_item *item)
{
	struct part_decision *decision = ctx;
	json_int_t token = json_integer_value(json_object_get(item->value, "token"));
	const char *id;
	json_t *slots;

	/* Counts written under another fencing token belong to another quantum. */
	if ((uint64_t)token != decision->part->token)
		return;
	if (counts_are_outdated(decision, item))
		return;
	json_object_foreach (json_object_get(item->value, "counts"), id, slots) {
		if (strlen(id) < ID_MAX)
			job_counts_get(&decision->counts, id)->slots += json_number_value(slots);
	}
}

static void on_counts_read(struct core *core, struct call *call, const struct call_answer *answer)
{
	struct part_decision *decision = call->arg;
	json_t *items;

	store_update_availability(core, answer);
	if (answer->status != STATUS_OK) {
		part_decision_fail(core, decision);
		return;
	}
	items = wire_parse(answer->body, answer->len);
	wire_items_for_each(items, sum_counts_value, decision);
	json_decref(items);
	decide_switches(core, decision);
	part_decision_free(decision);
}

/* --- writing this controller's counts --- */

/* Adds the write of one value with `counts` to the transaction, and takes ownership of `counts`. */
static void add_counts_write(const struct core *core, struct txn *txn,
			     struct part_decision *decision, json_t *counts)
{
	char key[COUNTS_KEY_BYTES];

	if (decision->values_written)
		snprintf(key, sizeof(key), COUNTS_PREFIX "%s/%d", core->conf->name,
			 decision->values_written);
	else
		snprintf(key, sizeof(key), COUNTS_PREFIX "%s", core->conf->name);
	txn_put(txn, key,
		json_pack("{s:I,s:I,s:o}", "token", (json_int_t)decision->part->token, "quantum",
			  (json_int_t)decision->own_quantum, "counts", counts),
		0);
	decision->values_written++;
}

/* Adds to the transaction the write of one value: the number of slots that each job has in this
 * controller's part, for as many of the jobs in `own_counts` as fit in one value. Removes from
 * `own_counts` the jobs that the value holds; those that remain are still to be written. */
static void add_counts_value(const struct core *core, struct txn *txn,
			     struct part_decision *decision)
{
	size_t bytes_max = limits_job_record_bytes(core);
	size_t bytes = COUNTS_OVERHEAD_BYTES;
	json_t *counts = json_object();
	struct job_slot_count *count, *next;

	HASH_ITER (hh, decision->own_counts, count, next) {
		bytes += strlen(count->id) + COUNT_OVERHEAD_BYTES;
		if (bytes > bytes_max)
			break;
		json_object_set_new(counts, count->id, json_integer((json_int_t)count->slots));
		job_counts_remove(&decision->own_counts, count);
	}
	add_counts_write(core, txn, decision, counts);
}

static void write_counts(struct core *core, struct part_decision *decision);

static void on_counts_written(struct core *core, struct call *call,
			      const struct call_answer *answer)
{
	struct part_decision *decision = call->arg;
	struct call *read;

	store_update_availability(core, answer);
	if (answer->status != STATUS_OK) {
		part_decision_fail(core, decision);
		return;
	}
	if (decision->own_counts) {
		write_counts(core, decision);
		return;
	}
	read = store_range(core, COUNTS_PREFIX, "", on_counts_read, decision);
	read->free_arg = part_decision_free;
}

/* Writes the number of slots that each job has in this controller's part, for as many of the jobs
 * still to be written as fit in one transaction; on_counts_written continues with the others. */
static void write_counts(struct core *core, struct part_decision *decision)
{
	struct txn txn;
	struct call *commit;

	txn_begin(&txn);
	do
		add_counts_value(core, &txn, decision);
	while (decision->own_counts && txn.op_count < limits_txn_ops(core));
	commit = store_commit(core, txn_finish(&txn), on_counts_written, decision);
	commit->free_arg = part_decision_free;
}

/* --- receiving a part --- */

void share_switching_decide(struct core *core, uint64_t connection, const uint8_t *message,
			    size_t len)
{
	Peer__Part *part = peer__part__unpack(NULL, len, message);
	struct part_decision *decision;

	if (!part) {
		/* "part" means: the request's body is not a Part message. */
		core_reply_error(core, connection, STATUS_BAD_REQUEST, 0, "part");
		return;
	}
	decision = xcalloc(1, sizeof(*decision));
	decision->connection = connection;
	decision->part = part;
	for (size_t i = 0; i < part->n_open; i++)
		job_counts_get(&decision->counts, part->open[i]->job)->accepts_slots = true;
	for (size_t i = 0; i < part->n_slots; i++)
		job_counts_get(&decision->own_counts, part->slots[i]->job)->slots++;
	decision->own_quantum = ++core->share_switching.quantum;
	write_counts(core, decision);
}

void share_switching_request(struct core *core, const struct core_request *request)
{
	share_switching_decide(core, request->connection, (const uint8_t *)request->body,
			       request->len);
}
