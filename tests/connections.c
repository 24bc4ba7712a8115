/*
 * Thousands of kept connections to one real controller over loopback: each carries reports of an
 * agent of its own, all are answered on the connection that they came by, and users are served
 * beside them. Prints the controller's memory and descriptors. Usage: connections PROGRAM COUNT
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/runtime/http_status.h"
#include "loopback/loopback.h"
#include "loopback/process_use.h"
#include "util/xalloc.h"
#include "wire/names.h"

#define SPARE_FILES 200	      /* of this process, beside the agents' connections */
#define SPARE_CONNECTIONS 600 /* of the controller: other agents, users, peers, its own calls */
#define ROUNDS 2	      /* reports of each agent */
#define MEMORY_MB_MAX 64.0    /* of the controller: a few KiB a machine and connection */
#define PASS_S 60.0	      /* seconds for a report of every agent */

#define JOB 1			/* its number */
#define SUBMISSIONS 20		/* tries */
#define SUBMISSION_S 0.5	/* seconds between them */
#define SETTLE_S 2		/* seconds after the election */
#define CONNECT_BATCH 50	/* connections opened between turns of the loop */
#define REPORT_BATCH 100	/* reports sent between them */
#define TURN_S 0.005		/* seconds of such a turn */
#define FIRST_MACHINE 1000	/* the agents' machines have numbers from here on */
#define LEADER_KEY_2 "leader/2" /* of the newest format */
#define ANSWERED_OK "HTTP/1.1 200"

/* The agents' connections to one controller. */
struct agents {
	int count;
	int *fds;	/* owned */
	bool *answered; /* in the present round; owned */
};

/* --- one agent --- */

/* A connection that does not block; -1, with a message, if there is none. */
static int connect_to(const char *addr)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	const char *colon = strchr(addr, ':');
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_port = htons((uint16_t)atoi(colon + 1));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		perror("connect");
		return -1;
	}
	return fcntl(fd, F_SETFL, O_NONBLOCK) ? -1 : fd;
}

/* 0, or -1. No probe reaches the agent: its address is a port that is closed. */
static int send_report(int fd, int agent, int sequence)
{
	char body[512], text[1024];
	int length = snprintf(body, sizeof(body),
			      "{\"" W_MACHINE "\":\"vm-%06d\",\"" W_ADDR
			      "\":\"127.0.0.1:9\",\"" W_MACHINE_TYPE "\":\"g\",\"" W_ZONE
			      "\":\"a\",\"" W_SPOT "\":false,\"" W_INCARNATION "\":1,\"" W_SEQUENCE
			      "\":%d,\"" W_TOKEN "\":0,\"" W_TASKS "\":[]}",
			      FIRST_MACHINE + agent, sequence);

	length = snprintf(text, sizeof(text),
			  "POST " W_PATH_HEARTBEAT " HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s",
			  length, body);
	return send(fd, text, (size_t)length, MSG_NOSIGNAL) == length ? 0 : -1;
}

enum answer { ANSWER_NONE_YET, ANSWER_TAKEN, ANSWER_WRONG };

/* ANSWER_WRONG: it is none to a report, or the connection broke or is to be closed. */
static enum answer take_answer(int fd)
{
	char text[1024];
	ssize_t length = recv(fd, text, sizeof(text) - 1, 0);

	if (length < 0)
		return ANSWER_NONE_YET;
	text[length] = 0;
	if (strncmp(text, ANSWERED_OK, strlen(ANSWERED_OK)) || strstr(text, "Connection: close"))
		return ANSWER_WRONG;
	return ANSWER_TAKEN;
}

/* --- all agents --- */

static bool connect_all(struct loopback *loopback, struct agents *agents, int controller)
{
	for (int i = 0; i < agents->count; i++) {
		agents->fds[i] = connect_to(loopback->controllers[controller].front);
		if (agents->fds[i] < 0)
			return false;
		if (i % CONNECT_BATCH == 0)
			loopback_run(loopback, TURN_S);
	}
	return true;
}

static bool send_all(struct loopback *loopback, const struct agents *agents, int sequence)
{
	for (int i = 0; i < agents->count; i++) {
		if (send_report(agents->fds[i], i, sequence))
			return false;
		if (i % REPORT_BATCH == 0)
			loopback_run(loopback, TURN_S);
	}
	return true;
}

/* Takes the answers that came off the number of those left; false if one is wrong. */
static bool take_answers(struct agents *agents, int *left)
{
	for (int i = 0; i < agents->count; i++) {
		enum answer answer =
		    agents->answered[i] ? ANSWER_NONE_YET : take_answer(agents->fds[i]);

		if (answer == ANSWER_WRONG)
			return false;
		agents->answered[i] |= answer == ANSWER_TAKEN;
		*left -= answer == ANSWER_TAKEN;
	}
	return true;
}

/* Every agent reports once and is answered on its connection. */
static bool report_all(struct loopback *loopback, struct agents *agents, int sequence)
{
	double from = net_now();
	int left = agents->count;
	bool ok;

	memset(agents->answered, 0, (size_t)agents->count * sizeof(*agents->answered));
	ok = send_all(loopback, agents, sequence);
	while (ok && left && net_now() - from < PASS_S) {
		loopback_run(loopback, 0.02);
		ok = take_answers(agents, &left);
	}
	if (!ok || left)
		fprintf(stderr, "reports: %d of %d unanswered\n", left, agents->count);
	return ok && !left;
}

/* --- the controller --- */

/* The leader's index; -1 if there is none. */
static int leader_index(const struct loopback *loopback)
{
	const char *name = loopback_leader(loopback, LEADER_KEY_2);

	return name ? atoi(name + strlen("node-")) : -1;
}

/* The same, once there is one; -1 if there is none in time. */
static int wait_for_leader(struct loopback *loopback)
{
	double from = net_now();
	int leader = leader_index(loopback);

	while (leader < 0 && net_now() - from < LIMIT_S) {
		loopback_run(loopback, 0.2);
		leader = leader_index(loopback);
	}
	return leader;
}

/* A user's job is accepted beside the reports. */
static bool submit(struct loopback *loopback, int controller)
{
	const int *accepted = &loopback->answer_counts[STATUS_CREATED];

	for (int i = 0; !*accepted && i < SUBMISSIONS; i++) {
		loopback_submit(loopback, JOB, controller);
		loopback_run(loopback, SUBMISSION_S);
	}
	return *accepted > 0;
}

/* Whether the memory is within its bound; under a sanitizer it says nothing. */
static bool memory_suffices(double memory)
{
#ifdef __SANITIZE_ADDRESS__
	(void)memory;
	return true;
#else
	return memory < MEMORY_MB_MAX;
#endif
}

/* --- the test --- */

static bool serve_agents(struct loopback *loopback, struct agents *agents, int leader)
{
	if (!connect_all(loopback, agents, leader))
		return false;
	for (int round = 1; round <= ROUNDS; round++)
		if (!report_all(loopback, agents, round))
			return false;
	return submit(loopback, leader);
}

static bool play(struct loopback *loopback, const char *program, struct agents *agents)
{
	double from = net_now();
	double memory;
	int leader;
	pid_t pid;

	for (int i = 0; i < LOOPBACK_CONTROLLERS; i++)
		loopback_start(loopback, i, program);
	leader = wait_for_leader(loopback);
	if (leader < 0)
		return false;
	loopback_run(loopback, SETTLE_S);
	if (!serve_agents(loopback, agents, leader))
		return false;
	pid = loopback->controllers[leader].pid;
	memory = process_memory_mb(pid);
	printf("%d connections: %.1f MB, %d descriptors, %.1f s\n", agents->count, memory,
	       process_descriptors(pid), net_now() - from);
	return memory_suffices(memory);
}

static void free_agents(struct agents *agents)
{
	for (int i = 0; i < agents->count; i++)
		if (agents->fds[i] > 0)
			close(agents->fds[i]);
	free(agents->fds);
	free(agents->answered);
}

int main(int argc, char **argv)
{
	static struct loopback loopback;
	struct agents agents = {.count = argc == 3 ? atoi(argv[2]) : 0};
	bool ok;

	if (agents.count <= 0)
		return 2;
	if (process_raise_files(agents.count + SPARE_CONNECTIONS + SPARE_FILES)) {
		fprintf(stderr, "this system allows fewer files than %d connections need\n",
			agents.count);
		return 1;
	}
	loopback.max_connections = agents.count + SPARE_CONNECTIONS;
	if (loopback_init(&loopback))
		return 2;
	loopback_job(&loopback, JOB, JOB_ARRAY, 2, 1);
	agents.fds = xcalloc((size_t)agents.count, sizeof(*agents.fds));
	agents.answered = xcalloc((size_t)agents.count, sizeof(*agents.answered));
	ok = play(&loopback, argv[1], &agents) && !loopback_broken(&loopback);
	free_agents(&agents);
	loopback_free(&loopback);
	return !ok;
}
