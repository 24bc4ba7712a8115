/* Starts controllers as processes with their settings files, and kills them. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "loopback/loopback.h"

#define USUAL_FILE_LIMIT 1024 /* the usual soft limit of open files */
#define EXEC_FAILED 127	      /* exit status that shells use for a program that cannot be started */

/* Writes the controllers that this one knows: all others. */
static void write_peers(const struct loopback *loopback, int index, FILE *file)
{
	for (int i = 0; i < LOOPBACK_CONTROLLERS; i++)
		if (i != index)
			fprintf(file, "[[known]]\nlabel=\"node-%d\"\nlocation=\"a\"\naddr=\"%s\"\n",
				i, loopback->controllers[i].back);
}

/* Writes the platform's settings. They agree with loopback->conf, which the stand-ins use. */
static void write_facts(const struct loopback *loopback, FILE *file)
{
	fprintf(file, "[facts]\nnodes=%d\nzones=[\"a\"]\nskew_ms=100.0\n", LOOPBACK_CONTROLLERS);
	fprintf(file, "[[facts.teams]]\nname=\"core\"\n");
	fprintf(file, "[facts.workers]\nreport_s=1.0\nlease_s=10.0\ngang_wait_s=20.0\n"
		      "gang_peer_s=5.0\ncancel_s=30.0\n");
	fprintf(file, "[facts.state]\nrps=500.0\nwrite_rps=200.0\nvalue_kb=8.0\ntxn_ops=16\n");
	fprintf(file, "[facts.state.next]\nvalue_kb=%.1f\ntxn_ops=%d\n", LOOPBACK_NEXT_VALUE_KB,
		LOOPBACK_NEXT_TXN_OPS);
	fprintf(file, "[facts.cloud]\nrps=5.0\nlist_lag_s=1.0\n");
	fprintf(file, "[facts.resources]\ncores=0.1\nmem_mb=64.0\nmax_connections=%d\n",
		loopback->max_connections);
}

static void write_settings(const struct loopback *loopback, int index, const char *path)
{
	const struct loopback_controller *controller = &loopback->controllers[index];
	FILE *file = fopen(path, "w");

	if (!file)
		abort();
	fprintf(file, "label=\"node-%d\"\nlocation=\"a\"\nfront=\"%s\"\nback=\"%s\"\n", index,
		controller->front, controller->back);
	write_peers(loopback, index, file);
	fprintf(file, "[endpoints]\nstate=\"%s\"\ncloud=\"%s\"\n", loopback->servers[0].addr,
		loopback->servers[1].addr);
	write_facts(loopback, file);
	fclose(file);
}

/*
 * Lowers the soft limit of open files to that which systems usually give to programs: a controller
 * that needs more has to raise it by itself.
 */
static void lower_file_limit(void)
{
	struct rlimit files;

	if (getrlimit(RLIMIT_NOFILE, &files) || files.rlim_cur < USUAL_FILE_LIMIT)
		return;
	files.rlim_cur = USUAL_FILE_LIMIT;
	setrlimit(RLIMIT_NOFILE, &files);
}

/* Replaces the new process by the program. Does not return. */
static void exec_program(const char *program, const char *settings)
{
	/* The controller is killed when the test ends, even if that crashes. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	setenv("LOG_LEVEL", "error", 0);
	lower_file_limit();
	execl(program, program, "--config", settings, (char *)NULL);
	_exit(EXEC_FAILED);
}

void loopback_start(struct loopback *loopback, int index, const char *program)
{
	char path[CONF_NAME_MAX * 2];
	pid_t pid;

	snprintf(path, sizeof(path), "%s/%d.toml", loopback->dir, index);
	write_settings(loopback, index, path);
	pid = fork();
	if (pid < 0)
		abort();
	if (pid == 0)
		exec_program(program, path);
	loopback->controllers[index].pid = pid;
}

void loopback_kill(struct loopback *loopback, int index)
{
	struct loopback_controller *controller = &loopback->controllers[index];

	if (controller->pid <= 0)
		return;
	kill(controller->pid, SIGKILL);
	waitpid(controller->pid, NULL, 0);
	controller->pid = 0;
}
