/* Sends the answers of the stand-ins to the requests that they get. */
#include "standins/answers.h"

#include <stdlib.h>

#include "standins/standin.h"
#include "wire/json_text.h"

void standin_answer(struct standin *standin, uint64_t handle, enum http_status status, json_t *body)
{
	char *text = wire_serialize(body);

	standin->callbacks->reply(standin->context, handle, (int)status, text);
	free(text);
}

void standin_answer_error(struct standin *standin, uint64_t handle, enum http_status status,
			  const char *why)
{
	standin_answer(standin, handle, status, json_pack("{s:s}", "error", why));
}
