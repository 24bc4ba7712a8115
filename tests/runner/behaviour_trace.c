/*
 * Each action is one line: simulated time, controller, the action and its body, in which bytes that
 * are not printable are escaped. The digest covers these lines with the body unescaped, so that
 * equal digests mean equal lines. The ids that a controller gives to its calls are left out, since
 * they are never sent.
 */
#include "behaviour_trace.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <xxhash.h>

#include "util/xalloc.h"

#define DIGEST_SEED 0
/* Size in bytes of the text that one call formats. Addresses and paths are shorter than that. */
#define LINE_MAX_BYTES 1024

struct behaviour_trace {
	XXH64_state_t *digest;
	FILE *file; /* NULL: only the digest is computed */
};

struct behaviour_trace *behaviour_trace_new(const char *path)
{
	struct behaviour_trace *trace = xcalloc(1, sizeof(*trace));

	trace->digest = xalloc_checked(XXH64_createState());
	XXH64_reset(trace->digest, DIGEST_SEED);
	trace->file = path ? fopen(path, "w") : NULL;
	if (path && !trace->file) {
		behaviour_trace_free(trace);
		return NULL;
	}
	return trace;
}

static void trace_bytes(struct behaviour_trace *trace, const char *bytes, size_t len)
{
	XXH64_update(trace->digest, bytes, len);
	for (size_t i = 0; trace->file && i < len; i++) {
		unsigned char byte = (unsigned char)bytes[i];

		if (isprint(byte) && byte != '\\')
			fputc(byte, trace->file);
		else
			fprintf(trace->file, "\\x%02x", byte);
	}
}

static void trace_text(struct behaviour_trace *trace, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void trace_text(struct behaviour_trace *trace, const char *format, ...)
{
	char text[LINE_MAX_BYTES];
	va_list args;
	int len;

	va_start(args, format);
	len = vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	if (len < 0 || (size_t)len >= sizeof(text))
		abort();
	trace_bytes(trace, text, (size_t)len);
}

void behaviour_trace_add(struct behaviour_trace *trace, double at_s, int controller,
			 const struct core_action *action)
{
	trace_text(trace, "%.6f node=%d ", at_s, controller);
	if (action->kind == ACT_ANSWER)
		trace_text(trace, "answer conn=%" PRIu64 " status=%d retry_after=%d ", action->id,
			   action->status, action->retry_after);
	else
		trace_text(trace, "send %s %s %s timeout=%.6f ", action->method, action->addr,
			   action->path, action->timeout_s);
	trace_text(trace, "len=%zu ", action->len);
	if (action->body)
		trace_bytes(trace, action->body, action->len);
	XXH64_update(trace->digest, "\n", 1);
	if (trace->file)
		fputc('\n', trace->file);
}

uint64_t behaviour_trace_digest(const struct behaviour_trace *trace)
{
	return XXH64_digest(trace->digest);
}

void behaviour_trace_free(struct behaviour_trace *trace)
{
	if (trace->file)
		fclose(trace->file);
	XXH64_freeState(trace->digest);
	free(trace);
}
