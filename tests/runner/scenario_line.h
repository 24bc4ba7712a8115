/*
 * A line of a scenario: a keyword, its arguments and options NAME=VALUE, separated by blanks.
 * Arguments have fixed places and come before the options.
 */
#ifndef PLOVERLOFT_RUNNER_SCENARIO_LINE_H
#define PLOVERLOFT_RUNNER_SCENARIO_LINE_H

#include "world.h"

#define LINE_BYTES 1024 /* of the longest line, with its newline and NUL */
#define LINE_WORDS 24	/* further words are ignored */

struct scenario_line {
	char text[LINE_BYTES];	 /* as read */
	char buffer[LINE_BYTES]; /* the words point into it */
	const char *words[LINE_WORDS];
	int word_count;
};

/* A keyword of the scenario language. Tables of keywords end with a name of NULL. */
struct scenario_keyword {
	const char *name;
	int arguments; /* that the line must have, options not counted */
	void (*run)(struct world *world, const struct scenario_line *line);
};

/* Splits `text` into words. */
void line_parse(struct scenario_line *line, const char *text);
/* Removes words from the beginning; they must be there. */
void line_drop_words(struct scenario_line *line, int count);
/* The word at a place, the keyword's being 0; empty if there is none. */
const char *line_word(const struct scenario_line *line, int index);
/* The same as a number; 0 if it is none. */
double line_number(const struct scenario_line *line, int index);
int line_integer(const struct scenario_line *line, int index);
/* The value of an option; `otherwise`, which may be NULL, if the line does not have it. */
const char *line_option(const struct scenario_line *line, const char *name, const char *otherwise);
/* The same as a number. */
double line_option_number(const struct scenario_line *line, const char *name, double otherwise);
/* Whether a numeric option is there and above 0. */
bool line_option_set(const struct scenario_line *line, const char *name);
/* Parses a range "3" or "3..9", both ends included; returns the first and sets the last. */
int parse_range(const char *word, int *last);
/* Writes the id of the job that a scenario calls by this number. */
void format_job_id(char id[ID_MAX], int number);

#endif
