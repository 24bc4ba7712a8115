/* Memory and file descriptors that a process uses. See process_use.h. */
#include "loopback/process_use.h"

#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#define PATH_BYTES 64
#define LINE_BYTES 128
#define KB_PER_MB 1024
#define MEMORY_FIELD "VmRSS:" /* resident memory in KiB */

double process_memory_mb(pid_t pid)
{
	char path[PATH_BYTES], line[LINE_BYTES];
	double kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "r");
	if (!file)
		return 0;
	while (fgets(line, sizeof(line), file))
		if (!strncmp(line, MEMORY_FIELD, strlen(MEMORY_FIELD)))
			kb = atof(line + strlen(MEMORY_FIELD));
	fclose(file);
	return kb / KB_PER_MB;
}

int process_descriptors(pid_t pid)
{
	char path[PATH_BYTES];
	int count = 0;
	DIR *directory;

	snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
	directory = opendir(path);
	if (!directory)
		return 0;
	while (readdir(directory))
		count++;
	closedir(directory);
	return count;
}

int process_raise_file_limit(int wanted)
{
	struct rlimit files;

	if (getrlimit(RLIMIT_NOFILE, &files))
		return -1;
	if (files.rlim_cur >= (rlim_t)wanted)
		return 0;
	files.rlim_cur = (rlim_t)wanted;
	return files.rlim_max < (rlim_t)wanted ? -1 : setrlimit(RLIMIT_NOFILE, &files);
}
