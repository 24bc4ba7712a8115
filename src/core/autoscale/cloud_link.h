/* What all requests to the cloud share: its rate, and a pause after an error. */
#ifndef PLOVERLOFT_CLOUD_LINK_H
#define PLOVERLOFT_CLOUD_LINK_H

#include <stdbool.h>

struct call_answer;
struct core;

/* Takes one request of the cloud's rate, which all requests share; false if none is left. */
bool cloud_request_allowed(struct core *core);
/* An answer came: all requests wait for a while after an error. */
void cloud_note_answer(struct core *core, const struct call_answer *answer);

#endif
