/* What the parts that speak to the cloud share: its rate, its list, returns and refusals. */
#ifndef PLOVERLOFT_CLOUD_H
#define PLOVERLOFT_CLOUD_H

#include "core/state.h"

/* One request of the cloud's rate, which lists, returns and rentals share; false if none is left.
 */
bool cloud_take(struct core *core);
/* An answer came: all requests wait for a while after an error. */
void cloud_trouble(struct core *core, int status);

/* machine_list.c */
/* Asks for the list, or its next page, when it is due. */
void list_tick(struct core *core);
/* The machine is deleted: lists and copies of its reports that still name it are void. */
void tombstone_add(struct core *core, const char *id);

/* returns.c */
/* Decides which machines go back, and saves work on those with a notice. */
void returns_look(struct core *core);
/* Deletes what is to go, as far as the rate allows. */
void returns_send(struct core *core);

/* rent.c */
/* A machine like this one was given back, so one may be had again. */
void refusal_lift(struct core *core, const struct machine *machine);

#endif
