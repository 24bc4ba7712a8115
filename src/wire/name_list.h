/* Lists of names from the platform's messages (names of zones and of machine types), and the
 * maximum sizes of ids and names. */
#ifndef PLOVERLOFT_NAME_LIST_H
#define PLOVERLOFT_NAME_LIST_H

#include <stdbool.h>

#define ID_MAX 48	/* bytes of a job's or a machine's id, with its NUL */
#define NAME_MAX_LEN 64 /* bytes of a name that is not an id, or of an address, with its NUL */

/* A list of names. A zeroed struct is the empty list. */
struct name_list {
	char (*names)[NAME_MAX_LEN]; /* owned */
	int count;
};

/* Appends a copy of the name. Returns 0, or -1 if the name is NULL, empty or too long. */
int name_list_add(struct name_list *list, const char *name);
/* Whether the name is in the list. */
bool name_list_has(const struct name_list *list, const char *name);
/* Frees the names of the list and makes the list empty. */
void name_list_free(struct name_list *list);

#endif
