/* Holds up the answers to the reports of agents, nearly as long as the agents wait for them. */
#include <stdlib.h>
#include <string.h>

#include "loopback/loopback.h"
#include "util/xalloc.h"

/* Time from a report to its answer while answers are held. An agent waits for 4 s. */
#define HELD_ANSWER_S 3.8

void loopback_hold_answers(struct loopback *loopback, double seconds)
{
	loopback->answers_held_until = net_now() + seconds;
}

bool loopback_hold_answer(struct loopback *loopback, int machine, int status, const char *body)
{
	struct standin_machine *agent = &loopback->standin.machines[machine];
	struct loopback_held_answer *held = &loopback->held_answers[machine];

	if (net_now() >= loopback->answers_held_until)
		return false;
	free(held->body);
	*held = (struct loopback_held_answer){
	    .deliver_at = agent->report_sent_at + HELD_ANSWER_S,
	    .status = status,
	    .incarnation = agent->report_incarnation,
	    .sequence = agent->report_sequence,
	    .body = xstrdup(body),
	};
	return true;
}

void loopback_deliver_held(struct loopback *loopback, double now)
{
	for (int i = 0; i < LOOPBACK_MACHINES; i++) {
		struct loopback_held_answer held = loopback->held_answers[i];

		if (!held.body || now < held.deliver_at)
			continue;
		loopback->held_answers[i].body = NULL;
		standin_agent_handle_answer(&loopback->standin, i, held.incarnation, held.sequence,
					    held.status, held.body);
		free(held.body);
	}
}
