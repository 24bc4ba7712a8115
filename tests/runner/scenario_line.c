/* Splits a line of a scenario and reads its words. */
#include "scenario_line.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "wire/names.h"

void line_parse(struct scenario_line *line, const char *text)
{
	char *rest = NULL;
	const char *word;

	memset(line, 0, sizeof(*line));
	snprintf(line->text, sizeof(line->text), "%s", text);
	snprintf(line->buffer, sizeof(line->buffer), "%s", text);
	word = strtok_r(line->buffer, " \t\n", &rest);
	while (word && line->word_count < LINE_WORDS) {
		line->words[line->word_count++] = word;
		word = strtok_r(NULL, " \t\n", &rest);
	}
}

void line_drop_words(struct scenario_line *line, int count)
{
	line->word_count -= count;
	memmove(line->words, line->words + count, (size_t)line->word_count * sizeof(*line->words));
}

const char *line_word(const struct scenario_line *line, int index)
{
	return index < line->word_count ? line->words[index] : "";
}

double line_number(const struct scenario_line *line, int index)
{
	return atof(line_word(line, index));
}

int line_integer(const struct scenario_line *line, int index)
{
	return atoi(line_word(line, index));
}

const char *line_option(const struct scenario_line *line, const char *name,
			const char *default_value)
{
	size_t length = strlen(name);

	for (int i = 0; i < line->word_count; i++) {
		const char *word = line->words[i];

		if (!strncmp(word, name, length) && word[length] == '=')
			return word + length + 1;
	}
	return default_value;
}

double line_option_number(const struct scenario_line *line, const char *name, double default_value)
{
	const char *value = line_option(line, name, NULL);

	return value ? atof(value) : default_value;
}

bool line_option_set(const struct scenario_line *line, const char *name)
{
	return line_option_number(line, name, 0) > 0;
}

int parse_range(const char *word, int *last)
{
	const char *dots = strstr(word, "..");

	*last = atoi(dots ? dots + 2 : word);
	return atoi(word);
}

void format_job_id(char id[ID_MAX], int number)
{
	snprintf(id, ID_MAX, W_JOB_PREFIX "%06d", number);
}
