/* Job descriptions, as users send them and as they are stored, and the answers on a job's state. */
#ifndef PLOVERLOFT_JOB_CODEC_H
#define PLOVERLOFT_JOB_CODEC_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "wire/name_list.h"

enum job_kind {
	JOB_ARRAY,  /* its tasks run independently of each other */
	JOB_GANG,   /* its tasks run at the same time or not at all */
	JOB_SERVICE /* its tasks run until its user cancels it: one that ends is started again */
};

/* The most urgent first. */
enum job_priority { PRIO_PRODUCTION, PRIO_HIGH, PRIO_NORMAL, PRIO_LOW };

/* The states of a job as users see them; the last two are final. */
enum job_state { JOB_STATE_QUEUED, JOB_STATE_RUNNING, JOB_STATE_DONE, JOB_STATE_CANCELLED };

/* What a user asks for. Times are in seconds, sizes in GB. */
struct job_spec {
	char id[ID_MAX];
	char class_name[NAME_MAX_LEN];
	char team[NAME_MAX_LEN];
	char image[NAME_MAX_LEN];
	char zone[NAME_MAX_LEN]; /* empty: any */
	struct name_list types;	 /* allowed types of machines; none: any */
	enum job_kind kind;
	enum job_priority priority;
	uint32_t task_count;
	double cpus, gpus, mem_gb; /* for each task */
	double image_gb;	   /* size of the image that a machine fetches */
	double estimate_s;	   /* run time of a task, as the user estimates it */
	double checkpoint_s;	   /* between checkpoints; 0: the job makes none */
	double save_s;		   /* to save a task's state when it is stopped */
	double deadline_s;	   /* from the submission to the end of the job; < 0: none */
	bool one_zone;		   /* all tasks in one zone */
	bool spread;		   /* at most half of a gang's tasks in one zone */
	bool spot;		   /* machines that the cloud may take back will do */
};

/* True if the id has the form that the protocol asks for: its prefix, then decimal digits. */
bool wire_job_id_ok(const char *id);

/*
 * 0, or -1 with the reason in *why, a static text: the key of the first field that is missing or
 * invalid, or that there is no object. `object` is the user's words or what wire_job_encode gave.
 * Whatever it returns, the caller frees what the description holds with wire_job_free.
 */
int wire_job_decode(json_t *object, struct job_spec *spec, const char **why);

/* Frees what the description holds, not the description itself. */
void wire_job_free(struct job_spec *spec);

/* The description as it is stored; the caller releases it with json_decref. */
json_t *wire_job_encode(const struct job_spec *spec);

/* The state's name, a static text. */
const char *wire_job_state(enum job_state state);

/* The answer to a question for a job, with the numbers of its tasks; the caller frees the text. */
char *wire_job_answer(const char *id, enum job_state state, uint32_t done, uint32_t running);

#endif
