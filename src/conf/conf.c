/* Queries on settings, and their release. */
#include "conf/conf.h"

#include <stdlib.h>

bool conf_has_objective(const struct conf *conf, enum objective_kind kind)
{
	for (size_t i = 0; i < conf->objective_count; i++)
		if (conf->objectives[i].kind == kind)
			return true;
	return false;
}

void conf_free(struct conf *conf)
{
	free(conf->peers);
	free(conf->teams);
	free(conf->objectives);
}
