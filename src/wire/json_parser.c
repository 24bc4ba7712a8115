/*
 * Builds values of jansson from the events of yajl. yajl passes on each number as it is spelled,
 * and neither it nor this module recurses into nested values.
 */
#include "wire/json_parser.h"

#include <errno.h>
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <yajl/yajl_parse.h>

#include "constants.h"
#include "util/xalloc.h"

#define DECIMAL 10
#define JSON_BLANKS " \t\r\n"

/* What a callback of yajl returns. */
enum { STOP_PARSING, GO_ON };

struct parser {
	yajl_handle yajl;
	const char *text;
	size_t len;
	json_t *root; /* owned; NULL until the outermost value begins */
	/* The containers that are open, the outermost first; they belong to the root. */
	json_t *open[JSON_NESTING_MAX];
	size_t open_count;
	size_t skipped_count; /* open containers inside the last of these, which are not kept */
	/* Name of the next member: `name_len` bytes in the text or in `decoded_name`; NULL: it
	 * can't be kept. */
	const char *name;
	size_t name_len;
	json_t *decoded_name; /* the name, if it has escapes; owned */
	size_t previous_end;  /* offset just after the token before the present one */
};

/* --- texts --- */

/* Whether the text has no escapes: yajl passes on a pointer into the message then. */
static bool is_verbatim(const struct parser *parser, const char *text)
{
	return text >= parser->text && text < parser->text + parser->len;
}

/*
 * Decodes the present token, a string with escapes. Between it and the token before, there are only
 * blanks and separators. yajl replaces lone surrogates in its own copy of the string, so that copy
 * is not used.
 */
static bool decode_escaped(const struct parser *parser, json_t **out)
{
	const char *from = parser->text + parser->previous_end;
	const char *end = parser->text + yajl_get_bytes_consumed(parser->yajl);
	const char *quote = memchr(from, '"', (size_t)(end - from));
	size_t len = (size_t)(end - quote);
	json_t *raw;

	*out = json_loadb(quote, len, JSON_DECODE_ANY, NULL);
	if (*out)
		return true;
	/* The text has a lone surrogate or a NUL, or it is not UTF-8 and so not JSON. */
	raw = json_stringn(quote, len);
	json_decref(raw);
	return raw != NULL;
}

/* Decodes the present token, a string. Returns false if it is not JSON. `*out` is a new string, or
 * NULL if the string can't be kept. */
static bool decode_text(const struct parser *parser, const unsigned char *bytes, size_t len,
			json_t **out)
{
	const char *text = (const char *)bytes;

	if (len && !is_verbatim(parser, text))
		return decode_escaped(parser, out);
	*out = json_stringn(len ? text : "", len);
	return *out != NULL;
}

/* --- numbers --- */

/* Returns the number, or NULL if it is too large for a double. The byte after it is no part of a
 * number. */
static json_t *decode_number(const char *number, size_t len)
{
	unsigned long long integer;
	double real;
	char *end;

	errno = 0;
	integer = strtoull(number, &end, DECIMAL);
	if (*number != '-' && end == number + len && !errno)
		return json_integer((json_int_t)integer);
	real = strtod(number, NULL);
	return isfinite(real) ? json_real(real) : NULL;
}

/* --- containers --- */

/* What became of a value. */
enum added {
	ADDED_KEPT,
	ADDED_DROPPED, /* it has no name that can be kept, or the object has the name already */
	ADDED_NOT_JSON /* its name is not UTF-8 */
};

static json_t *innermost(const struct parser *parser)
{
	return parser->open[parser->open_count - 1];
}

/* Adds the value to the object that is open under the present name. If the object has that name
 * already, the name's value becomes unreadable. Takes ownership of the value. */
static enum added add_member(const struct parser *parser, json_t *value)
{
	json_t *object = innermost(parser);

	if (!parser->name) {
		json_decref(value);
		return ADDED_DROPPED;
	}
	if (json_object_getn(object, parser->name, parser->name_len)) {
		json_decref(value);
		json_object_setn_new(object, parser->name, parser->name_len, json_object());
		return ADDED_DROPPED;
	}
	if (json_object_setn_new(object, parser->name, parser->name_len, value))
		return ADDED_NOT_JSON;
	return ADDED_KEPT;
}

/* Adds the value to the innermost container. Takes ownership of the value. */
static enum added add_value(const struct parser *parser, json_t *value)
{
	if (json_is_object(innermost(parser)))
		return add_member(parser, value);
	json_array_append_new(innermost(parser), value);
	return ADDED_KEPT;
}

/* Ends the handling of a token. Returns GO_ON. */
static int end_token(struct parser *parser)
{
	parser->previous_end = yajl_get_bytes_consumed(parser->yajl);
	return GO_ON;
}

/* Handles a value that is no container. Takes ownership of the value; NULL: it can't be kept. The
 * outermost value must be a container. */
static int handle_scalar(struct parser *parser, json_t *value)
{
	if (!parser->root || parser->skipped_count) {
		json_decref(value);
		return parser->root ? end_token(parser) : STOP_PARSING;
	}
	if (add_value(parser, value ? value : json_object()) == ADDED_NOT_JSON)
		return STOP_PARSING;
	return end_token(parser);
}

/* Adds the container and opens it. Takes ownership of it. */
static enum added open_container(struct parser *parser, json_t *container)
{
	enum added added = ADDED_KEPT;

	if (parser->root)
		added = add_value(parser, container);
	else
		parser->root = container;
	if (added == ADDED_KEPT)
		parser->open[parser->open_count++] = container;
	return added;
}

/* Handles the begin of a container, of which `container` is a new one. Takes ownership of it. */
static int handle_begin(struct parser *parser, json_t *container)
{
	enum added added = ADDED_DROPPED;

	if (!parser->skipped_count && parser->open_count < JSON_NESTING_MAX) {
		added = open_container(parser, container);
	} else {
		json_decref(container);
		if (!parser->skipped_count && add_value(parser, json_object()) == ADDED_NOT_JSON)
			added = ADDED_NOT_JSON;
	}
	if (added == ADDED_NOT_JSON)
		return STOP_PARSING;
	if (added == ADDED_DROPPED)
		parser->skipped_count++;
	return end_token(parser);
}

static int on_end(void *context)
{
	struct parser *parser = context;

	if (parser->skipped_count)
		parser->skipped_count--;
	else
		parser->open_count--;
	return end_token(parser);
}

/* --- events of yajl --- */

static int on_null(void *context)
{
	return handle_scalar(context, json_null());
}

static int on_boolean(void *context, int value)
{
	return handle_scalar(context, json_boolean(value));
}

static int on_number(void *context, const char *number, size_t len)
{
	return handle_scalar(context, decode_number(number, len));
}

static int on_string(void *context, const unsigned char *bytes, size_t len)
{
	json_t *text;

	if (!decode_text(context, bytes, len, &text))
		return STOP_PARSING;
	return handle_scalar(context, text);
}

/* Decodes the present token, a name that has escapes or whose value is not kept. Returns false if
 * it is not JSON. */
static bool decode_name(struct parser *parser, const unsigned char *bytes, size_t len)
{
	json_decref(parser->decoded_name);
	parser->decoded_name = NULL;
	if (!decode_text(parser, bytes, len, &parser->decoded_name))
		return false;
	parser->name = json_string_value(parser->decoded_name);
	parser->name_len = json_string_length(parser->decoded_name);
	return true;
}

static int on_name(void *context, const unsigned char *bytes, size_t len)
{
	struct parser *parser = context;

	if (len && is_verbatim(parser, (const char *)bytes) && !parser->skipped_count) {
		parser->name = (const char *)bytes;
		parser->name_len = len;
	} else if (!decode_name(parser, bytes, len)) {
		return STOP_PARSING;
	}
	return end_token(parser);
}

static int on_begin_object(void *context)
{
	return handle_begin(context, json_object());
}

static int on_begin_array(void *context)
{
	return handle_begin(context, json_array());
}

static const yajl_callbacks callbacks = {
    .yajl_null = on_null,
    .yajl_boolean = on_boolean,
    .yajl_number = on_number,
    .yajl_string = on_string,
    .yajl_start_map = on_begin_object,
    .yajl_map_key = on_name,
    .yajl_end_map = on_end,
    .yajl_start_array = on_begin_array,
    .yajl_end_array = on_end,
};

/* Whether only blanks follow the outermost value. yajl takes the beginning of a token there, such
 * as a quote, for one that is incomplete, and accepts it. */
static bool ends_after_root(const struct parser *parser)
{
	for (size_t i = parser->previous_end; i < parser->len; i++)
		if (!memchr(JSON_BLANKS, parser->text[i], sizeof(JSON_BLANKS) - 1))
			return false;
	return true;
}

/* Whether the text is JSON. */
static bool parse_text(struct parser *parser)
{
	yajl_status status =
	    yajl_parse(parser->yajl, (const unsigned char *)parser->text, parser->len);

	return status == yajl_status_ok && yajl_complete_parse(parser->yajl) == yajl_status_ok &&
	       parser->root && ends_after_root(parser);
}

/* Releases the incomplete value of a text that is not JSON, and returns where parsing failed. */
static size_t discard(struct parser *parser)
{
	size_t consumed = yajl_get_bytes_consumed(parser->yajl);

	json_decref(parser->root);
	parser->root = NULL;
	return consumed < parser->len ? consumed : parser->len;
}

json_t *wire_parse_at(const char *body, size_t len, size_t *failed_at)
{
	struct parser parser = {.text = body, .len = len};

	parser.yajl = xalloc_checked(yajl_alloc(&callbacks, NULL, &parser));
	*failed_at = parse_text(&parser) ? 0 : discard(&parser);
	yajl_free(parser.yajl);
	json_decref(parser.decoded_name);
	return parser.root;
}

json_t *wire_parse(const char *body, size_t len)
{
	size_t failed_at;

	return wire_parse_at(body, len, &failed_at);
}
