/*
 * Scale out: a plan of the machines that waiting tasks and the headroom lack, and the requests for
 * them. A plan is made anew at each scan, from what there is and what was requested already.
 */
#ifndef PLOVERLOFT_SCALE_OUT_H
#define PLOVERLOFT_SCALE_OUT_H

#include "core/autoscale/machine_offers.h"
#include "core/autoscale/planned_rooms.h"

struct core;

/* Requests what is missing, as far as the cloud's rate allows. */
void scale_out_scan(struct core *core);

/*
 * Takes room for one task of the demand on a machine that is to be requested; false if no offer
 * meets the demand, or as many machines are planned as can be requested in a second.
 */
bool scale_out_plan_machine(struct core *core, struct planned_rooms *rooms,
			    const struct machine_demand *demand);
/* Plans room for the tasks that wait. */
void scale_out_plan_jobs(struct core *core, struct planned_rooms *rooms);
/* Plans the headroom: room kept free for tasks to come. */
void scale_out_plan_headroom(struct core *core, struct planned_rooms *rooms);

#endif
