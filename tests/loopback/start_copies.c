/* Keeps the messages that carried starts to the agents, and delivers copies of them. */
#include <stdlib.h>
#include <string.h>

#include "core/runtime/http_status.h"
#include "loopback/loopback.h"
#include "util/xalloc.h"
#include "wire/names.h"

static void note_start(struct loopback *loopback, int machine, bool direct, const char *body)
{
	const struct standin_machine *agent = &loopback->standin.machines[machine];
	struct loopback_start *newest = &loopback->newest_starts[machine];

	if (!strstr(body, "\"" W_OP_START "\""))
		return;
	free(newest->body);
	newest->direct = direct;
	newest->incarnation = agent->report_incarnation;
	newest->sequence = agent->report_sequence;
	newest->body = xstrdup(body);
}

void loopback_note_direct_start(struct loopback *loopback, int machine, const char *body)
{
	note_start(loopback, machine, true, body);
}

void loopback_note_answered_start(struct loopback *loopback, int machine, const char *body)
{
	note_start(loopback, machine, false, body);
}

struct loopback_start loopback_capture_start(const struct loopback *loopback, int machine)
{
	struct loopback_start start = loopback->newest_starts[machine];

	start.body = start.body ? xstrdup(start.body) : NULL;
	return start;
}

void loopback_repeat_start(struct loopback *loopback, int machine,
			   const struct loopback_start *start)
{
	struct standin *standin = &loopback->standin;

	if (start->direct)
		standin_agent_handle_request(standin, &standin->machines[machine],
					     (uint64_t)LOOPBACK_SERVERS << HANDLE_SERVER_SHIFT,
					     W_PATH_COMMANDS, start->body);
	else
		standin_agent_handle_answer(standin, machine, start->incarnation, start->sequence,
					    STATUS_OK, start->body);
}
