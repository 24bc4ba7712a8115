/* Counts and logs refused requests. */
#include "core/runtime/refusal_log.h"

#include "core/state.h"
#include "util/log.h"

/* Bytes of the body that a line shows before and after the offset of the failure. */
#define EXCERPT_BEFORE_BYTES 32
#define EXCERPT_AFTER_BYTES 64
#define EXCERPT_SIZE (EXCERPT_BEFORE_BYTES + EXCERPT_AFTER_BYTES + 1)

/* Copies the part of the body around the failure. All bytes but printable ASCII become dots, so
 * that a sender can't write lines of its own into the log. */
static void copy_excerpt(const struct refusal *refusal, char excerpt[EXCERPT_SIZE])
{
	size_t at = refusal->failed_at;
	size_t begin = at > EXCERPT_BEFORE_BYTES ? at - EXCERPT_BEFORE_BYTES : 0;
	size_t end =
	    refusal->len - at > EXCERPT_AFTER_BYTES ? at + EXCERPT_AFTER_BYTES : refusal->len;
	size_t count = 0;

	for (size_t i = begin; i < end; i++) {
		char byte = refusal->body[i];

		excerpt[count++] = byte >= ' ' && byte <= '~' ? byte : '.';
	}
	excerpt[count] = 0;
}

void core_log_refusal(struct core *core, const struct refusal *refusal)
{
	struct refusal_log *log = &core->refusals;
	char excerpt[EXCERPT_SIZE];

	log->refused++;
	rate_limiter_refill(core, &log->lines, REFUSAL_LINES_PER_S);
	if (log->lines.tokens < 1) {
		log->unlogged++;
		return;
	}
	log->lines.tokens -= 1;
	copy_excerpt(refusal, excerpt);
	log_info("request_refused",
		 "kind=%s job=%s status=%d reason=\"%s\" bytes=%zu at=%zu refused=%llu "
		 "unlogged=%llu near=%s",
		 refusal->kind, refusal->job, refusal->status, refusal->reason, refusal->len,
		 refusal->failed_at, (unsigned long long)log->refused,
		 (unsigned long long)log->unlogged, excerpt);
	log->unlogged = 0;
}
