/* The names of the rules, and the record of those that were broken. */
#include "standins/rules.h"

#include <stdarg.h>
#include <stdio.h>

#include "standins/standin.h"

const char *const rule_names[RULE_COUNT] = {
    [RULE_RAN_TWICE] = "ran_twice",	[RULE_QUOTA] = "quota",
    [RULE_WRONG_PLACE] = "wrong_place", [RULE_RAN_CANCELLED] = "ran_cancelled",
    [RULE_FORGOTTEN] = "forgotten",	[RULE_INVENTED] = "invented",
    [RULE_NOT_DONE] = "not_done",	[RULE_WENT_BACK] = "went_back",
    [RULE_NOTHING_RAN] = "nothing_ran", [RULE_UNSERVED] = "unserved",
    [RULE_LATE_LARGE] = "late_large",	[RULE_IDLE_ROOM] = "idle_room",
    [RULE_WRONG_JOB] = "wrong_job",
};

void standin_record_broken_rule(struct standin *standin, enum rule rule, const char *format, ...)
{
	va_list arguments;
	int length;

	standin->rules_broken[rule]++;
	if (standin->rules_broken[rule] > 1)
		return;
	length = snprintf(standin->broken_rule_message, sizeof(standin->broken_rule_message),
			  "%s: ", rule_names[rule]);
	va_start(arguments, format);
	vsnprintf(standin->broken_rule_message + length,
		  sizeof(standin->broken_rule_message) - (size_t)length, format, arguments);
	va_end(arguments);
	if (standin->verbose)
		fprintf(stderr, "at %.3f s: broken rule %s\n", standin->now,
			standin->broken_rule_message);
}
