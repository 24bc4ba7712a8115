#include "core/records/limits.h"

#include <math.h>

#include "core/state.h"
#include "util/log.h"

/* The smaller of today's limit and the one to come, which need not be stated. */
static double smaller(double today, double next)
{
	return next > 0 ? fmin(today, next) : today;
}

static bool learned_counts(const struct core *core)
{
	return core->now < core->limits.expires_at;
}

static size_t with_learned(const struct core *core, double value_kb)
{
	size_t bytes = (size_t)(value_kb * 1024);

	if (learned_counts(core) && core->limits.value_bytes && core->limits.value_bytes < bytes)
		bytes = core->limits.value_bytes;
	return bytes;
}

size_t limits_value_bytes(const struct core *core)
{
	return election_format(core) >= FORMAT_SMALL_CHUNKS
		   ? limits_job_record_bytes(core)
		   : with_learned(core, core->conf->limits.value_kb);
}

size_t limits_job_record_bytes(const struct core *core)
{
	const struct conf *conf = core->conf;

	return with_learned(core, smaller(conf->limits.value_kb, conf->next_limits.value_kb));
}

int limits_txn_ops(const struct core *core)
{
	const struct conf *conf = core->conf;
	int most = (int)smaller(conf->limits.txn_ops, conf->next_limits.txn_ops);

	if (learned_counts(core) && core->limits.txn_ops && core->limits.txn_ops < most)
		most = core->limits.txn_ops;
	return most;
}

double limits_write_rps(const struct core *core)
{
	return smaller(core->conf->limits.write_rps, core->conf->next_limits.write_rps);
}

void limits_note_refusal(struct core *core, int nops, size_t largest)
{
	struct learned_limits *learned = &core->limits;

	if (!learned_counts(core))
		*learned = (struct learned_limits){0};
	if (nops > LIMITS_TXN_OPS_MIN)
		learned->txn_ops = nops / 2 > LIMITS_TXN_OPS_MIN ? nops / 2 : LIMITS_TXN_OPS_MIN;
	else if (largest > LIMITS_VALUE_FLOOR)
		*learned = (struct learned_limits){.value_bytes = largest - 1};
	learned->expires_at = core->now + LIMITS_LEARNED_S;
	log_info("limits_learned", "learned_ops=%d learned_bytes=%zu", learned->txn_ops,
		 learned->value_bytes);
}
