/* Job descriptions, as users send them and as they are stored, and answers about a job's state. */
#ifndef PLOVERLOFT_JOB_CODEC_H
#define PLOVERLOFT_JOB_CODEC_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "wire/name_list.h"

enum job_kind {
	JOB_ARRAY,  /* the job's tasks run independently of each other */
	JOB_GANG,   /* the job's tasks run at the same time or not at all */
	JOB_SERVICE /* the tasks run until the user cancels the job; a task that ends is started
		     * again */
};

/* The priorities of jobs, the most urgent first. */
enum job_priority { PRIO_PRODUCTION, PRIO_HIGH, PRIO_NORMAL, PRIO_LOW };

/* The states of a job as users see them; done and cancelled are final. */
enum job_state { JOB_STATE_QUEUED, JOB_STATE_RUNNING, JOB_STATE_DONE, JOB_STATE_CANCELLED };

/* A job description: what a user submits. Sizes are in GB. */
struct job_spec {
	char id[ID_MAX];
	char class_name[NAME_MAX_LEN];
	char team[NAME_MAX_LEN];
	char image[NAME_MAX_LEN];
	char zone[NAME_MAX_LEN]; /* the only zone allowed; empty: any */
	struct name_list types;	 /* allowed machine types; empty: any */
	enum job_kind kind;
	enum job_priority priority;
	uint32_t task_count;
	double cpus, gpus, mem_gb; /* demand of each task */
	double image_gb;	   /* size of the image, which the machine fetches */
	double estimate_s;	   /* the user's estimate of a task's run time, in seconds */
	double checkpoint_s;	   /* seconds between checkpoints; 0: the job makes none */
	double save_s;		   /* seconds that a stopped task takes to save its state */
	double deadline_s;	   /* seconds from submission to the job's end; < 0: none */
	bool one_zone;		   /* all tasks must run in the same zone */
	bool spread;		   /* at most half of the tasks may run in one zone */
	bool spot;		   /* may use spot machines, which the cloud may take back */
};

/* Whether the id has the form that the protocol demands: W_JOB_PREFIX and decimal digits. */
bool wire_job_id_is_valid(const char *id);

/*
 * Decodes a description, from a user or from wire_job_encode. Returns 0, or -1 with a static text
 * in `*why`: the key of the first field that is missing or invalid, as in names.h, or "not an
 * object". A user whose description is invalid gets this text as the answer. In both cases the
 * caller frees what the description owns with wire_job_free.
 */
int wire_job_decode(json_t *object, struct job_spec *spec, const char **why);

/* Frees what the description owns, not the description itself. */
void wire_job_free(struct job_spec *spec);

/* Encodes a description as it is stored. The caller releases it with json_decref. */
json_t *wire_job_encode(const struct job_spec *spec);

/* Returns the state's name on the wire, a static text. */
const char *wire_job_state_name(enum job_state state);

/* Encodes a job's state for users: `done` and `running` are numbers of tasks. The caller frees the
 * text. */
char *wire_job_answer(const char *id, enum job_state state, uint32_t done, uint32_t running);

#endif
