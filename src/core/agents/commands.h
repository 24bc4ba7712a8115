/* Which commands a worker is to be given: with the answer to its report, or directly. */
#ifndef PLOVERLOFT_COMMANDS_H
#define PLOVERLOFT_COMMANDS_H

#include <stdbool.h>

#include "core/model/machine.h"

struct command_list {
	struct command items[COMMANDS_MAX];
	size_t count;
	bool has_start;
};

/* True if no start sent at an earlier moment can still take effect on this machine. */
bool machine_fenced(const struct machine *machine);
/* The commands that are due. `beat`: they go with the answer to a report. */
void commands_collect(struct core *core, struct machine *machine, struct command_list *list,
		      bool beat);

#endif
