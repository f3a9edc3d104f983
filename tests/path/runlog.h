#ifndef PATH_RUNLOG_H
#define PATH_RUNLOG_H

#include <stddef.h>
#include <stdint.h>

#include "fleet.h"

/*
 * What the backend servers ran, as they noted it themselves before they
 * began: it outlives a killed server.
 */
struct runlog_entry {
	uint64_t us;
	int inst;
	char path[72];
	char workspace[32];
	char id[72];
	char attempt[72]; /* what the caller wrote in X-Attempt */
};

struct runlog {
	struct runlog_entry *list;
	size_t count;
	size_t cap;
};

void runlog_init(struct runlog *);
void runlog_finish(struct runlog *);
void runlog_read(struct runlog *, const struct fleet *);
size_t runlog_count_id(const struct runlog *, const char *);
size_t runlog_count_path(const struct runlog *, const char *);
size_t runlog_max_per_id(const struct runlog *, char *, size_t);
size_t runlog_count_attempt(const struct runlog *, const char *);
double runlog_certain_excess(
    const struct runlog *, const char *, double, double);
double runlog_excess(const struct runlog *, const char *, double, double);

#endif
