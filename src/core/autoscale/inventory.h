/*
 * The inventory: the cloud's list of the machines that we rent, read page by page. It lags behind
 * rentals and deletes, see conf->inventory_lag_s.
 */
#ifndef PLOVERLOFT_INVENTORY_H
#define PLOVERLOFT_INVENTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "wire/wire.h"

struct core;

/* The state of the reads of the inventory. */
struct inventory_reader {
	bool in_flight; /* the read of a page is not answered yet */
	/* Number of the newest inventory: counts the inventories begun since this process started.
	 */
	uint64_t number;
	char cursor[ID_MAX]; /* id of the last machine read; empty: the next page is the first */
	double next_read_at; /* steady time before which no new inventory begins */
};

/* Begins an inventory or reads its next page, if that is due and the rate limit allows it. */
void inventory_tick(struct core *core);
/* Makes the next read begin a new inventory at once. Called when leadership has ended. */
void inventory_clear(struct core *core);

#endif
