/* The reports of agents, and the commands that answer them or are sent directly. */
#ifndef PLOVERLOFT_REPORT_CODEC_H
#define PLOVERLOFT_REPORT_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/name_list.h"

/* The states of an attempt, in the order in which it passes through them. */
enum task_state {
	TASK_FETCHING, /* the machine fetches the image */
	TASK_WAITING,  /* for the other tasks of its gang */
	TASK_RUNNING,
	TASK_SAVING, /* saves its state before it stops */
	TASK_EXITED
};

/* Why a task exited or was refused. */
enum task_end_reason {
	END_NONE, /* it has not exited, or the reason is one that we don't know */
	END_DONE,
	END_STOPPED,	/* on a command */
	END_PEERS_LOST, /* another task of its gang was lost */
	END_ALONE,	/* the other tasks of its gang did not come up in time */
	END_ERROR,
	END_NO_ROOM,	/* refused: the machine's CPUs, GPUs or memory do not suffice */
	END_BUSY,	/* refused: the machine runs another attempt of the task */
	END_UNKNOWN_JOB /* refused: the agent does not know the job's description yet */
};

/* One attempt of a task, as its agent reports it. */
struct report_task {
	char job[ID_MAX];
	uint32_t task; /* its index in the job */
	uint64_t attempt;
	enum task_state state;
	enum task_end_reason end_reason;
	bool saved; /* true if its state was saved when it was stopped */
};

/* One message of an agent: its machine and all attempts that it knows of. */
struct report {
	char machine[ID_MAX];
	char addr[NAME_MAX_LEN]; /* where the agent takes direct commands */
	char type[NAME_MAX_LEN];
	char zone[NAME_MAX_LEN];
	bool spot;	      /* true if the cloud may take the machine back */
	uint64_t incarnation; /* rises each time the agent's lease has run out */
	uint64_t sequence;    /* rises with each report of an incarnation */
	uint64_t token;	      /* newest fencing token that the agent has seen */
	double notice_s;      /* seconds until the cloud takes the machine back; < 0: no notice */
	struct report_task *tasks;
	size_t task_count;
};

enum command_op {
	OP_START,
	OP_STOP,
	OP_FORGET /* an exited attempt, which the agent need not report any longer */
};

/* What an agent is to do with one attempt of a task. */
struct command {
	enum command_op op;
	char job[ID_MAX];
	uint32_t task; /* its index in the job */
	uint64_t attempt;
	double grace_s; /* of a stop: seconds that the task has to save its state */
};

/*
 * 0, or -1 if the report or any of its tasks is invalid. On success the caller frees the tasks with
 * wire_report_free; on failure there are none.
 */
int wire_report_decode(const char *body, size_t len, struct report *report);

/* Frees the tasks of a report, not the report itself. */
void wire_report_free(struct report *report);

/* The answer to a report: fencing token and commands. The caller frees the text. */
char *wire_heartbeat_answer(uint64_t token, const struct command *commands, size_t count);

/* Commands that only the given incarnation of the agent carries out. The caller frees the text. */
char *wire_direct_commands(uint64_t token, uint64_t incarnation, const struct command *commands,
			   size_t count);

/*
 * The answer to a report that came to a controller that does not lead: the leader's address, if
 * `leader` is neither NULL nor empty. The caller frees the text.
 */
char *wire_redirect(const char *leader);

#endif
