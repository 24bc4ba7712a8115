/* Reports of agents, and commands to agents: in the answers to reports or sent directly. */
#ifndef PLOVERLOFT_REPORT_CODEC_H
#define PLOVERLOFT_REPORT_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/name_list.h"

/* The states of an attempt, in the order in which an attempt passes through them. */
enum task_state {
	TASK_FETCHING, /* the attempt's machine fetches the image */
	TASK_WAITING,  /* the attempt waits until the other tasks of its gang can start */
	TASK_RUNNING,
	TASK_SAVING, /* the attempt was stopped and saves its state */
	TASK_EXITED
};

/* Why a task exited or was refused. */
enum task_end_reason {
	END_NONE, /* the task has not exited, or the reason is none of the other values */
	END_DONE,
	END_STOPPED,	  /* stopped by a command */
	END_PEERS_LOST,	  /* another task of its gang stopped running */
	END_GANG_TIMEOUT, /* the other tasks of its gang did not start in time */
	END_ERROR,
	END_NO_ROOM,	/* refused: too few CPUs or GPUs, or too little memory, are free */
	END_BUSY,	/* refused: the machine runs another attempt of the task */
	END_UNKNOWN_JOB /* refused: the agent does not know the job's description yet */
};

/* One attempt of a task, as its agent reports it. */
struct report_task {
	char job[ID_MAX];
	uint32_t task; /* index of the task in the job */
	uint64_t attempt;
	enum task_state state;
	enum task_end_reason end_reason;
	bool saved; /* true if the task's state was saved when the attempt was stopped */
};

/* A report of an agent: its machine and all attempts that the agent knows of. */
struct report {
	char machine[ID_MAX];
	char addr[NAME_MAX_LEN]; /* address at which the agent takes commands and probes */
	char type[NAME_MAX_LEN];
	char zone[NAME_MAX_LEN];
	bool spot; /* true if the cloud may take the machine back */
	/* Increases when the agent's lease ends or the agent is restarted. For an exception see
	 * struct machine_agent. */
	uint64_t incarnation;
	uint64_t sequence; /* increases with each report of the incarnation */
	uint64_t token;	   /* newest fencing token that the agent has seen */
	double notice_s;   /* seconds until the cloud takes the machine back; < 0: no notice */
	struct report_task *tasks; /* owned */
	size_t task_count;
};

/* What a command does. */
enum command_op {
	OP_START,
	OP_STOP,
	OP_FORGET /* the agent stops reporting an attempt that has exited */
};

/* A command to an agent about one attempt of a task. */
struct command {
	enum command_op op;
	char job[ID_MAX];
	uint32_t task; /* index of the task in the job */
	uint64_t attempt;
	double grace_s; /* OP_STOP only: seconds that the task is given to save its state */
};

/*
 * Decodes a report. Returns 0, or -1 if the report or any of its tasks is invalid. On success the
 * caller frees the tasks with wire_report_free; on failure there is nothing to free.
 */
int wire_report_decode(const char *body, size_t len, struct report *report);

/* Like wire_report_decode. After -1, `*failed_at` is the offset at which the text is not JSON; 0 if
 * it is JSON. */
int wire_report_decode_at(const char *body, size_t len, struct report *report, size_t *failed_at);

/* Frees the tasks of a report, not the report itself. */
void wire_report_free(struct report *report);

/* Encodes the answer to a report: the fencing token and commands. The caller frees the text. */
char *wire_heartbeat_answer(uint64_t token, const struct command *commands, size_t count);

/*
 * Encodes commands to send directly. Only the given incarnation of the agent carries them out. The
 * caller frees the text.
 */
char *wire_direct_commands(uint64_t token, uint64_t incarnation, const struct command *commands,
			   size_t count);

/*
 * Encodes the answer to a report that reached a controller that is not the leader. It contains the
 * leader's address unless `leader` is NULL or empty. The caller frees the text.
 */
char *wire_redirect_answer(const char *leader);

#endif
