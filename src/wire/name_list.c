/* Lists of names from the platform's messages: names of zones and of machine types. */
#include "wire/name_list.h"

#include <stdlib.h>
#include <string.h>

#include "util/xalloc.h"

int name_list_add(struct name_list *list, const char *name)
{
	size_t length = name ? strlen(name) : 0;

	if (!length || length >= NAME_MAX_LEN)
		return -1;
	list->names = xreallocarray(list->names, (size_t)list->count + 1, sizeof(*list->names));
	memcpy(list->names[list->count++], name, length + 1);
	return 0;
}

bool name_list_has(const struct name_list *list, const char *name)
{
	for (int i = 0; i < list->count; i++)
		if (!strcmp(list->names[i], name))
			return true;
	return false;
}

void name_list_free(struct name_list *list)
{
	free(list->names);
	list->names = NULL;
	list->count = 0;
}
