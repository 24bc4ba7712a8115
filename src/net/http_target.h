/* The targets of HTTP requests. */
#ifndef PLOVERLOFT_HTTP_TARGET_H
#define PLOVERLOFT_HTTP_TARGET_H

/*
 * Writes the path of a target without its query into `path`, which has room for the whole target:
 * no request here has a query, and parameters that the receiver does not know are ignored.
 * Percent-encoded characters that need no encoding are decoded (RFC 3986, section 6.2.2.2); the
 * others stay as they are.
 */
void http_target_path(const char *target, char *path);

#endif
