/*
 * TCP sockets over IPv4. All of them are non-blocking and closed on exec. The caller owns a
 * returned descriptor and closes it. A function that returns -1 has failed and leaves no descriptor
 * open.
 */
#ifndef PLOVERLOFT_TCP_H
#define PLOVERLOFT_TCP_H

struct sockaddr_in;

/* Parses "ADDRESS:PORT" with a numeric IPv4 address. Returns 0, or -1 if the text is malformed. */
int tcp_address_parse(const char *text, struct sockaddr_in *address);

/* Opens a listening socket on which `backlog` connections can wait for tcp_accept(). */
int tcp_listen(const struct sockaddr_in *address, int backlog);

/* Accepts the next waiting connection of a listening socket. Returns -1 also if none is waiting. */
int tcp_accept(int listener_fd);

/* Starts to connect. The socket becomes writable when the attempt has succeeded or failed;
 * tcp_connect_failed() then tells which. */
int tcp_connect(const struct sockaddr_in *address);

/* True if the attempt of tcp_connect() failed. To be called once, when the socket has become
 * writable: reading the error clears it. */
int tcp_connect_failed(int fd);

/* Makes the socket send small messages at once instead of gathering them (TCP_NODELAY). */
void tcp_set_no_delay(int fd);

#endif
