#include "core/model/sent_starts.h"

#include "core/model/machine.h"

bool sent_starts_are_void(const struct sent_starts *starts, const struct machine_agent *agent)
{
	return agent->heartbeat_sequence > starts->heartbeat_sequence;
}
