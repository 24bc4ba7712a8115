#include "core/agents/redirect.h"

#include <string.h>

#include "core/state.h"

void reply_misdirected(struct core *core, uint64_t connection)
{
	const char *leader = election_leader(core);

	if (!strcmp(leader, core->conf->name))
		leader = "";
	core_reply(core, connection, STATUS_MISDIRECTED, 0, wire_redirect_answer(leader));
}
