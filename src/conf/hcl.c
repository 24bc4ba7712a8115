/*
 * Reads the operators' own settings. Their format was to be HCL, but no C library reads HCL. libucl
 * reads a similar format, but Debian does not package it (Debian's libucl is a compression
 * library). libconfuse is packaged and reads the part of HCL that is needed here: blocks,
 * `key = value` and comments. See docs/operating.md.
 */
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <confuse.h>

#include "conf/conf.h"
#include "constants.h"

/* The last error of the parser. It is static because libconfuse passes no context to its error
 * callback; only one file is read at a time. */
static char parse_error[CONF_ERR_MAX];

static void store_parse_error(cfg_t *cfg, const char *format, va_list arguments)
{
	int len = snprintf(parse_error, sizeof(parse_error),
			   "%s:%d: ", cfg->filename ? cfg->filename : "?", cfg->line);

	if (len > 0 && len < (int)sizeof(parse_error))
		vsnprintf(parse_error + len, sizeof(parse_error) - (size_t)len, format, arguments);
}

/* Reads a number from 0 to `max` from the block `rentals`. If the key is absent, `*out` is
 * unchanged. */
static int read_number(cfg_t *rentals, const char *key, double max, double *out, const char *path,
		       char error[CONF_ERR_MAX])
{
	if (!cfg_size(rentals, key))
		return 0;
	*out = cfg_getfloat(rentals, key);
	if (*out >= 0 && *out <= max)
		return 0;
	snprintf(error, CONF_ERR_MAX, "%s: field rentals.%s: must be a number from 0 to %g, is %g",
		 path, key, max, *out);
	return -1;
}

static int read_rentals(struct conf *conf, cfg_t *rentals, const char *path,
			char error[CONF_ERR_MAX])
{
	if (read_number(rentals, "idle_patience_s", OPERATOR_IDLE_PATIENCE_MAX_S,
			&conf->idle_patience_s, path, error))
		return -1;
	return read_number(rentals, "headroom", OPERATOR_HEADROOM_MAX, &conf->headroom, path,
			   error);
}

static int read_settings(struct conf *conf, cfg_t *cfg, const char *path, char error[CONF_ERR_MAX])
{
	if (cfg_size(cfg, "records"))
		conf->hold_format = cfg_getbool(cfg_getsec(cfg, "records"), "hold_format");
	if (cfg_size(cfg, "rentals"))
		return read_rentals(conf, cfg_getsec(cfg, "rentals"), path, error);
	return 0;
}

static int read_file(struct conf *conf, cfg_t *cfg, const char *path, char error[CONF_ERR_MAX])
{
	switch (cfg_parse(cfg, path)) {
	case CFG_SUCCESS:
		return read_settings(conf, cfg, path, error);
	case CFG_FILE_ERROR:
		snprintf(error, CONF_ERR_MAX, "%s: cannot be read: %s", path, strerror(errno));
		return -1;
	default:
		snprintf(error, CONF_ERR_MAX, "%s", parse_error);
		return -1;
	}
}

int conf_load_operator(struct conf *conf, const char *path, char error[CONF_ERR_MAX])
{
	cfg_opt_t rentals[] = {CFG_FLOAT("idle_patience_s", 0, CFGF_NODEFAULT),
			       CFG_FLOAT("headroom", 0, CFGF_NODEFAULT), CFG_END()};
	cfg_opt_t records[] = {CFG_BOOL("hold_format", cfg_false, CFGF_NONE), CFG_END()};
	cfg_opt_t sections[] = {CFG_SEC("rentals", rentals, CFGF_NODEFAULT),
				CFG_SEC("records", records, CFGF_NODEFAULT), CFG_END()};
	cfg_t *cfg = cfg_init(sections, CFGF_NONE);
	int result;

	parse_error[0] = 0;
	cfg_set_error_function(cfg, store_parse_error);
	result = read_file(conf, cfg, path, error);
	cfg_free(cfg);
	return result;
}
