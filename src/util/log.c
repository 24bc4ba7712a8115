#include "util/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static char log_node[64] = "-";
static enum log_level log_max = LOG_INFO;
static unsigned long long log_tok;

void log_setup(const char *node, const char *level)
{
	if (node)
		snprintf(log_node, sizeof(log_node), "%s", node);
	if (!level || !*level || !strcmp(level, "info"))
		log_max = LOG_INFO;
	else if (!strcmp(level, "error"))
		log_max = LOG_ERROR;
	else if (!strcmp(level, "debug"))
		log_max = LOG_DEBUG;
	else {
		log_max = LOG_INFO;
		log_error("log_level", "value=%.32s reason=unknown_level used=info", level);
	}
}

void log_token(unsigned long long token)
{
	log_tok = token;
}

int log_on(enum log_level level)
{
	return level <= log_max;
}

void log_line(enum log_level level, const char *event, const char *fmt, ...)
{
	static const char *const names[] = {"error", "info", "debug"};
	char line[1024];
	va_list ap;
	int n, m;

	if (level > log_max)
		return;
	n = snprintf(line, sizeof(line), "level=%s node=%s token=%llu event=%s ", names[level],
		     log_node, log_tok, event);
	va_start(ap, fmt);
	m = vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, ap);
	va_end(ap);
	if (m > 0)
		n += m < (int)sizeof(line) - n - 2 ? m : (int)sizeof(line) - n - 2;
	line[n++] = '\n';
	if (write(STDERR_FILENO, line, (size_t)n) < 0)
		return; /* nowhere left to say so */
}
