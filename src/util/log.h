/* One line per event, key=value, to standard error. */
#ifndef PLOVERLOFT_LOG_H
#define PLOVERLOFT_LOG_H

enum log_level { LOG_ERROR, LOG_INFO, LOG_DEBUG };

void log_setup(const char *node, const char *level);
void log_token(unsigned long long token);
int log_on(enum log_level level);
void log_line(enum log_level level, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#define log_error(event, ...) log_line(LOG_ERROR, event, __VA_ARGS__)
#define log_info(event, ...)                                                                       \
	do {                                                                                       \
		if (log_on(LOG_INFO))                                                              \
			log_line(LOG_INFO, event, __VA_ARGS__);                                    \
	} while (0)
#define log_debug(event, ...)                                                                      \
	do {                                                                                       \
		if (log_on(LOG_DEBUG))                                                             \
			log_line(LOG_DEBUG, event, __VA_ARGS__);                                   \
	} while (0)

#endif
