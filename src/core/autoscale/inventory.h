/* The inventory: the cloud's list of our machines, read page by page. It lags behind the cloud. */
#ifndef PLOVERLOFT_INVENTORY_H
#define PLOVERLOFT_INVENTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "wire/wire.h"

struct core;

struct inventory_reader {
	bool in_flight;
	uint64_t number;     /* of inventories begun, in the controller's life */
	char cursor[ID_MAX]; /* id of the last machine read; empty: a new inventory begins */
	double next_read_at; /* steady */
};

/* Reads the inventory, or its next page, when it is due and the cloud's rate allows. */
void inventory_tick(struct core *core);
/* The next inventory is read from its first page. Leadership has ended. */
void inventory_clear(struct core *core);

#endif
