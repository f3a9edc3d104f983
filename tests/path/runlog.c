#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "runlog.h"

static int by_time(const void *, const void *);
static int by_id(const void *, const void *);
static void add(struct runlog *, const struct runlog_entry *);

/*
 * Makes an empty list.
 */
void
runlog_init(struct runlog *rl)
{
	memset(rl, 0, sizeof(*rl));
}

/*
 * Frees the list.
 */
void
runlog_finish(struct runlog *rl)
{
	free(rl->list);
	memset(rl, 0, sizeof(*rl));
}

/*
 * Adds one run.
 */
static void
add(struct runlog *rl, const struct runlog_entry *e)
{
	if (rl->count == rl->cap) {
		rl->cap = rl->cap == 0 ? 4096 : rl->cap * 2;
		rl->list = realloc(rl->list, rl->cap * sizeof(*rl->list));
		if (rl->list == NULL)
			abort();
	}
	rl->list[rl->count++] = *e;
}

/*
 * Orders runs by the time at which they began.
 */
static int
by_time(const void *a, const void *b)
{
	const struct runlog_entry *x = a, *y = b;

	return x->us < y->us ? -1 : x->us > y->us;
}

/*
 * Orders runs by request id.
 */
static int
by_id(const void *a, const void *b)
{
	const struct runlog_entry *x = a, *y = b;

	return strcmp(x->id, y->id);
}

/*
 * Reads what all servers of a fleet ran so far, in order of time.
 */
void
runlog_read(struct runlog *rl, const struct fleet *f)
{
	struct runlog_entry e;
	char line[512];
	FILE *in;
	int i;

	rl->count = 0;
	for (i = 0; i < f->count; i++) {
		if ((in = fopen(f->list[i].runs, "r")) == NULL)
			continue;
		while (fgets(line, sizeof(line), in) != NULL) {
			char *p, *save = NULL;

			memset(&e, 0, sizeof(e));
			e.inst = i;
			e.us = strtoull(line, &p, 10);
			if ((p = strtok_r(p, " \n", &save)) == NULL)
				continue;
			snprintf(e.path, sizeof(e.path), "%s", p);
			if ((p = strtok_r(NULL, " \n", &save)) == NULL)
				continue;
			snprintf(e.workspace, sizeof(e.workspace), "%s", p);
			if ((p = strtok_r(NULL, " \n", &save)) == NULL)
				continue;
			snprintf(e.id, sizeof(e.id), "%s", p);
			if ((p = strtok_r(NULL, " \n", &save)) == NULL)
				continue;
			snprintf(e.attempt, sizeof(e.attempt), "%s", p);
			add(rl, &e);
		}
		fclose(in);
	}
	if (rl->count > 0)
		qsort(rl->list, rl->count, sizeof(*rl->list), by_time);
}

/*
 * Returns how often a request id ran.
 */
size_t
runlog_count_id(const struct runlog *rl, const char *id)
{
	size_t i, n = 0;

	for (i = 0; i < rl->count; i++)
		n += strcmp(rl->list[i].id, id) == 0;
	return n;
}

/*
 * Returns how often one sending of a request ran.
 */
size_t
runlog_count_attempt(const struct runlog *rl, const char *attempt)
{
	size_t i, n = 0;

	for (i = 0; i < rl->count; i++)
		n += strcmp(rl->list[i].attempt, attempt) == 0;
	return n;
}

/*
 * Returns how many runs had a path that begins with a piece of text.
 */
size_t
runlog_count_path(const struct runlog *rl, const char *path)
{
	size_t i, n = 0;

	for (i = 0; i < rl->count; i++)
		n += strncmp(rl->list[i].path, path, strlen(path)) == 0;
	return n;
}

/*
 * Returns how often the id that ran most often did, and its name.
 */
size_t
runlog_max_per_id(const struct runlog *rl, char *id, size_t size)
{
	struct runlog_entry *list;
	size_t i, run = 0, max = 0;

	id[0] = '\0';
	if (rl->count == 0 ||
	    (list = malloc(rl->count * sizeof(*list))) == NULL)
		return 0;
	memcpy(list, rl->list, rl->count * sizeof(*list));
	qsort(list, rl->count, sizeof(*list), by_id);
	for (i = 0; i < rl->count; i++) {
		if (strcmp(list[i].id, "-") == 0)
			continue;
		run = i > 0 && strcmp(list[i].id, list[i - 1].id) == 0 ? run + 1
								       : 1;
		if (run > max) {
			max = run;
			snprintf(id, size, "%s", list[i].id);
		}
	}
	free(list);
	return max;
}

/*
 * Returns by how many requests a workspace was let through beyond rate x
 * window + burst, in the worst window of any length; negative if never.
 * A bucket that starts full and never may go below zero is just that bound:
 * the deepest level it would have reached tells the excess.
 */
double
runlog_excess(
    const struct runlog *rl, const char *workspace, double rate, double burst)
{
	double level = burst, worst = -burst;
	uint64_t last = 0;
	size_t i;

	for (i = 0; i < rl->count; i++) {
		if (strcmp(rl->list[i].workspace, workspace) != 0)
			continue;
		if (last != 0)
			level += rate * (double)(rl->list[i].us - last) / 1e6;
		if (level > burst)
			level = burst;
		last = rl->list[i].us;
		level -= 1.0;
		if (-level > worst)
			worst = -level;
	}
	return worst;
}

/*
 * Returns the certain excess of a workspace over rate x window + burst in
 * the worst window of any length, 0 or less if there is none.  Each caller
 * wrote into X-Attempt when it sent the request ("t<us>.<more>"): it was
 * admitted between then and its run, so a window that holds both ends holds
 * its admission, and no tolerance for the way is needed.  A request that ran
 * more than once counts once.
 */
double
runlog_certain_excess(
    const struct runlog *rl, const char *workspace, double rate, double burst)
{
	struct runlog_entry *own = malloc((rl->count + 1) * sizeof(*own));
	uint64_t *sent = malloc((rl->count + 1) * sizeof(*sent));
	double worst = -burst, over;
	size_t i, k, n = 0, inside;

	if (own == NULL || sent == NULL)
		abort();
	for (i = 0; i < rl->count; i++) {
		if (strcmp(rl->list[i].workspace, workspace) != 0 ||
		    rl->list[i].attempt[0] != 't')
			continue;
		for (k = n; k > 0; k--)
			if (strcmp(own[k - 1].attempt, rl->list[i].attempt) ==
			    0)
				break;
		if (k > 0)
			continue;
		own[n] = rl->list[i];
		sent[n++] = strtoull(rl->list[i].attempt + 1, NULL, 10);
	}
	for (i = 0; i < n; i++) {
		inside = 0;
		for (k = 0; k < n; k++) {
			if (sent[k] < sent[i])
				continue;
			inside++;
			over = (double)inside - burst -
			       rate * (double)(own[k].us - sent[i]) / 1e6;
			if (over > worst)
				worst = over;
		}
	}
	free(own);
	free(sent);
	return worst;
}
