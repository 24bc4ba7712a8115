/*
 * Scale-out: plans which machines are missing for the waiting tasks and the headroom, and requests
 * them. Each scan makes a new plan, which counts on the machines that exist or were requested
 * already.
 */
#ifndef PLOVERLOFT_SCALE_OUT_H
#define PLOVERLOFT_SCALE_OUT_H

#include "core/autoscale/machine_offers.h"
#include "core/autoscale/planned_rooms.h"

struct core;

/* Plans and requests the missing machines, as far as the rate limit allows. */
void scale_out_scan(struct core *core);

/*
 * Adds the machine of the cheapest offer for the demand to the plan, and allocates capacity for one
 * task on a pending machine. Returns false if no offer meets the demand, or if the plan already
 * requests as many machines as can be requested in a second.
 */
bool scale_out_plan_machine(struct core *core, struct capacity_plan *plan,
			    const struct machine_demand *demand);
/* Plans machines for the waiting tasks. */
void scale_out_plan_jobs(struct core *core, struct capacity_plan *plan);
/* Plans machines for the headroom, which is capacity kept free for future tasks. Plans none if low
 * cost is an aim, unless the operators have set `headroom`. */
void scale_out_plan_headroom(struct core *core, struct capacity_plan *plan);

#endif
