/*
 * TCP sockets over IPv4. All are non-blocking and closed on exec. Functions that return a
 * descriptor hand it to the caller, who closes it; -1 means failure, with nothing left open.
 */
#ifndef PLOVERLOFT_TCP_H
#define PLOVERLOFT_TCP_H

struct sockaddr_in;

/* Reads "ADDRESS:PORT" with a numeric IPv4 address. 0, or -1 if it is none. */
int tcp_address_parse(const char *text, struct sockaddr_in *address);

/* A listening socket; `backlog` connections may await their tcp_accept(). */
int tcp_listen(const struct sockaddr_in *address, int backlog);

/* The next connection that was made to a listening socket; -1 also if there is none. */
int tcp_accept(int listener_fd);

/* Begins to connect: the socket becomes writable when that has ended; see tcp_connect_failed(). */
int tcp_connect(const struct sockaddr_in *address);

/* Whether a connection that was begun has failed. To be called once, when the socket is writable.
 */
int tcp_connect_failed(int fd);

/* Sends small messages at once, in place of gathering them. */
void tcp_set_no_delay(int fd);

#endif
