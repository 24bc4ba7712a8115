/* Names that are longer than what this program keeps of a name. */
#ifndef PLOVERLOFT_SHORT_NAME_H
#define PLOVERLOFT_SHORT_NAME_H

#include "wire/name_list.h"

/*
 * Copies a name in UTF-8. The protocol does not limit names: of one that needs more than
 * NAME_MAX_LEN bytes with its NUL, the beginning and a hash of the whole are kept, which are equal
 * for equal names only. Such a name must not be sent to another system.
 */
void short_name_copy(char out[NAME_MAX_LEN], const char *name);

#endif
