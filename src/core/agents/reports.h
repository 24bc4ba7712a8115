/*
 * Decides which reports of agents count, and applies those to the state of their machine.
 *
 * A report may be a late copy: from seconds or minutes ago, from before a failover, or of a machine
 * that was deleted. A report that shows a token of this term was made in this term. Within the
 * term, (incarnation, sequence) orders the messages of an agent. An agent that has not seen the
 * token yet learns it from the answer to its report, and its reports count from then on.
 */
#ifndef PLOVERLOFT_REPORTS_H
#define PLOVERLOFT_REPORTS_H

#include <stdbool.h>

#include "core/model/machine.h"
#include "core/runtime/call.h"

/* Why an agent sent a report. */
enum report_origin {
	REPORT_HEARTBEAT, /* the agent sent it by itself, as it does at each interval */
	REPORT_SOLICITED  /* in the answer to a probe or to direct commands */
};

/*
 * True if the report counts: its token shows that it was made in this term and after any known
 * restart of its agent. No report counts while a restarted agent awaits a new token.
 */
bool report_is_current(const struct core *core, const struct machine *machine,
		       const struct report *report);
/* True if the report is newer than the message with this incarnation and sequence number. */
bool report_is_newer(const struct report *report, uint64_t incarnation, uint64_t sequence);
/*
 * Applies a report that counts. Returns false if it is not newer than the newest message of its
 * machine.
 */
bool report_apply(struct core *core, struct machine *machine, const struct report *report,
		  enum report_origin origin);
/*
 * Applies the report in an agent's answer to `call`. A malformed one, or one of another machine, is
 * ignored.
 */
void report_apply_solicited(struct core *core, struct machine *machine, const struct call *call,
			    const struct call_answer *answer);

#endif
