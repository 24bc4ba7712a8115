/*
 * Test of thousands of open connections to one real controller over the loopback interface. Each
 * connection belongs to another agent and carries its reports. Every report must be answered on the
 * connection on which it was sent, and a user's submission must be accepted meanwhile. Prints the
 * controller's memory and number of descriptors.
 *
 * It guards against a controller that closes connections below its max_connections, does not raise
 * its limit of open files, starves users, or uses too much memory for each connection.
 *
 * Usage: connections PROGRAM COUNT
 */
#include <arpa/inet.h>
#include <errno.h>
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

/* Files that this process may open beside the agents' connections. */
#define SPARE_FILES 200
/* Connections of the controller for the stand-ins' agents, users, peers and its own calls. */
#define SPARE_CONNECTIONS 600
#define ROUNDS 2 /* reports of each agent */
/* Resident memory of the controller in MiB: some KiB for each machine and connection. */
#define MEMORY_MB_MAX 64.0
/* Seconds in which one report of every agent must be answered. */
#define ROUND_TIMEOUT_S 60.0

#define JOB 1			     /* number of the job */
#define SUBMISSION_TRIES_MAX 20	     /* tries to submit the job */
#define SUBMISSION_RETRY_S 0.5	     /* seconds between two tries */
#define SETTLE_S 2		     /* seconds between the election and the first connection */
#define CONNECT_BATCH 50	     /* connections opened between two runs of the stand-ins */
#define REPORT_BATCH 100	     /* reports sent between two runs of the stand-ins */
#define BATCH_RUN_S 0.005	     /* seconds of such a run */
#define FIRST_MACHINE 1000	     /* number of the first agent's machine; the others follow */
#define NEWEST_LEADER_KEY "leader/2" /* leader's key in the newest format of the records */
#define ANSWERED_OK "HTTP/1.1 200"

/* The agents and their connections to one controller. */
struct agents {
	int count;
	int *fds;	/* socket of each agent; owned */
	bool *answered; /* by agent: the report of this round was answered; owned */
};

/* --- one agent --- */

/* Returns a nonblocking socket connected to the address. On failure prints why and returns -1. */
static int connect_to(const char *addr)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	const char *colon = strchr(addr, ':');
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_port = htons((uint16_t)atoi(colon + 1));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		fprintf(stderr, "cannot connect to the controller at %s: %s\n", addr,
			strerror(errno));
		return -1;
	}
	return fcntl(fd, F_SETFL, O_NONBLOCK) ? -1 : fd;
}

/*
 * Sends an agent's report without tasks. Returns 0, or -1 if it cannot be sent at once. The
 * report's address is a closed port, so that no probe reaches the agent.
 */
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

enum answer { ANSWER_NONE_YET, ANSWER_OK, ANSWER_WRONG };

/*
 * Receives the answer to an agent's report. Returns ANSWER_WRONG if its status is not 200, or if
 * the connection is closed or the answer announces that it will be.
 */
static enum answer receive_answer(int fd)
{
	char text[1024];
	ssize_t length = recv(fd, text, sizeof(text) - 1, 0);

	if (length < 0)
		return ANSWER_NONE_YET;
	text[length] = 0;
	if (strncmp(text, ANSWERED_OK, strlen(ANSWERED_OK)) || strstr(text, "Connection: close"))
		return ANSWER_WRONG;
	return ANSWER_OK;
}

/* --- all agents --- */

static bool connect_all(struct loopback *loopback, struct agents *agents, int controller)
{
	for (int i = 0; i < agents->count; i++) {
		agents->fds[i] = connect_to(loopback->controllers[controller].front);
		if (agents->fds[i] < 0)
			return false;
		if (i % CONNECT_BATCH == 0)
			loopback_run(loopback, BATCH_RUN_S);
	}
	return true;
}

static bool send_all(struct loopback *loopback, const struct agents *agents, int sequence)
{
	for (int i = 0; i < agents->count; i++) {
		if (send_report(agents->fds[i], i, sequence))
			return false;
		if (i % REPORT_BATCH == 0)
			loopback_run(loopback, BATCH_RUN_S);
	}
	return true;
}

/*
 * Receives the answers that have arrived, and subtracts their number from *left, which counts
 * the missing answers. Returns false if an answer is wrong.
 */
static bool receive_answers(struct agents *agents, int *left)
{
	for (int i = 0; i < agents->count; i++) {
		enum answer answer =
		    agents->answered[i] ? ANSWER_NONE_YET : receive_answer(agents->fds[i]);

		if (answer == ANSWER_WRONG)
			return false;
		agents->answered[i] |= answer == ANSWER_OK;
		*left -= answer == ANSWER_OK;
	}
	return true;
}

/* Every agent sends one report. Returns whether each is answered on its connection in time. */
static bool report_all(struct loopback *loopback, struct agents *agents, int sequence)
{
	double started_at = net_now();
	int left = agents->count;
	bool ok;

	memset(agents->answered, 0, (size_t)agents->count * sizeof(*agents->answered));
	ok = send_all(loopback, agents, sequence);
	while (ok && left && net_now() - started_at < ROUND_TIMEOUT_S) {
		loopback_run(loopback, 0.02);
		ok = receive_answers(agents, &left);
	}
	if (!ok || left)
		fprintf(
		    stderr,
		    "round %d: %d of %d reports have no valid answer after %.1f s, expected 0\n",
		    sequence, left, agents->count, net_now() - started_at);
	return ok && !left;
}

/* --- the controller --- */

/* Returns the index of the controller that leads, or -1 if there is none. */
static int leader_index(const struct loopback *loopback)
{
	const char *name = loopback_leader(loopback, NEWEST_LEADER_KEY);

	return name ? atoi(name + strlen("node-")) : -1;
}

/* Waits for a leader. Returns its index, or -1 if there is none within LOOPBACK_TIMEOUT_S. */
static int wait_for_leader(struct loopback *loopback)
{
	double started_at = net_now();
	int leader = leader_index(loopback);

	while (leader < 0 && net_now() - started_at < LOOPBACK_TIMEOUT_S) {
		loopback_run(loopback, 0.2);
		leader = leader_index(loopback);
	}
	return leader;
}

/* Submits the job to the controller. Returns whether it is accepted within the tries. */
static bool submit(struct loopback *loopback, int controller)
{
	const int *accepted = &loopback->answer_counts[STATUS_CREATED];

	for (int i = 0; !*accepted && i < SUBMISSION_TRIES_MAX; i++) {
		loopback_submit(loopback, JOB, controller);
		loopback_run(loopback, SUBMISSION_RETRY_S);
	}
	return *accepted > 0;
}

/*
 * Whether the controller's memory is below its limit. It is not checked under a sanitizer, which
 * needs memory of its own.
 */
static bool memory_within_limit(double memory)
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

static bool run_test(struct loopback *loopback, const char *program, struct agents *agents)
{
	double started_at = net_now();
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
	       process_descriptors(pid), net_now() - started_at);
	return memory_within_limit(memory);
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
	if (process_raise_file_limit(agents.count + SPARE_CONNECTIONS + SPARE_FILES)) {
		fprintf(stderr,
			"cannot raise the limit of open files to %d, needed for %d connections\n",
			agents.count + SPARE_CONNECTIONS + SPARE_FILES, agents.count);
		return 1;
	}
	loopback.max_connections = agents.count + SPARE_CONNECTIONS;
	if (loopback_init(&loopback))
		return 2;
	loopback_add_job(&loopback, JOB, JOB_ARRAY, 2, 1);
	agents.fds = xcalloc((size_t)agents.count, sizeof(*agents.fds));
	agents.answered = xcalloc((size_t)agents.count, sizeof(*agents.answered));
	ok = run_test(&loopback, argv[1], &agents) && !loopback_rule_broken(&loopback);
	free_agents(&agents);
	loopback_free(&loopback);
	return !ok;
}
