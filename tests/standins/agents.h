/*
 * Stand-ins for the agents on the machines: the tasks that they run, the commands that they carry
 * out, and the reports that they send. In the tests, "report" also stands for the heartbeat that
 * carries it.
 */
#ifndef PLOVERLOFT_STANDINS_AGENTS_H
#define PLOVERLOFT_STANDINS_AGENTS_H

#include <stdint.h>

#include <jansson.h>

#include "standins/machines.h"

/* --- messages: agent_messages.c --- */

/*
 * Handles a probe or direct commands and answers through standin->callbacks. A machine that is not
 * up sends no answer.
 */
void standin_agent_handle_request(struct standin *standin, struct standin_machine *machine,
				  uint64_t handle, const char *path, const char *body);

/*
 * Handles the answer to the report with this incarnation and sequence number. The answer is
 * ignored unless the agent still waits for it. `status` is the HTTP status, `body` may be NULL.
 */
void standin_agent_handle_answer(struct standin *standin, int machine, uint64_t incarnation,
				 uint64_t sequence, int status, const char *body);

/*
 * Sends a report if one is due or the machine has changed since the last one. While a report is
 * unanswered, no other is sent; after a timeout it counts as lost.
 */
void agent_report_if_due(struct standin *standin, struct standin_machine *machine);

/* --- commands: agent_commands.c --- */

/*
 * Records the fencing token if it is newer than the agent's, and carries out the commands in
 * `body`, which is the answer to a report or a request with direct commands.
 */
void agent_run_commands(struct standin *standin, struct standin_machine *machine,
			const json_t *body, uint64_t token);

/*
 * Starts a task that no controller asked for, to break a rule on purpose: the task runs at once,
 * without fetching its image.
 */
void standin_force_start(struct standin *standin, struct standin_machine *machine, const char *job,
			 uint32_t index);

/* --- tasks: agent_tasks.c --- */

/* Ends the task. It stays on its machine as exited, so that the agent reports the reason. */
void task_exit(struct standin_task *task, enum task_end_reason reason);

/* Advances a task by the `elapsed_s` seconds up to standin->now. */
void task_tick(struct standin *standin, struct standin_task *task, double elapsed_s);

#endif
