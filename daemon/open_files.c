/* Raises the process's limit on open files. */
#include "open_files.h"

#include <sys/resource.h>

#include "util/log.h"

int open_files_raise(int wanted)
{
	const rlim_t target = (rlim_t)wanted;
	struct rlimit limit;

	/* If the limit cannot be read or set, `wanted` is returned: opening more files than the
	 * limit allows fails by itself. */
	if (getrlimit(RLIMIT_NOFILE, &limit))
		return wanted;
	if (limit.rlim_cur < target) {
		limit.rlim_cur = limit.rlim_max < target ? limit.rlim_max : target;
		if (setrlimit(RLIMIT_NOFILE, &limit) || getrlimit(RLIMIT_NOFILE, &limit))
			return wanted;
	}
	if (limit.rlim_cur >= target)
		return wanted;
	log_error("file_limit_low", "wanted=%d allowed=%llu", wanted,
		  (unsigned long long)limit.rlim_cur);
	return (int)limit.rlim_cur;
}
