/*
 * The log: writes one line per event to standard error, as `key=value` pairs. Each line begins with
 * the level, this controller's name, its fencing token (0 unless it leads) and the event's name.
 * The state of the log is global to the process, and only one thread may use it.
 */
#ifndef PLOVERLOFT_LOG_H
#define PLOVERLOFT_LOG_H

/* The levels of log lines, from the least to the most detailed. */
enum log_level { LOG_ERROR, LOG_INFO, LOG_DEBUG };

/*
 * Sets this controller's name and the most detailed level that is written: "error", "info" or
 * "debug". Without a level (NULL or empty) it is "info". An unknown level is logged as an error,
 * and "info" is used. `node` is copied; if it is NULL, the name does not change.
 */
void log_setup(const char *node, const char *level);

/* Sets the fencing token that all further lines contain. 0: this controller is not the leader. */
void log_set_token(unsigned long long token);

/* True if lines of this level are written. */
int log_enabled(enum log_level level);

/*
 * Writes one line with a single write(), if its level is written. A line that is too long is
 * truncated; a line that cannot be written is lost. `format` makes the text after the event's name.
 */
void log_line(enum log_level level, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* log_error, log_info and log_debug write a line of their level. The arguments of log_info and
 * log_debug are not evaluated if the level is not written. */
#define log_error(event, ...) log_line(LOG_ERROR, event, __VA_ARGS__)
#define log_info(event, ...)                                                                       \
	do {                                                                                       \
		if (log_enabled(LOG_INFO))                                                         \
			log_line(LOG_INFO, event, __VA_ARGS__);                                    \
	} while (0)
#define log_debug(event, ...)                                                                      \
	do {                                                                                       \
		if (log_enabled(LOG_DEBUG))                                                        \
			log_line(LOG_DEBUG, event, __VA_ARGS__);                                   \
	} while (0)

#endif
