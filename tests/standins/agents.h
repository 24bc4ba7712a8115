/* Stand-ins for the agents on machines: their tasks, the commands they carry out, their reports. */
#ifndef PLOVERLOFT_STANDINS_AGENTS_H
#define PLOVERLOFT_STANDINS_AGENTS_H

#include <stdint.h>

#include <jansson.h>

#include "standins/machines.h"

/* --- messages: agent_messages.c --- */

/* Answers a probe or direct commands by standin->callbacks; none if the machine is not up. */
void standin_agent_request(struct standin *standin, struct standin_machine *machine,
			   uint64_t handle, const char *path, const char *body);

/*
 * Takes the answer to the heartbeat of this incarnation and sequence, unless it is out of date;
 * `status` as HTTP has it, `body` may be NULL.
 */
void standin_agent_answer(struct standin *standin, int machine, uint64_t incarnation,
			  uint64_t sequence, int status, const char *body);

/* Sends a heartbeat if it is due, or if there is news. Gives up one without an answer. */
void agent_report_if_due(struct standin *standin, struct standin_machine *machine);

/* --- commands: agent_commands.c --- */

/* Notes the fencing token and carries out the commands in `body`, an answer or direct commands. */
void agent_run_commands(struct standin *standin, struct standin_machine *machine,
			const json_t *body, uint64_t token);

/* Starts a task as no command does, to break a rule on purpose. */
void standin_force_start(struct standin *standin, struct standin_machine *machine, const char *job,
			 uint32_t index);

/* --- tasks: agent_tasks.c --- */

/* The task has ended; its agent reports the reason. */
void task_exit(struct standin_task *task, enum task_end_reason reason);

/* Moves a task on by `elapsed_s` seconds, to the present time. */
void task_tick(struct standin *standin, struct standin_task *task, double elapsed_s);

#endif
