/* The one C++ file: no C library for TOML is packaged, so toml++ is kept behind this C face. */
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include "conf/conf.h"
#include "constants.h"

namespace
{

struct reader {
	std::string error;

	void fail(const std::string &field, const char *reason)
	{
		if (error.empty())
			error = "field " + field + ": " + reason;
	}

	void text(const toml::node_view<toml::node> &v, const std::string &field, char *out)
	{
		auto s = v.value_exact<std::string>();

		if (!v)
			return fail(field, "missing");
		if (!s)
			return fail(field, "must be a string");
		if (s->empty() || s->size() >= CONF_NAME_MAX)
			return fail(field, "must have 1 to 63 bytes");
		std::memcpy(out, s->c_str(), s->size() + 1);
	}

	void number(const toml::node_view<toml::node> &v, const std::string &field, double *out,
		    bool needed, double least)
	{
		auto d = v.value<double>();

		if (!v) {
			if (needed)
				fail(field, "missing");
			return;
		}
		if (!v.is_number() || !d)
			return fail(field, "must be a number");
		if (!(*d >= least) || *d > 1e12)
			return fail(field,
				    least > 0 ? "must be above zero" : "must not be negative");
		*out = *d;
	}

	void address(const toml::node_view<toml::node> &v, const std::string &field, char *out)
	{
		text(v, field, out);
		if (error.empty() && !std::strrchr(out, ':'))
			fail(field, "must be HOST:PORT");
	}
};

objective_kind kind_of(const std::string &s)
{
	static const struct {
		const char *name;
		objective_kind kind;
	} kinds[] = {{"wait", OBJECTIVE_WAIT},	 {"finished", OBJECTIVE_FINISHED},
		     {"deadline", OBJECTIVE_DEADLINE}, {"guarantee", OBJECTIVE_GUARANTEE},
		     {"useful", OBJECTIVE_USEFUL},	 {"makespan", OBJECTIVE_MAKESPAN},
		     {"price", OBJECTIVE_PRICE},	 {"up", OBJECTIVE_REPLICA_TIME}};

	for (const auto &k : kinds)
		if (s == k.name)
			return k.kind;
	return OBJECTIVE_OTHER;
}

template <typename T, typename F>
void each(reader &r, toml::node_view<toml::node> v, const std::string &field, T **out, size_t *n,
	  F fill)
{
	auto *arr = v.as_array();

	*n = 0;
	if (!v)
		return;
	if (!arr)
		return r.fail(field, "must be an array of tables");
	*out = static_cast<T *>(std::calloc(arr->size() + 1, sizeof(T)));
	for (auto &e : *arr) {
		std::string at = field + "[" + std::to_string(*n) + "]";

		if (!e.is_table())
			return r.fail(at, "must be a table");
		fill(toml::node_view<toml::node>(e), at, (*out)[*n]);
		(*n)++;
	}
}

void read_lists(reader &r, toml::table &t, conf *c)
{
	using view = toml::node_view<toml::node>;

	each(r, t["known"], "known", &c->peers, &c->npeers,
	     [&](view v, const std::string &at, conf_peer &p) {
		     r.text(v["label"], at + ".label", p.name);
		     r.text(v["location"], at + ".location", p.zone);
		     r.address(v["addr"], at + ".addr", p.addr);
	     });
	each(r, t["facts"]["teams"], "facts.teams", &c->teams, &c->nteams,
	     [&](view v, const std::string &at, conf_team &p) {
		     r.text(v["name"], at + ".name", p.name);
		     r.number(v["cpus"], at + ".cpus", &p.cpus, false, 0);
		     r.number(v["cpus_max"], at + ".cpus_max", &p.cpus_max, false, 0);
		     r.number(v["gpus"], at + ".gpus", &p.gpus, false, 0);
		     r.number(v["gpus_max"], at + ".gpus_max", &p.gpus_max, false, 0);
	     });
	each(r, t["facts"]["objectives"], "facts.objectives", &c->objectives, &c->nobjectives,
	     [&](view v, const std::string &at, conf_objective &o) {
		     char kind[CONF_NAME_MAX] = "";

		     r.text(v["kind"], at + ".kind", kind);
		     o.kind = kind_of(kind);
		     o.times = 1.0;
		     if (v["class"])
			     r.text(v["class"], at + ".class", o.class_name);
		     r.number(v["within_s"], at + ".within_s", &o.within_s, false, 0);
		     r.number(v["share"], at + ".share", &o.share, false, 0);
		     r.number(v["times"], at + ".times", &o.times, false, 0);
		     r.number(v["most"], at + ".most", &o.most, false, 0);
	     });
}

/* Fields that are not needed and absent keep what `out` holds. */
void read_limits(reader &r, toml::node_view<toml::node> v, const std::string &at, conf_limits *out,
		 bool needed)
{
	double ops = out->txn_ops;

	r.number(v["rps"], at + ".rps", &out->rps, needed, 1);
	r.number(v["write_rps"], at + ".write_rps", &out->write_rps, needed, 1);
	r.number(v["value_kb"], at + ".value_kb", &out->value_kb, needed,
		 LIMITS_VALUE_FLOOR / 1024.0);
	r.number(v["txn_ops"], at + ".txn_ops", &ops, needed, LIMITS_TXN_OPS_MIN);
	out->txn_ops = static_cast<int>(ops);
}

void read_facts(reader &r, toml::table &t, conf *c)
{
	const double some = 1e-9;
	double conns = 0;
	auto f = t["facts"];

	r.number(f["skew_ms"], "facts.skew_ms", &c->skew_ms, false, 0);
	r.number(f["workers"]["report_s"], "facts.workers.report_s", &c->report_s, true, some);
	r.number(f["workers"]["lease_s"], "facts.workers.lease_s", &c->lease_s, true, some);
	r.number(f["workers"]["gang_wait_s"], "facts.workers.gang_wait_s", &c->gang_wait_s, true,
		 some);
	r.number(f["workers"]["gang_peer_s"], "facts.workers.gang_peer_s", &c->gang_peer_s, true,
		 some);
	r.number(f["workers"]["cancel_s"], "facts.workers.cancel_s", &c->cancel_s, true, some);
	read_limits(r, f["state"], "facts.state", &c->limits, true);
	if (f["state"]["next"] && !f["state"]["next"].is_table())
		r.fail("facts.state.next", "must be a table");
	read_limits(r, f["state"]["next"], "facts.state.next", &c->next_limits, false);
	r.number(f["cloud"]["rps"], "facts.cloud.rps", &c->cloud_rps, true, some);
	r.number(f["cloud"]["list_lag_s"], "facts.cloud.list_lag_s", &c->list_lag_s, true, 0);
	r.number(f["resources"]["cores"], "facts.resources.cores", &c->cores, true, some);
	r.number(f["resources"]["mem_mb"], "facts.resources.mem_mb", &c->mem_mb, true, 8);
	r.number(f["resources"]["max_connections"], "facts.resources.max_connections", &conns, true,
		 64);
	c->max_connections = static_cast<int>(conns);
}

} // namespace

extern "C" int conf_load(struct conf *c, const char *path, char err[CONF_ERR_MAX])
{
	reader r;

	std::memset(c, 0, sizeof(*c));
	c->idle_patience_s = -1;
	c->headroom = -1;
	try {
		toml::table t = toml::parse_file(path);

		r.text(t["label"], "label", c->name);
		r.text(t["location"], "location", c->zone);
		r.address(t["front"], "front", c->front);
		r.address(t["back"], "back", c->back);
		r.address(t["endpoints"]["cloud"], "endpoints.cloud", c->cloud);
		r.address(t["endpoints"]["state"], "endpoints.state", c->state);
		read_lists(r, t, c);
		read_facts(r, t, c);
	} catch (const toml::parse_error &e) {
		std::snprintf(err, CONF_ERR_MAX, "%s:%u: %s", path, e.source().begin.line,
			      std::string(e.description()).c_str());
		return -1;
	} catch (const std::exception &e) {
		std::snprintf(err, CONF_ERR_MAX, "%s: %s", path, e.what());
		return -1;
	}
	if (r.error.empty())
		return 0;
	std::snprintf(err, CONF_ERR_MAX, "%s: %s", path, r.error.c_str());
	return -1;
}
