#include <inttypes.h>
#include <stdio.h>
#include <time.h>

#include "base/clock.h"
#include "cyclamenvalectl/ctl.h"

#define NS_PER_MS 1000000
#define MS_PER_S 1000

static uint64_t log_now(void *);
static void log_sleep(void *, uint32_t);

/*
 * How each outcome of a publication is told and ends the program.  The hint
 * says what to do.
 */
static const struct {
	enum ctl_exit exit;
	const char *text;
	const char *hint;
} outcomes[PUBLISH_STATUS_MAX] = {
	[PUBLISH_ACCEPTED] = { CTL_OK, "won: version", NULL },
	[PUBLISH_CONFLICT] = { CTL_LOST, "lost the race to version",
	    "make the change again from the version in force, see show" },
	[PUBLISH_INVALID] = { CTL_FINDINGS, "rejected",
	    "too large, or the nodes reject it; it is not in force" },
	[PUBLISH_UNAVAILABLE] = { CTL_LOG, "log unavailable",
	    "nothing was published; run again when the log answers" },
	[PUBLISH_UNSYNCED] = { CTL_LOG, "log incomplete",
	    "nothing was published; run again when a node has appended the "
	    "version in force" },
	[PUBLISH_UNKNOWN] = { CTL_LOG, "unknown",
	    "it may be in force; run again with the same --base and --id, or "
	    "see show" },
	[PUBLISH_PENDING] = { CTL_LOG, "unknown", NULL },
};

/*
 * Returns the time in milliseconds.
 */
static uint64_t
log_now(void *ctx)
{
	(void)ctx;
	return clock_ms();
}

/*
 * Sleeps for some milliseconds.
 */
static void
log_sleep(void *ctx, uint32_t ms)
{
	struct timespec ts = { ms / MS_PER_S,
		(long)(ms % MS_PER_S) * NS_PER_MS };

	(void)ctx;
	nanosleep(&ts, NULL);
}

/*
 * Opens the log service that the options name.
 */
void
ctl_log_open(struct ctl_log *l, const struct ctl_args *a)
{
	l->http = logsvc_http_new(a->log_url);
	logsvc_http_use(l->http, &l->env.log);
	l->env.now_ms = log_now;
	l->env.sleep_ms = log_sleep;
	l->env.ctx = NULL;
}

/*
 * Closes the log service.
 */
void
ctl_log_close(struct ctl_log *l)
{
	logsvc_http_free(l->http);
}

/*
 * Reads the stream of publications to its end; prints why it can't.
 */
enum ctl_exit
ctl_log_read(struct publish_reader *r, const struct ctl_args *a)
{
	if (publish_catch_up(r, (uint32_t)a->timeout) != LOGSVC_OK) {
		fprintf(stderr,
		    CTL_PROG ": can't read the log at %s; nothing was "
			     "changed; try again when it answers\n",
		    a->log_url);
		return CTL_LOG;
	}
	if (r->state.synced)
		return CTL_OK;
	fputs(CTL_PROG ": the log no longer holds the version in force; try "
		       "again when a node has appended it\n",
	    stderr);
	return CTL_LOG;
}

/*
 * Prints how a publication ended and what to do, and returns the exit code.
 */
enum ctl_exit
ctl_outcome(enum publish_status st, uint64_t version)
{
	if (st == PUBLISH_ACCEPTED || st == PUBLISH_CONFLICT)
		printf("%s %" PRIu64 "\n", outcomes[st].text, version);
	else
		printf("%s\n", outcomes[st].text);
	if (outcomes[st].hint != NULL)
		fprintf(stderr, CTL_PROG ": %s\n", outcomes[st].hint);
	return outcomes[st].exit;
}
