/* The scenario language, which tests/README.md describes: finds what runs a line. */
#include "scenario.h"

#include <math.h>
#include <string.h>

#include "expectations.h"
#include "faults.h"
#include "requests.h"
#include "scenario_line.h"
#include "setup.h"

/* Played after the last line: longer than a job may go unanswered. */
#define EPILOGUE_S 80.0
#define BREAKS_PREFIX "breaks "

/* until T: plays until T seconds */
static void run_until(struct world *world, const struct scenario_line *line)
{
	world_run(world, line_number(line, 1));
}

static const struct scenario_keyword time_keywords[] = {
    {"until", 1, run_until},
    {NULL, 0, NULL},
};

/* NULL if the table has none of this name. */
static const struct scenario_keyword *find(const struct scenario_keyword *table, const char *name)
{
	for (const struct scenario_keyword *keyword = table; keyword->name; keyword++)
		if (!strcmp(keyword->name, name))
			return keyword;
	return NULL;
}

/* Keywords of all lines but faults; NULL if there is none of this name. */
static const struct scenario_keyword *find_ordinary(const char *name)
{
	static const struct scenario_keyword *const tables[] = {
	    time_keywords,
	    setup_keywords,
	    request_keywords,
	    expectation_keywords,
	};

	for (size_t i = 0; i < sizeof(tables) / sizeof(*tables); i++) {
		const struct scenario_keyword *keyword = find(tables[i], name);

		if (keyword)
			return keyword;
	}
	return NULL;
}

static void run_line(struct world *world, const struct scenario_line *line)
{
	const char *name = line_word(line, 0);
	const struct scenario_keyword *fault = find(fault_keywords, name);
	const struct scenario_keyword *keyword = fault ? fault : find_ordinary(name);

	if (!keyword) {
		world_fail(world, "unknown line: %s", name);
		return;
	}
	if (line->word_count <= keyword->arguments) {
		world_fail(world, "too few words: %s", name);
		return;
	}
	if (fault)
		fault_note_end(world, line);
	keyword->run(world, line);
}

/* Runs a line: empty, a comment, or [at T] KEYWORD ... */
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

void scenario_play(struct world *world, FILE *file)
{
	char text[LINE_BYTES];
	char permitted[LINE_BYTES] = ""; /* the rules that the scenario breaks on purpose */

	while (fgets(text, sizeof(text), file)) {
		world->line_number++;
		if (!strncmp(text, BREAKS_PREFIX, strlen(BREAKS_PREFIX)))
			snprintf(permitted, sizeof(permitted), "%s", text + strlen(BREAKS_PREFIX));
		else
			run_text(world, text);
	}
	/* Whatever it did, everybody is answered again when its faults are over. */
	world_run(world, fmax(world->now_s, world->quiet_since_s) + EPILOGUE_S);
	expect_rules_kept(world, permitted);
}
