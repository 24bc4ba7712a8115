/*
 * A line of a scenario: a keyword, its arguments and options NAME=VALUE, separated by blanks or
 * tabs. Arguments have fixed positions and come before the options.
 */
#ifndef PLOVERLOFT_RUNNER_SCENARIO_LINE_H
#define PLOVERLOFT_RUNNER_SCENARIO_LINE_H

#include "world.h"

#define LINE_BYTES 1024 /* size of the longest line, with its newline and NUL */
#define LINE_WORDS 24	/* words of a line; further ones are ignored */

/* A line split into words. */
struct scenario_line {
	char text[LINE_BYTES];	 /* the line as it was read */
	char buffer[LINE_BYTES]; /* the text of the words, which point into it */
	const char *words[LINE_WORDS];
	int word_count;
};

/* A keyword of the scenario language and its handler. */
struct scenario_keyword {
	const char *name;
	int arguments; /* least number of words that must follow the keyword */
	void (*run)(struct world *world, const struct scenario_line *line);
};

/* Initialises a line from its text. */
void line_parse(struct scenario_line *line, const char *text);
/* Removes the first `count` words; the line must have as many. */
void line_drop_words(struct scenario_line *line, int count);
/* Returns the word at an index, where 0 is the keyword; empty if the line has fewer words. */
const char *line_word(const struct scenario_line *line, int index);
/* Returns the word at an index as a number; 0 if it is not a number. */
double line_number(const struct scenario_line *line, int index);
/* Returns the word at an index as an integer; 0 if it is not a number. */
int line_integer(const struct scenario_line *line, int index);
/* Returns the value of an option; `default_value`, which may be NULL, if the line lacks it. */
const char *line_option(const struct scenario_line *line, const char *name,
			const char *default_value);
/* Returns the value of an option as a number; `default_value` if the line lacks it. */
double line_option_number(const struct scenario_line *line, const char *name, double default_value);
/* True if the line has the option with a number above 0. */
bool line_option_set(const struct scenario_line *line, const char *name);
/* Parses a range "3" or "3..9" with both ends included. Returns the first number and sets *last. */
int parse_range(const char *word, int *last);
/* Sets `id` to the id of the job that scenarios refer to by this number. */
void format_job_id(char id[ID_MAX], int number);

#endif
