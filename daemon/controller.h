/* Runs a controller: the event loop that connects the network with the core. */
#ifndef PLOVERLOFT_CONTROLLER_H
#define PLOVERLOFT_CONTROLLER_H

#include "conf/conf.h"

/* Listens on the controller's addresses and serves forever. It returns only if it cannot listen;
 * the reason is logged. */
void controller_run(const struct conf *conf);

#endif
