/* Names as the platform spells them, their sizes, and lists of them. */
#ifndef PLOVERLOFT_NAME_LIST_H
#define PLOVERLOFT_NAME_LIST_H

#include <stdbool.h>

#define ID_MAX 48	/* bytes of a job's or a machine's id, its terminating zero included */
#define NAME_MAX_LEN 64 /* bytes of any other name or address, its terminating zero included */

/* Names without a bound on their number. All zero is the empty list. */
struct name_list {
	char (*names)[NAME_MAX_LEN];
	int count;
};

/* Appends a copy of the name. 0, or -1 if it is NULL, empty or too long. */
int name_list_add(struct name_list *list, const char *name);
/* True if the list holds the name. */
bool name_list_has(const struct name_list *list, const char *name);
/* Frees the names; the list is empty afterwards. */
void name_list_free(struct name_list *list);

#endif
