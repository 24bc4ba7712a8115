/* The reports of workers, and the commands that answer them or are sent directly. */
#ifndef PLOVERLOFT_REPORT_CODEC_H
#define PLOVERLOFT_REPORT_CODEC_H

#include <stddef.h>
#include <stdint.h>

#include "wire/name_list.h"

/* The states of an attempt, in the order in which it passes through them. */
enum task_state {
	TS_FETCHING, /* the machine fetches the image */
	TS_WAITING,  /* for the other tasks of its gang */
	TS_RUNNING,
	TS_SAVING, /* saves its state before it stops */
	TS_EXITED
};

/* Why a task exited or was refused. */
enum task_why {
	WHY_NONE, /* it has not exited, or the reason is one that we don't know */
	WHY_DONE,
	WHY_STOPPED, /* on a command */
	WHY_PEERS,   /* another task of its gang was lost */
	WHY_ALONE,   /* the other tasks of its gang did not come up in time */
	WHY_ERROR,
	WHY_NO_ROOM, /* refused: the machine's CPUs, GPUs or memory do not suffice */
	WHY_BUSY,    /* refused: the machine runs another attempt of the task */
	WHY_UNKNOWN  /* refused: the worker does not know the job's description yet */
};

/* One attempt of a task, as its worker reports it. */
struct report_task {
	char job[ID_MAX];
	uint32_t task; /* its index in the job */
	uint64_t attempt;
	enum task_state state;
	enum task_why why;
	int saved; /* true if its state was saved when it was stopped */
};

/* One message of a worker: its machine and all attempts that it knows of. */
struct report {
	char machine[ID_MAX];
	char addr[NAME_MAX_LEN]; /* where the worker takes direct commands */
	char type[NAME_MAX_LEN];
	char zone[NAME_MAX_LEN];
	int spot;	  /* true if the cloud may take the machine back */
	uint64_t session; /* rises each time the worker's lease has run out */
	uint64_t seq;	  /* rises with each report of a session */
	uint64_t token;	  /* newest fencing token that the worker has seen */
	double notice_s;  /* seconds until the cloud takes the machine back; < 0: no notice */
	struct report_task *tasks;
	size_t ntasks;
};

enum command_op {
	OP_START,
	OP_STOP,
	OP_FORGET /* an exited attempt, which the worker need not report any longer */
};

/* What a worker is told to do with one attempt of a task. */
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
char *wire_beat_answer(uint64_t token, const struct command *commands, size_t count);

/* Commands sent to the worker for the given session of it only. The caller frees the text. */
char *wire_direct_commands(uint64_t token, uint64_t session, const struct command *commands,
			   size_t count);

/*
 * The answer to a report that came to a controller that does not lead: the leader's address, if
 * `leader` is neither NULL nor empty. The caller frees the text.
 */
char *wire_misdirected(const char *leader);

#endif
