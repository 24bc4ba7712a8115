/*
 * Thousands of kept connections to one real controller over loopback: each carries reports of a
 * worker of its own, all are answered on the connection that they came by, and users are served
 * beside them. Prints the controller's memory and descriptors. Usage: connections PROGRAM COUNT
 */
#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loopback.h"
#include "wire/names.h"

#define SPARE_FILES 200	      /* of this process, beside the workers' connections */
#define SPARE_CONNECTIONS 600 /* of the controller: other workers, users, peers, its own calls */
#define ROUNDS 2	      /* reports of each worker */
#define MEMORY_MB_MAX 64.0    /* of the controller: a few KiB a machine and connection */
#define PASS_S 60.0	      /* seconds for a report of every worker */

/* 0, or -1 if this process may not open so many files. */
static int raise_files(int wanted)
{
	struct rlimit files;

	if (getrlimit(RLIMIT_NOFILE, &files))
		return -1;
	if (files.rlim_cur >= (rlim_t)wanted)
		return 0;
	files.rlim_cur = (rlim_t)wanted;
	return files.rlim_max < (rlim_t)wanted ? -1 : setrlimit(RLIMIT_NOFILE, &files);
}

static int connect_to(const char *addr)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	const char *colon = strchr(addr, ':');
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_port = htons((uint16_t)atoi(colon + 1));
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || connect(fd, (struct sockaddr *)&sa, sizeof(sa))) {
		perror("connect");
		return -1;
	}
	return fcntl(fd, F_SETFL, O_NONBLOCK) ? -1 : fd;
}

/* Workers that nobody can ask: their address is a port that is closed. */
static int send_report(int fd, int worker, int sequence)
{
	char body[512], text[1024];
	int len = snprintf(body, sizeof(body),
			   "{\"" W_MACHINE "\":\"vm-%06d\",\"" W_ADDR "\":\"127.0.0.1:9\",\"" W_TYPE
			   "\":\"g\",\"" W_ZONE "\":\"a\",\"" W_SPOT "\":false,\"" W_INCARNATION
			   "\":1,\"" W_SEQUENCE "\":%d,\"" W_TOKEN "\":0,\"" W_TASKS "\":[]}",
			   worker + 1000, sequence);

	len = snprintf(text, sizeof(text),
		       "POST " W_PATH_HEARTBEAT " HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len,
		       body);
	return send(fd, text, (size_t)len, MSG_NOSIGNAL) == len ? 0 : -1;
}

/* Whether the answer to a report came: 1, 0 if not yet, -1 if it is another or the connection
 * broke. */
static int take_answer(int fd)
{
	char text[1024];
	ssize_t len = recv(fd, text, sizeof(text) - 1, 0);

	if (len < 0)
		return 0;
	text[len] = 0;
	return !strncmp(text, "HTTP/1.1 200", 12) && !strstr(text, "Connection: close") ? 1 : -1;
}

/* Every worker reports once and is answered on its connection. */
static bool report_all(struct loopback *s, const int *fds, int count, int sequence)
{
	char *answered = calloc((size_t)count, 1);
	double from = net_now();
	int left = count;
	bool ok = answered != NULL;

	for (int i = 0; ok && i < count; i++) {
		ok = !send_report(fds[i], i, sequence);
		if (i % 100 == 0)
			loopback_run(s, 0.005);
	}
	while (ok && left && net_now() - from < PASS_S) {
		loopback_run(s, 0.02);
		for (int i = 0; ok && i < count; i++) {
			int got = answered[i] ? 0 : take_answer(fds[i]);

			ok = got >= 0;
			answered[i] |= got > 0;
			left -= got > 0;
		}
	}
	free(answered);
	if (!ok || left)
		fprintf(stderr, "reports: %d of %d unanswered\n", left, count);
	return ok && !left;
}

static int leader_node(struct loopback *s)
{
	const char *name = loopback_leader(s, "leader/2");

	return name ? atoi(name + strlen("node-")) : -1;
}

static double memory_mb(pid_t pid)
{
	char path[64], line[128];
	double kb = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof(line), f))
		if (!strncmp(line, "VmRSS:", 6))
			kb = atof(line + 6);
	if (f)
		fclose(f);
	return kb / 1024;
}

static int descriptors(pid_t pid)
{
	char path[64];
	int n = 0;
	DIR *dir;

	snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
	dir = opendir(path);
	while (dir && readdir(dir))
		n++;
	if (dir)
		closedir(dir);
	return n;
}

static bool play(struct loopback *s, const char *program, int count)
{
	int *fds = calloc((size_t)count, sizeof(*fds)), leader = -1;
	double from = net_now(), memory;
	bool ok = fds != NULL;

	for (int i = 0; i < LOOPBACK_NODES; i++)
		loopback_start(s, i, program);
	while (net_now() - from < LIMIT_S && (leader = leader_node(s)) < 0)
		loopback_run(s, 0.2);
	loopback_run(s, 2);
	for (int i = 0; ok && leader >= 0 && i < count; i++) {
		fds[i] = connect_to(s->front[leader]);
		ok = fds[i] >= 0;
		if (i % 50 == 0)
			loopback_run(s, 0.005);
	}
	for (int i = 1; ok && leader >= 0 && i <= ROUNDS; i++)
		ok = report_all(s, fds, count, i);
	for (int i = 0; ok && leader >= 0 && !s->answers[201] && i < 20; i++) {
		loopback_submit(s, 1, leader);
		loopback_run(s, 0.5);
	}
	if (!ok || leader < 0 || !s->answers[201])
		return false;
	memory = memory_mb(s->pids[leader]);
	printf("%d connections: %.1f MB, %d descriptors, %.1f s\n", count, memory,
	       descriptors(s->pids[leader]), net_now() - from);
	for (int i = 0; i < count; i++)
		close(fds[i]);
	free(fds);
#ifdef __SANITIZE_ADDRESS__
	return true;
#else
	return memory < MEMORY_MB_MAX;
#endif
}

int main(int argc, char **argv)
{
	static struct loopback s;
	int count = argc == 3 ? atoi(argv[2]) : 0;
	bool ok;

	if (count <= 0)
		return 2;
	if (raise_files(count + SPARE_CONNECTIONS + SPARE_FILES)) {
		fprintf(stderr, "this system allows fewer files than %d connections need\n", count);
		return 1;
	}
	s.max_connections = count + SPARE_CONNECTIONS;
	if (loopback_init(&s))
		return 2;
	loopback_job(&s, 1, JOB_ARRAY, 2, 1);
	ok = play(&s, argv[1], count) && !loopback_broken(&s);
	loopback_free(&s);
	return !ok;
}
