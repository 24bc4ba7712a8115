/* Formats log lines and writes them to standard error. */
#include "util/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LOG_NODE_SIZE 64   /* bytes of this controller's name, with its NUL */
#define LOG_LINE_SIZE 1024 /* bytes of the longest line, with its newline */

static char node_name[LOG_NODE_SIZE] = "-";
static enum log_level max_level = LOG_INFO;
static unsigned long long leader_token;

static const char *const level_names[] = {
    [LOG_ERROR] = "error", [LOG_INFO] = "info", [LOG_DEBUG] = "debug"};

void log_setup(const char *node, const char *level)
{
	if (node)
		snprintf(node_name, sizeof(node_name), "%s", node);
	max_level = LOG_INFO;
	if (!level || !*level)
		return;
	for (int i = LOG_ERROR; i <= LOG_DEBUG; i++) {
		if (!strcmp(level, level_names[i])) {
			max_level = (enum log_level)i;
			return;
		}
	}
	log_error("log_level", "value=%.32s reason=unknown_level used=info", level);
}

void log_set_token(unsigned long long token)
{
	leader_token = token;
}

int log_enabled(enum log_level level)
{
	return level <= max_level;
}

void log_line(enum log_level level, const char *event, const char *format, ...)
{
	char line[LOG_LINE_SIZE];
	const int text_max = (int)sizeof(line) - 1; /* maximum number of bytes before the newline */
	va_list arguments;
	int len, details_len;

	if (!log_enabled(level))
		return;
	len = snprintf(line, sizeof(line), "level=%s node=%s token=%llu event=%s ",
		       level_names[level], node_name, leader_token, event);
	va_start(arguments, format);
	details_len = vsnprintf(line + len, (size_t)(text_max - len), format, arguments);
	va_end(arguments);
	if (details_len > 0)
		len += details_len < text_max - len - 1 ? details_len : text_max - len - 1;
	line[len++] = '\n';
	if (write(STDERR_FILENO, line, (size_t)len) < 0)
		return; /* there is no other place to report this failure */
}
