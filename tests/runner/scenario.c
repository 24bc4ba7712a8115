/*
 * Reads a scenario and runs each line by the handler of its keyword. tests/README.md describes the
 * scenario language.
 */
#include "scenario.h"

#include <math.h>
#include <string.h>

#include "expectations.h"
#include "faults.h"
#include "requests.h"
#include "scenario_line.h"
#include "setup.h"

/* Time simulated after the last line and the last fault: longer than the 75 s (UNANSWERED_MAX_S)
 * for which users may get no answer about a job. */
#define EPILOGUE_S 80.0
#define BREAKS_PREFIX "breaks "

/* until T: simulates until T seconds */
static void run_until(struct world *world, const struct scenario_line *line)
{
	world_run(world, line_number(line, 1));
}

static const struct scenario_keyword time_keywords[] = {
    {"until", 1, run_until},
    {NULL, 0, NULL},
};

/* Returns the keyword with this name; NULL if the table has none. */
static const struct scenario_keyword *find_in_table(const struct scenario_keyword *table,
						    const char *name)
{
	for (const struct scenario_keyword *keyword = table; keyword->name; keyword++)
		if (!strcmp(keyword->name, name))
			return keyword;
	return NULL;
}

/* Returns the keyword with this name from the tables without faults; NULL if they have none. */
static const struct scenario_keyword *find_non_fault_keyword(const char *name)
{
	static const struct scenario_keyword *const tables[] = {
	    time_keywords,
	    setup_keywords,
	    request_keywords,
	    expectation_keywords,
	};

	for (size_t i = 0; i < sizeof(tables) / sizeof(*tables); i++) {
		const struct scenario_keyword *keyword = find_in_table(tables[i], name);

		if (keyword)
			return keyword;
	}
	return NULL;
}

static const struct scenario_keyword *find_fault_keyword(const char *name)
{
	const struct scenario_keyword *keyword = find_in_table(fault_keywords, name);

	return keyword ? keyword : find_in_table(network_fault_keywords, name);
}

static void run_line(struct world *world, const struct scenario_line *line)
{
	const char *name = line_word(line, 0);
	const struct scenario_keyword *fault = find_fault_keyword(name);
	const struct scenario_keyword *keyword = fault ? fault : find_non_fault_keyword(name);

	if (!keyword) {
		world_fail(world, "unknown keyword \"%s\"", name);
		return;
	}
	if (line->word_count <= keyword->arguments) {
		world_fail(world, "keyword \"%s\" needs %d words after it, found %d", name,
			   keyword->arguments, line->word_count - 1);
		return;
	}
	if (fault)
		faults_extend_duration(world, line);
	keyword->run(world, line);
}

/* Runs the text of a line: [at T] KEYWORD ..., or an empty line or a comment, which do nothing. */
static void run_text(struct world *world, const char *text)
{
	struct scenario_line line;

	line_parse(&line, text);
	if (!line.word_count || line_word(&line, 0)[0] == '#')
		return;
	if (!strcmp(line_word(&line, 0), "at") && line.word_count > 2) {
		world_run(world, line_number(&line, 1));
		line_drop_words(&line, 2);
	}
	run_line(world, &line);
}

void scenario_run(struct world *world, FILE *file)
{
	char text[LINE_BYTES];
	char permitted[LINE_BYTES] = ""; /* names of the rules that the scenario may break */

	while (fgets(text, sizeof(text), file)) {
		world->line_number++;
		if (!strncmp(text, BREAKS_PREFIX, strlen(BREAKS_PREFIX)))
			snprintf(permitted, sizeof(permitted), "%s", text + strlen(BREAKS_PREFIX));
		else
			run_text(world, text);
	}
	/* After the last fault the checker requires that users get answers again. */
	world_run(world, fmax(world->now_s, world->faults_end_s) + EPILOGUE_S);
	expect_rules_kept(world, permitted);
}
