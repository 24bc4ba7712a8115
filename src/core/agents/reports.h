/*
 * Decides which reports of agents are current, and applies reports to the state of their machines.
 *
 * A heartbeat may be a late copy: from seconds or minutes ago, from before a failover, or of a
 * machine that was deleted. A heartbeat is current if it shows election_min_report_token or a newer
 * token, and so was made in this term, and if it was made after any known restart of its agent. Any
 * other heartbeat is stale: it is answered, but of its contents only the machine's identity is
 * used. An agent that has not seen the token yet learns it from that answer, and its heartbeats are
 * current from then on. A report in the answer to a call of this controller cannot be a late copy,
 * and is applied whatever token it shows. Within the term, (incarnation, sequence) orders the
 * messages of an agent.
 */
#ifndef PLOVERLOFT_REPORTS_H
#define PLOVERLOFT_REPORTS_H

#include <stdbool.h>

#include "core/model/machine.h"
#include "core/runtime/call.h"

/* Why an agent sent a report. */
enum report_origin {
	REPORT_HEARTBEAT, /* the agent sent the report by itself, as at each report interval */
	/* The agent sent the report in the answer to a probe or to direct commands. */
	REPORT_SOLICITED
};

/*
 * True if the heartbeat is current: its token shows that it was made in this term and after any
 * known restart of its agent. After a restart, no heartbeat of the agent is current until this
 * controller holds a new token.
 */
bool report_is_current(const struct core *core, const struct machine *machine,
		       const struct report *report);
/* True if the report is newer than the message with this incarnation and sequence number. */
bool report_is_newer(const struct report *report, uint64_t incarnation, uint64_t sequence);
/*
 * Applies a current heartbeat, or the report in an answer to a call. Returns false, and applies
 * nothing, if the report is not newer than the last applied message of the machine's agent.
 */
bool report_apply(struct core *core, struct machine *machine, const struct report *report,
		  enum report_origin origin);
/*
 * Applies the report in an agent's answer to `call`. Ignores a malformed report and the report of
 * another machine.
 */
void report_apply_solicited(struct core *core, struct machine *machine, const struct call *call,
			    const struct call_answer *answer);

#endif
