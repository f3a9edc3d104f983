#include <stdlib.h>
#include <string.h>

#include "publish/publish.h"

#define STREAM "config"
#define CALL_TIMEOUT_MS 3000
#define PAUSE_FIRST_MS 50
#define PAUSE_MAX_MS 1000

/* What is known of the record's way into the log. */
enum written {
	WRITTEN_NO,
	WRITTEN_MAYBE,
	WRITTEN_YES,
	WRITTEN_MAX
};

static enum publish_status verdict(
    const struct publish_reader *, uint64_t, uint64_t *);
static enum publish_status sighted_verdict(
    const struct publish_reader *, uint64_t *);
static void append(struct publish_reader *, const char *, enum written *);
static uint32_t pause_next(uint32_t);

/* What a sighting of the publication means. */
static const enum publish_status sighted_status[CONFIG_OUTCOME_MAX] = {
	[CONFIG_TAKEN] = PUBLISH_WON,
	[CONFIG_CONFIRMED] = PUBLISH_INVALID,
	[CONFIG_LOST] = PUBLISH_LOST,
	[CONFIG_OLD] = PUBLISH_UNKNOWN,
	[CONFIG_BAD] = PUBLISH_INVALID,
	[CONFIG_UNSYNCED] = PUBLISH_UNKNOWN,
};

/* How it ends if the time is over. */
static const enum publish_status late_status[WRITTEN_MAX] = {
	[WRITTEN_NO] = PUBLISH_UNAVAILABLE,
	[WRITTEN_MAYBE] = PUBLISH_UNKNOWN,
	[WRITTEN_YES] = PUBLISH_UNKNOWN,
};

/*
 * Decides from a sighting of the publication.
 */
static enum publish_status
sighted_verdict(const struct publish_reader *r, uint64_t *version)
{
	if (r->outcome == CONFIG_TAKEN)
		*version = r->version;
	return sighted_status[r->outcome];
}

/*
 * Decides from a stream read to its end what became of the publication; sets
 * the version that it made or that it lost to.  A record not seen yet can
 * only lose once its base is no longer in force.  Where old records are gone
 * it may have won before, in an earlier run with the same id.
 */
static enum publish_status
verdict(const struct publish_reader *r, uint64_t base, uint64_t *version)
{
	*version = publish_version(r);
	if (r->sighted)
		return sighted_verdict(r, version);
	if (!r->state.synced)
		return PUBLISH_UNSYNCED;
	if (*version == base)
		return PUBLISH_PENDING;
	return r->dropped && *version > base ? PUBLISH_UNKNOWN : PUBLISH_LOST;
}

/*
 * Appends the record, unless it stands in the log already.  To append it
 * again after a lost answer is safe: the same base can't be taken twice.
 */
static void
append(struct publish_reader *r, const char *record, enum written *w)
{
	const struct logsvc *log = &r->env->log;
	enum logsvc_status st;
	uint64_t offset;

	if (*w == WRITTEN_YES)
		return;
	st = log->append(
	    log->ctx, STREAM, record, strlen(record), CALL_TIMEOUT_MS, &offset);
	if (st == LOGSVC_OK)
		*w = WRITTEN_YES;
	else if (st == LOGSVC_UNKNOWN)
		*w = WRITTEN_MAYBE;
}

/*
 * Returns the pause (ms) that follows one.
 */
static uint32_t
pause_next(uint32_t pause)
{
	if (pause == 0)
		return PAUSE_FIRST_MS;
	return pause * 2 < PAUSE_MAX_MS ? pause * 2 : PAUSE_MAX_MS;
}

/*
 * Publishes a configuration under the reader's id and finds out by reading
 * back what became of it.  Sets the version that it made, or that is in
 * force instead.  Tries again until the timeout; safe to run again with the
 * same id and base.
 */
enum publish_status
publish_run(
    struct publish_reader *r, const struct publication *p, uint64_t *version)
{
	const struct publish_env *env = r->env;
	uint64_t end = env->now(env->ctx) + p->timeout;
	uint32_t pause = 0;
	enum written w = WRITTEN_NO;
	enum publish_status st;
	char *record;

	record = config_publication(p->text, p->base, r->id, p->author);
	if (record == NULL || strlen(record) > LOGSVC_RECORD_MAX) {
		free(record);
		return PUBLISH_INVALID;
	}
	for (;;) {
		if (publish_catch_up(r, CALL_TIMEOUT_MS) == LOGSVC_OK) {
			st = verdict(r, p->base, version);
			if (st != PUBLISH_PENDING)
				break;
			append(r, record, &w);
		}
		st = late_status[w];
		if (env->now(env->ctx) >= end)
			break;
		env->sleep(env->ctx, pause);
		pause = pause_next(pause);
	}
	free(record);
	return st;
}
