/*
 * Reads the platform's settings. This is the only C++ source: no C library for TOML is packaged, so
 * toml++ is used behind the C functions of conf.h.
 */
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <string>

#include "conf/conf.h"
#include "conf/toml_reader.h"
#include "constants.h"

namespace
{

/* Minimum values of fields. */
constexpr double mem_mb_min = 8;
constexpr double max_connections_min = 64;
constexpr double limit_rps_min = 1;

objective_kind objective_kind_of(const std::string &name)
{
	static const struct {
		const char *name;
		objective_kind kind;
	} kinds[] = {{"wait", OBJECTIVE_WAIT},	       {"finished", OBJECTIVE_FINISHED},
		     {"deadline", OBJECTIVE_DEADLINE}, {"guarantee", OBJECTIVE_GUARANTEE},
		     {"useful", OBJECTIVE_USEFUL},     {"makespan", OBJECTIVE_MAKESPAN},
		     {"price", OBJECTIVE_PRICE},       {"up", OBJECTIVE_REPLICA_TIME}};

	for (const auto &known : kinds)
		if (name == known.name)
			return known.kind;
	return OBJECTIVE_OTHER;
}

void read_peer(table_reader &table, conf_peer &peer)
{
	table.text("label", peer.name);
	table.text("location", peer.zone);
	table.address("addr", peer.addr);
}

void read_team(table_reader &table, conf_team &team)
{
	table.text("name", team.name);
	table.optional("cpus", &team.cpus);
	table.optional("cpus_max", &team.cpus_max);
	table.optional("gpus", &team.gpus);
	table.optional("gpus_max", &team.gpus_max);
}

void read_objective(table_reader &table, conf_objective &objective)
{
	char kind[CONF_NAME_MAX] = "";

	table.text("kind", kind);
	objective.kind = objective_kind_of(kind);
	objective.times = 1.0;
	if (table.has("class"))
		table.text("class", objective.class_name);
	table.optional("within_s", &objective.within_s);
	table.optional("share", &objective.share);
	table.optional("times", &objective.times);
	table.optional("most", &objective.most);
}

/* Reads limits of the state service. Optional limits that are absent stay as they are. */
void read_limits(table_reader table, conf_limits *limits, presence needed)
{
	double txn_ops = limits->txn_ops;

	table.number("rps", &limits->rps, needed, limit_rps_min);
	table.number("write_rps", &limits->write_rps, needed, limit_rps_min);
	table.number("value_kb", &limits->value_kb, needed, LIMITS_VALUE_MIN_BYTES / 1024.0);
	table.number("txn_ops", &txn_ops, needed, LIMITS_TXN_OPS_MIN);
	limits->txn_ops = static_cast<int>(txn_ops);
}

void read_workers(table_reader workers, conf *conf)
{
	workers.required("report_s", &conf->report_s, above_zero);
	workers.required("lease_s", &conf->lease_s, above_zero);
	workers.required("gang_wait_s", &conf->gang_wait_s, above_zero);
	workers.required("gang_peer_s", &conf->gang_peer_s, above_zero);
	workers.required("cancel_s", &conf->cancel_s, above_zero);
}

void read_resources(table_reader resources, conf *conf)
{
	double max_connections = 0;

	resources.required("cores", &conf->cores, above_zero);
	resources.required("mem_mb", &conf->mem_mb, mem_mb_min);
	resources.required("max_connections", &max_connections, max_connections_min);
	conf->max_connections = static_cast<int>(max_connections);
}

void read_facts(table_reader facts, conf *conf)
{
	facts.optional("skew_ms", &conf->skew_ms);
	read_workers(facts["workers"], conf);
	read_limits(facts["state"], &conf->limits, presence::required);
	facts["state"]["next"].require_table_if_present();
	read_limits(facts["state"]["next"], &conf->upcoming_limits, presence::optional);
	facts["cloud"].required("rps", &conf->cloud_rps, above_zero);
	facts["cloud"].required("list_lag_s", &conf->inventory_lag_s, not_negative);
	read_resources(facts["resources"], conf);
}

/* Reads all fields of the settings. Of several wrong fields, the first one read is reported. */
void read_settings(table_reader settings, conf *conf)
{
	table_reader facts = settings["facts"];

	settings.text("label", conf->name);
	settings.text("location", conf->zone);
	settings.address("front", conf->front_addr);
	settings.address("back", conf->back_addr);
	settings["endpoints"].address("cloud", conf->cloud_addr);
	settings["endpoints"].address("state", conf->store_addr);
	settings.array("known", &conf->peers, &conf->peer_count, read_peer);
	facts.array("teams", &conf->teams, &conf->team_count, read_team);
	facts.array("objectives", &conf->objectives, &conf->objective_count, read_objective);
	read_facts(facts, conf);
}

} // namespace

extern "C" int conf_load(struct conf *conf, const char *path, char error[CONF_ERR_MAX])
{
	field_reader fields;

	std::memset(conf, 0, sizeof(*conf));
	conf->idle_patience_s = -1;
	conf->headroom = -1;
	errno = 0;
	try {
		toml::table file = toml::parse_file(path);

		read_settings(table_reader(fields, node_view(file), ""), conf);
	} catch (const toml::parse_error &problem) {
		/* toml++ reports a file that cannot be read as an error in line 0. */
		if (!problem.source().begin.line && errno)
			std::snprintf(error, CONF_ERR_MAX, "%s: cannot be read: %s", path,
				      std::strerror(errno));
		else
			std::snprintf(error, CONF_ERR_MAX, "%s:%u: %s", path,
				      problem.source().begin.line,
				      std::string(problem.description()).c_str());
		return -1;
	} catch (const std::exception &problem) {
		std::snprintf(error, CONF_ERR_MAX, "%s: %s", path, problem.what());
		return -1;
	}
	if (!fields.failed())
		return 0;
	std::snprintf(error, CONF_ERR_MAX, "%s: %s", path, fields.error().c_str());
	return -1;
}
