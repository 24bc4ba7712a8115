/*
 * The limits of the state service: those of the settings, and lower ones learned from refusals.
 */
#include "core/records/limits.h"

#include <math.h>

#include "core/state.h"
#include "util/log.h"

/* Returns the smaller of the present limit and the upcoming one, which is 0 if there is none. */
static double smaller_limit(double present, double upcoming)
{
	return upcoming > 0 ? fmin(present, upcoming) : present;
}

static bool learned_limits_are_valid(const struct core *core)
{
	return core->now < core->limits.expires_at;
}

/* Returns a limit on the size of a value in bytes: `value_kb` or the learned limit, whichever is
 * smaller. */
static size_t value_limit(const struct core *core, double value_kb)
{
	size_t learned_bytes = core->limits.value_bytes;
	size_t bytes = (size_t)(value_kb * 1024);

	if (learned_limits_are_valid(core) && learned_bytes && learned_bytes < bytes)
		return learned_bytes;
	return bytes;
}

size_t limits_value_bytes(const struct core *core)
{
	if (election_format(core) >= FORMAT_SMALL_CHUNKS)
		return limits_job_record_bytes(core);
	return value_limit(core, core->conf->limits.value_kb);
}

size_t limits_job_record_bytes(const struct core *core)
{
	const struct conf *conf = core->conf;

	return value_limit(core,
			   smaller_limit(conf->limits.value_kb, conf->upcoming_limits.value_kb));
}

int limits_txn_ops(const struct core *core)
{
	const struct conf *conf = core->conf;
	int learned_ops = core->limits.txn_ops;
	int ops = (int)smaller_limit(conf->limits.txn_ops, conf->upcoming_limits.txn_ops);

	if (learned_limits_are_valid(core) && learned_ops && learned_ops < ops)
		return learned_ops;
	return ops;
}

double limits_write_rps(const struct core *core)
{
	const struct conf *conf = core->conf;

	return smaller_limit(conf->limits.write_rps, conf->upcoming_limits.write_rps);
}

void limits_learn_from_refusal(struct core *core, int op_count, size_t largest_value)
{
	struct learned_limits *learned = &core->limits;
	int half = op_count / 2;

	if (!learned_limits_are_valid(core))
		*learned = (struct learned_limits){0};
	if (op_count > LIMITS_TXN_OPS_MIN)
		learned->txn_ops = half > LIMITS_TXN_OPS_MIN ? half : LIMITS_TXN_OPS_MIN;
	else if (largest_value > LIMITS_VALUE_MIN_BYTES)
		*learned = (struct learned_limits){.value_bytes = largest_value - 1};
	learned->expires_at = core->now + LIMITS_LEARNED_TTL_S;
	log_info("limits_learned", "learned_ops=%d learned_bytes=%zu", learned->txn_ops,
		 learned->value_bytes);
}
