/* Opens and closes listening sockets and accepts connections on them. */
#include "net/listener.h"

#include <netinet/in.h>
#include <unistd.h>

#include "constants.h"
#include "net/tcp.h"

void listener_init(struct listener *listener, enum net_side side)
{
	*listener =
	    (struct listener){.base = {.fd = -1, .kind = CONNECTION_LISTENER}, .side = side};
}

int listener_open(struct listener *listener, struct connection_set *set, const char *address,
		  int backlog)
{
	struct sockaddr_in parsed;

	if (tcp_address_parse(address, &parsed))
		return -1;
	listener->base.fd = tcp_listen(&parsed, backlog);
	if (listener->base.fd < 0)
		return -1;
	connection_set_add_listener(set, &listener->base);
	return 0;
}

void listener_accept(const struct listener *listener, struct connection_limit *limit,
		     struct server_connections *connections)
{
	for (int i = 0; i < NET_ACCEPT_BATCH; i++) {
		int fd = tcp_accept(listener->base.fd);

		if (fd < 0)
			return;
		if (!connection_limit_admit(limit, CONNECTION_SERVER)) {
			close(fd);
			return;
		}
		server_connections_add(connections, fd, listener->side);
	}
}

void listener_free(struct listener *listener)
{
	if (listener->base.fd >= 0)
		close(listener->base.fd);
	listener->base.fd = -1;
}
