/*
 * The operators' own settings. They asked for HCL, which no C library reads; libucl, the nearest
 * kin, is not packaged by Debian (its libucl is a compressor). libconfuse is packaged and reads
 * what these settings need of HCL: blocks, `key = value`, comments. See docs/operating.md.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <confuse.h>

#include "conf/conf.h"
#include "constants.h"

/* libconfuse reports through a callback without a context; one file is read at a time. */
static char hcl_error[CONF_ERR_MAX];

static void on_error(cfg_t *cfg, const char *fmt, va_list ap)
{
	int n = snprintf(hcl_error, sizeof(hcl_error),
			 "%s:%d: ", cfg->filename ? cfg->filename : "?", cfg->line);

	if (n > 0 && n < (int)sizeof(hcl_error))
		vsnprintf(hcl_error + n, sizeof(hcl_error) - (size_t)n, fmt, ap);
}

static int check(const char *path, const char *key, double v, double most, char *err)
{
	if (v >= 0 && v <= most)
		return 0;
	snprintf(err, CONF_ERR_MAX, "%s: field rentals.%s: must be a number from 0 to %g", path,
		 key, most);
	return -1;
}

static int take_rentals(struct conf *c, const char *path, cfg_t *rentals, char *err)
{
	if (cfg_size(rentals, "idle_patience_s")) {
		c->idle_patience_s = cfg_getfloat(rentals, "idle_patience_s");
		if (check(path, "idle_patience_s", c->idle_patience_s, OPERATOR_PATIENCE_MAX_S,
			  err))
			return -1;
	}
	if (cfg_size(rentals, "headroom")) {
		c->headroom = cfg_getfloat(rentals, "headroom");
		if (check(path, "headroom", c->headroom, OPERATOR_HEADROOM_MAX, err))
			return -1;
	}
	return 0;
}

int conf_load_operator(struct conf *c, const char *path, char err[CONF_ERR_MAX])
{
	cfg_opt_t rentals[] = {CFG_FLOAT("idle_patience_s", 0, CFGF_NODEFAULT),
			       CFG_FLOAT("headroom", 0, CFGF_NODEFAULT), CFG_END()};
	cfg_opt_t records[] = {CFG_BOOL("hold_format", cfg_false, CFGF_NONE), CFG_END()};
	cfg_opt_t top[] = {CFG_SEC("rentals", rentals, CFGF_NODEFAULT),
			   CFG_SEC("records", records, CFGF_NODEFAULT), CFG_END()};
	cfg_t *cfg = cfg_init(top, CFGF_NONE);
	int rc = -1;

	hcl_error[0] = 0;
	cfg_set_error_function(cfg, on_error);
	switch (cfg_parse(cfg, path)) {
	case CFG_SUCCESS:
		rc = cfg_size(cfg, "rentals")
			 ? take_rentals(c, path, cfg_getsec(cfg, "rentals"), err)
			 : 0;
		if (cfg_size(cfg, "records"))
			c->hold_format = cfg_getbool(cfg_getsec(cfg, "records"), "hold_format");
		break;
	case CFG_FILE_ERROR:
		snprintf(err, CONF_ERR_MAX, "%s: cannot be read", path);
		break;
	default:
		snprintf(err, CONF_ERR_MAX, "%s", hcl_error);
	}
	cfg_free(cfg);
	return rc;
}

int conf_has(const struct conf *c, enum objective_kind kind)
{
	for (size_t i = 0; i < c->nobjectives; i++)
		if (c->objectives[i].kind == kind)
			return 1;
	return 0;
}

void conf_free(struct conf *c)
{
	free(c->peers);
	free(c->teams);
	free(c->objectives);
}
