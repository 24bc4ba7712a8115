/* Submissions: judged as they come, committed in batches that widen with the load. */
#ifndef PLOVERLOFT_SUBMISSIONS_H
#define PLOVERLOFT_SUBMISSIONS_H

#include "core/core.h"

struct core;

/* A user submits a job. */
void submissions_take(struct core *core, const struct core_request *request);
/* Commits what has gathered, one transaction at a time. */
void submissions_tick(struct core *core);

#endif
