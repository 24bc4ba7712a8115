#include "core/model/chunk.h"

#include <stdio.h>

#include "core/state.h"

uint32_t job_chunk_count(const struct job *job)
{
	return (job->spec.task_count + job->records.tasks_per_chunk - 1) /
	       job->records.tasks_per_chunk;
}

uint32_t job_chunk_index(const struct job *job, uint32_t task)
{
	return task / job->records.tasks_per_chunk;
}

/* The chunk of the binding's task. */
static struct chunk *chunk_of_binding(const struct binding *binding)
{
	return &binding->job->records.chunks[job_chunk_index(binding->job, binding->task)];
}

/* The largest size in bytes that the binding takes in its chunk's record. */
static uint32_t binding_record_bytes(const struct binding *binding)
{
	/* The text is longest if no other binding of the chunk has the same attempt and zone: then
	 * the binding is a group of its own, [attempt,"zone",task,"machine"]. */
	int bytes =
	    snprintf(NULL, 0, "[%llu,\"%s\",%u,\"%s\"],", (unsigned long long)binding->attempt,
		     binding->machine->zone, binding->task, binding->machine->id);

	return (uint32_t)bytes;
}

void chunk_add_binding(struct binding *binding)
{
	struct chunk *chunk = chunk_of_binding(binding);

	binding->record_bytes = binding_record_bytes(binding);
	DL_APPEND2(chunk->bindings, binding, chunk_prev, chunk_next);
	chunk->binding_count++;
	chunk->bytes += binding->record_bytes;
}

void chunk_remove_binding(struct binding *binding)
{
	struct chunk *chunk = chunk_of_binding(binding);

	DL_DELETE2(chunk->bindings, binding, chunk_prev, chunk_next);
	chunk->binding_count--;
	chunk->bytes -= binding->record_bytes;
}

bool chunk_has_other_binding(const struct binding *binding)
{
	const struct binding *other;

	DL_FOREACH2 (chunk_of_binding(binding)->bindings, other, chunk_next)
		if (other != binding && other->task == binding->task)
			return true;
	return false;
}
