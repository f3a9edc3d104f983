#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/clock.h"
#include "cyclamenvalectl/ctl.h"
#include "exchange/get.h"

#define VERSION_PATH "/version"
#define ASK_TIMEOUT_MS 1000
#define PAUSE_NS 100000000L

static int64_t node_version(const char *);
static void late_print(const char *, int64_t, uint64_t);

/*
 * Returns the version that is in force on a node, or -1 if it doesn't say.
 */
static int64_t
node_version(const char *node)
{
	char *text = exchange_get(node, VERSION_PATH, ASK_TIMEOUT_MS);
	json_t *o = text != NULL ? json_loads(text, 0, NULL) : NULL;
	json_int_t version = -1;

	if (o != NULL)
		json_unpack(o, "{s:I}", "version", &version);
	json_decref(o);
	free(text);
	return version;
}

/*
 * Says why a node is still waited for.
 */
static void
late_print(const char *node, int64_t have, uint64_t want)
{
	if (have == -1)
		fprintf(stderr, CTL_PROG ": %s: no answer\n", node);
	else if ((uint64_t)have < want)
		fprintf(stderr,
		    CTL_PROG ": %s: version %" PRId64 ", not %" PRIu64 "\n",
		    node, have, want);
}

/*
 * Waits until a version, or a later one, is in force on all nodes named.
 */
enum ctl_exit
ctl_wait(const struct ctl_args *a)
{
	uint64_t end = clock_ms() + a->timeout;
	struct timespec pause = { 0, PAUSE_NS };
	int64_t have;
	int i = 0;

	for (;;) {
		have = node_version(a->operands[i]);
		if (have >= 0 && (uint64_t)have >= a->version)
			i++;
		if (i == a->operand_count)
			return CTL_OK;
		if (have >= 0 && (uint64_t)have >= a->version)
			continue;
		if (clock_ms() >= end)
			break;
		nanosleep(&pause, NULL);
	}
	for (; i < a->operand_count; i++)
		late_print(
		    a->operands[i], node_version(a->operands[i]), a->version);
	return CTL_TIMEOUT;
}
