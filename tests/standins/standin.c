/* All stand-ins of a deployment: initialisation, ticks and release. */
#include "standins/standin.h"

#include <stdlib.h>
#include <string.h>

#include "util/xalloc.h"

void standin_init(struct standin *standin, const struct standin_callbacks *callbacks, void *context,
		  const struct conf *conf)
{
	memset(standin, 0, sizeof(*standin));
	standin->callbacks = callbacks;
	standin->context = context;
	standin->conf = conf;
	standin->machines = xcalloc(STANDIN_MACHINES_MAX, sizeof(*standin->machines));
	state_service_init(&standin->state_service, &conf->limits);
	cloud_init(&standin->cloud);
}

void standin_tick(struct standin *standin, double now)
{
	/* Not from standin->now, which the caller also sets for each message between ticks. */
	double elapsed_s = now - standin->last_tick_at;

	standin->now = now;
	standin->last_tick_at = now;
	state_service_tick(standin);
	for (int i = 0; i < standin->machine_count; i++)
		machine_tick(standin, &standin->machines[i], elapsed_s);
	jobs_count_replica_time(standin, elapsed_s);
	check_cancelled_tasks(standin);
}

void standin_free(struct standin *standin)
{
	for (int i = 0; i < standin->machine_count; i++) {
		machine_free_tasks(&standin->machines[i]);
		free(standin->machines[i].report_text);
	}
	free(standin->machines);
	state_service_free(&standin->state_service);
	cloud_free(&standin->cloud);
	jobs_free(standin);
}
