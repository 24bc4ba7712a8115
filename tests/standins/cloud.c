/* The stand-in of the cloud. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conf/conf.h"
#include "core/state.h"
#include "wire/names.h"
#include "standins/private.h"

static void cloud_rent(struct standin *s, uint64_t handle, const char *body)
{
	json_t *o = wire_parse(body, strlen(body)), *list;
	const char *name = json_string_value(json_object_get(o, W_REQUEST));
	const char *type = json_string_value(json_object_get(o, W_TYPE));
	const char *zone = json_string_value(json_object_get(o, W_ZONE));
	int n = (int)json_integer_value(json_object_get(o, W_COUNT)), got = 0;
	struct standin_cloud *cl = &s->cloud;

	for (size_t i = 0; i < cl->nrequests; i++)
		if (!strcmp(cl->requests[i].name, name)) {
			s->ops->reply(s->ctx, handle, 200, cl->requests[i].answer);
			json_decref(o);
			return;
		}
	list = json_array();
	for (size_t i = 0; i < cl->ntypes; i++)
		while (!strcmp(cl->types[i].name, type) && cl->capacity[i] > 0 && got < n) {
			struct standin_machine *m = standin_machine_add(
			    s, type, zone, json_is_true(json_object_get(o, W_SPOT)));

			if (cl->never_boot > 0) {
				cl->never_boot--;
				m->up_at = INFINITY;
			}
			cl->capacity[i]--;
			got++;
			json_array_append_new(list, json_string(m->id));
		}
	if (!got) {
		json_decref(list);
		answer_error(s, handle, 503, "no capacity");
	} else {
		json_t *a = json_pack("{s:o}", W_MACHINES_LIST, list);

		cl->requests = realloc(cl->requests, (cl->nrequests + 1) * sizeof(*cl->requests));
		if (!cl->requests)
			abort();
		snprintf(cl->requests[cl->nrequests].name, NAME_MAX_LEN, "%s", name);
		cl->requests[cl->nrequests++].answer = json_dumps(a, JSON_COMPACT);
		answer(s, handle, 200, a);
	}
	json_decref(o);
}

static void cloud_delete(struct standin *s, uint64_t handle, const char *body)
{
	json_t *o = wire_parse(body, strlen(body)), *e;
	size_t i;

	json_array_foreach (json_object_get(o, W_MACHINES_LIST), i, e)
		for (int k = 0; k < s->nmachines; k++)
			if (!strcmp(s->machines[k].id, json_string_value(e)) &&
			    s->machines[k].power != POWER_DELETED) {
				standin_machine_off(s, &s->machines[k], true);
				for (size_t t = 0; t < s->cloud.ntypes; t++)
					s->cloud.capacity[t] +=
					    s->cloud.reuse[t] &&
					    s->machines[k].type == &s->cloud.types[t];
			}
	json_decref(o);
	answer_error(s, handle, 200, "");
}

static void cloud_list(struct standin *s, uint64_t handle)
{
	double lag = s->conf->list_lag_s;
	json_t *list = json_array();

	for (int i = 0; i < s->nmachines; i++) {
		struct standin_machine *m = &s->machines[i];
		const char *st = m->power == POWER_OFF	    ? W_CLOUD_FAILED
				 : s->now - lag >= m->up_at ? W_CLOUD_RUNNING
							    : W_CLOUD_BOOTING;

		if (s->now - lag < m->rented_at && s->now > lag)
			continue;
		if (m->power == POWER_DELETED && s->now - m->off_at > lag)
			continue;
		json_array_append_new(list, json_pack("{s:s,s:s,s:s,s:s,s:b,s:s,s:f}", W_ID, m->id,
						      W_ADDR, m->addr, W_TYPE, m->type->name,
						      W_ZONE, m->zone, W_SPOT, (int)m->spot,
						      W_STATE, st, W_AGE, s->now - m->rented_at));
	}
	answer(s, handle, 200, json_pack("{s:o,s:b}", W_MACHINES_LIST, list, W_MORE, 0));
}

void standin_cloud_request(struct standin *s, uint64_t handle, const char *method, const char *path,
			   const char *body)
{
	if (s->cloud.down)
		answer_error(s, handle, 503, "trouble");
	else if (!strcmp(path, W_PATH_TYPES))
		answer(s, handle, 200, wire_types_encode(s->cloud.types, s->cloud.ntypes));
	else if (!strcmp(path, W_PATH_DELETE))
		cloud_delete(s, handle, body);
	else if (!strcmp(method, "POST"))
		cloud_rent(s, handle, body);
	else
		cloud_list(s, handle);
}
