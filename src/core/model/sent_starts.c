#include "core/model/sent_starts.h"

#include "core/state.h"

struct sent_starts sent_starts_before(uint64_t token)
{
	return (struct sent_starts){.heartbeat_sequence = 0, .direct_token = token - 1};
}

bool sent_starts_are_void(const struct sent_starts *starts, const struct machine_agent *agent)
{
	return agent->token > starts->direct_token &&
	       agent->heartbeat_sequence > starts->heartbeat_sequence;
}

bool sent_starts_need_new_token(const struct core *core, const struct sent_starts *starts)
{
	return starts->direct_token >= election_token(core) && !election_is_renewing_token(core);
}
