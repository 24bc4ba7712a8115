/* Passes byte streams between controllers, and stops doing so on a frozen link. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rig.h"

#define STREAMS_MAX 512
#define CHUNK 65536

struct stream {
	int link;
	int ends[2];
	char *pending[2]; /* bytes read from ends[i] and not written to the other end yet */
	size_t pending_len[2];
};

struct link {
	int listener;
	struct sockaddr_in to;
	bool frozen;
};

struct relay {
	struct link *links;
	int link_count;
	struct stream streams[STREAMS_MAX];
	int stream_count;
};

static void set_options(int fd)
{
	const int enabled = 1;

	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
	fcntl(fd, F_SETFD, FD_CLOEXEC);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

/*
 * The ports lie below those of outgoing connections, so that none of them is taken while a
 * controller is down.
 */
int listen_anywhere(char addr[RIG_ADDRESS])
{
	static int offset = -1;
	struct sockaddr_in address = {.sin_family = AF_INET};
	const int enabled = 1;
	int fd, port, tries = 0;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (offset < 0)
		offset = getpid() % 300 * 64;
	do {
		port = 11000 + offset++ % 20000;
		address.sin_port = htons((uint16_t)port);
		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (fd >= 0 && !bind(fd, (struct sockaddr *)&address, sizeof(address)) &&
		    !listen(fd, 128)) {
			setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
			snprintf(addr, RIG_ADDRESS, "127.0.0.1:%d", port);
			return fd;
		}
		close(fd);
	} while (++tries < 2000);
	exit(2);
}

struct relay *relay_new(int links)
{
	struct relay *relay = calloc(1, sizeof(*relay));

	relay->links = calloc((size_t)links, sizeof(*relay->links));
	relay->link_count = links;
	return relay;
}

void relay_open(struct relay *relay, int link, char addr[RIG_ADDRESS], const char *to)
{
	struct link *opened = &relay->links[link];
	const char *colon = strchr(to, ':');

	opened->listener = listen_anywhere(addr);
	set_options(opened->listener);
	opened->to.sin_family = AF_INET;
	opened->to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	opened->to.sin_port = htons((uint16_t)atoi(colon + 1));
}

void relay_freeze(struct relay *relay, int link, bool frozen)
{
	relay->links[link].frozen = frozen;
}

static void close_stream(struct relay *relay, int index)
{
	struct stream *stream = &relay->streams[index];

	for (int i = 0; i < 2; i++) {
		close(stream->ends[i]);
		free(stream->pending[i]);
	}
	*stream = relay->streams[--relay->stream_count];
}

static void accept_stream(struct relay *relay, int index)
{
	struct link *link = &relay->links[index];
	struct stream *stream = &relay->streams[relay->stream_count];
	int fd = accept(link->listener, NULL, NULL);
	int out;

	if (fd < 0)
		return;
	out = socket(AF_INET, SOCK_STREAM, 0);
	if (relay->stream_count == STREAMS_MAX || out < 0 ||
	    connect(out, (struct sockaddr *)&link->to, sizeof(link->to))) {
		close(fd);
		if (out >= 0)
			close(out);
		return;
	}
	set_options(fd);
	set_options(out);
	*stream = (struct stream){.link = index, .ends = {fd, out}};
	relay->stream_count++;
}

/* Moves bytes from one end to the other. Returns false if the stream has ended. */
static bool move_bytes(struct stream *stream, int from)
{
	char **pending = &stream->pending[from];
	size_t *len = &stream->pending_len[from];
	ssize_t count;

	if (!*len) {
		if (!*pending)
			*pending = malloc(CHUNK);
		count = recv(stream->ends[from], *pending, CHUNK, 0);
		if (count < 0)
			return errno == EAGAIN || errno == EINTR;
		if (!count)
			return false;
		*len = (size_t)count;
	}
	count = send(stream->ends[1 - from], *pending, *len, MSG_NOSIGNAL);
	if (count < 0)
		return errno == EAGAIN || errno == EINTR;
	memmove(*pending, *pending + count, *len - (size_t)count);
	*len -= (size_t)count;
	return true;
}

void relay_poll(struct relay *relay)
{
	for (int i = 0; i < relay->link_count; i++)
		if (!relay->links[i].frozen)
			accept_stream(relay, i);
	for (int i = relay->stream_count - 1; i >= 0; i--) {
		struct stream *stream = &relay->streams[i];

		if (relay->links[stream->link].frozen)
			continue;
		if (!move_bytes(stream, 0) || !move_bytes(stream, 1))
			close_stream(relay, i);
	}
}

void relay_free(struct relay *relay)
{
	while (relay->stream_count)
		close_stream(relay, 0);
	for (int i = 0; i < relay->link_count; i++)
		close(relay->links[i].listener);
	free(relay->links);
	free(relay);
}
