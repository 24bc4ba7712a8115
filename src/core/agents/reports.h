/*
 * Agents' reports: which count, and what they change in what is known of their machine.
 *
 * A report may be a copy from seconds or minutes ago, from before a failover, or of a machine that
 * is deleted. An agent that has seen this term's token was there in this term; within the term,
 * (incarnation, sequence) orders its messages. An agent that has not seen the token yet is
 * answered, so that it will, and its reports count from then on.
 */
#ifndef PLOVERLOFT_REPORTS_H
#define PLOVERLOFT_REPORTS_H

#include <stdbool.h>

#include "core/model/machine.h"
#include "core/runtime/call.h"

/* Why an agent sent a report. */
enum report_origin {
	REPORT_HEARTBEAT, /* by itself, at each interval */
	REPORT_SOLICITED  /* as the answer to a probe or to direct commands */
};

/* True if the report was made in this term, by an agent that does not await a new token. */
bool report_counts(const struct core *core, const struct machine *machine,
		   const struct report *report);
/* True if the report is newer than the message with this incarnation and sequence. */
bool report_is_newer(const struct report *report, uint64_t incarnation, uint64_t sequence);
/* Applies a report that counts. False if it is not newer than the machine's newest message. */
bool report_apply(struct core *core, struct machine *machine, const struct report *report,
		  enum report_origin origin);
/* Applies the report in an agent's answer to `call`. A malformed one is ignored. */
void report_apply_solicited(struct core *core, struct machine *machine, const struct call *call,
			    const struct call_answer *answer);

#endif
