#include "net/http.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

#include "constants.h"

static int parse_request_line(struct http_msg *m, const char *p, const char *end)
{
	const char *sp = memchr(p, ' ', (size_t)(end - p));
	const char *sp2;
	size_t n;

	if (!sp || (n = (size_t)(sp - p)) == 0 || n >= sizeof(m->method))
		return -1;
	for (size_t i = 0; i < n; i++)
		if (!isupper((unsigned char)p[i]))
			return -1;
	memcpy(m->method, p, n);
	m->method[n] = 0;
	m->path = sp + 1;
	sp2 = memchr(sp + 1, ' ', (size_t)(end - sp - 1));
	if (!sp2 || sp2 == sp + 1 || sp[1] != '/')
		return -1;
	m->path_len = (size_t)(sp2 - sp - 1);
	for (size_t i = 0; i < m->path_len; i++)
		if ((unsigned char)m->path[i] < 0x21 || m->path[i] == 0x7f)
			return -1;
	if (end - sp2 - 1 != 8 || memcmp(sp2 + 1, "HTTP/1.", 7))
		return -1;
	if (sp2[8] == '0')
		m->close = 1;
	return sp2[8] == '1' || sp2[8] == '0' ? 0 : -1;
}

static int parse_status_line(struct http_msg *m, const char *p, const char *end)
{
	if (end - p < 12 || memcmp(p, "HTTP/1.", 7) || p[8] != ' ')
		return -1;
	for (int i = 9; i < 12; i++)
		if (!isdigit((unsigned char)p[i]))
			return -1;
	m->status = (p[9] - '0') * 100 + (p[10] - '0') * 10 + (p[11] - '0');
	if (p[7] == '0')
		m->close = 1;
	return 0;
}

static int parse_length(const char *p, const char *end, size_t *out)
{
	size_t v = 0;

	if (p == end || end - p > 12)
		return -1;
	for (; p < end; p++) {
		if (!isdigit((unsigned char)*p))
			return -1;
		v = v * 10 + (size_t)(*p - '0');
	}
	*out = v;
	return 0;
}

struct header_state {
	int have_length;
	int chunked;
};

static int parse_header(struct http_msg *m, struct header_state *st, const char *p, const char *end)
{
	const char *colon = memchr(p, ':', (size_t)(end - p));
	const char *v;
	size_t n, len;

	if (!colon || colon == p || isspace((unsigned char)*p))
		return -1;
	n = (size_t)(colon - p);
	for (size_t i = 0; i < n; i++)
		if ((unsigned char)p[i] <= 0x20 || (unsigned char)p[i] >= 0x7f)
			return -1;
	for (v = colon + 1; v < end && (*v == ' ' || *v == '\t'); v++)
		;
	while (end > v && (end[-1] == ' ' || end[-1] == '\t'))
		end--;
	if (n == 14 && !strncasecmp(p, "content-length", 14)) {
		if (parse_length(v, end, &len) || (st->have_length && len != m->body_len))
			return -1;
		st->have_length = 1;
		m->body_len = len;
	} else if (n == 17 && !strncasecmp(p, "transfer-encoding", 17)) {
		st->chunked = 1;
	} else if (n == 10 && !strncasecmp(p, "connection", 10)) {
		if (end - v == 5 && !strncasecmp(v, "close", 5))
			m->close = 1;
		else if (end - v == 10 && !strncasecmp(v, "keep-alive", 10))
			m->close = 0;
	}
	return 0;
}

enum http_result http_parse(struct http_msg *m, const char *data, size_t len, int response,
			    size_t max_body)
{
	const char *end = data + len, *p = data, *nl, *stop;
	struct header_state st = {0};
	int first = 1;

	memset(m, 0, sizeof(*m));
	for (;;) {
		nl = memchr(p, '\n', (size_t)(end - p));
		if (!nl)
			return len > HTTP_HEAD_MAX ? HTTP_BAD : HTTP_MORE;
		if ((size_t)(nl - data) > HTTP_HEAD_MAX)
			return HTTP_BAD;
		stop = nl > p && nl[-1] == '\r' ? nl - 1 : nl;
		if (first) {
			if ((response ? parse_status_line : parse_request_line)(m, p, stop))
				return HTTP_BAD;
			first = 0;
		} else if (stop == p) {
			break;
		} else if (parse_header(m, &st, p, stop)) {
			return HTTP_BAD;
		}
		p = nl + 1;
	}
	/* A chunked body is nobody's here; guessing its end would let one message pose as two. */
	if (st.chunked)
		return HTTP_BAD;
	m->head_len = (size_t)(nl + 1 - data);
	m->body = nl + 1;
	if (m->body_len > max_body)
		return HTTP_TOO_LARGE;
	return len - m->head_len >= m->body_len ? HTTP_OK : HTTP_MORE;
}

const char *http_reason(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 201:
		return "Created";
	case 400:
		return "Bad Request";
	case 404:
		return "Not Found";
	case 405:
		return "Method Not Allowed";
	case 413:
		return "Payload Too Large";
	case 421:
		return "Misdirected Request";
	case 422:
		return "Unprocessable Entity";
	case 429:
		return "Too Many Requests";
	case 503:
		return "Service Unavailable";
	}
	return "Status";
}
