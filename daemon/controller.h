/* A running controller: the loop between the network and the core. */
#ifndef PLOVERLOFT_CONTROLLER_H
#define PLOVERLOFT_CONTROLLER_H

#include "conf/conf.h"

/* Listens and serves for ever; it returns only if it cannot listen, which is logged. */
void controller_run(const struct conf *conf);

#endif
