#include <stdlib.h>
#include <string.h>

#include "publish/publish.h"

#define STREAM "config"
#define CALL_TIMEOUT_MS 3000
#define RETRY_FIRST_MS 50
#define RETRY_MAX_MS 1000

/* What is known of the record's way into the log. */
enum append_state {
	APPEND_NOT_WRITTEN,
	APPEND_MAYBE_WRITTEN,
	APPEND_WRITTEN,
	APPEND_STATE_MAX
};

static enum publish_status decide_status(
    const struct publish_reader *, uint64_t, uint64_t *);
static enum publish_status found_status(
    const struct publish_reader *, uint64_t *);
static void append_record(
    struct publish_reader *, const char *, enum append_state *);
static uint32_t next_retry_delay(uint32_t);

/* What a sighting of the publication means. */
static const enum publish_status status_of_outcome[CONFIG_OUTCOME_MAX] = {
	[CONFIG_TAKEN] = PUBLISH_WON,
	[CONFIG_CONFIRMED] = PUBLISH_INVALID,
	[CONFIG_LOST] = PUBLISH_LOST,
	[CONFIG_OLD] = PUBLISH_UNKNOWN,
	[CONFIG_BAD] = PUBLISH_INVALID,
	[CONFIG_UNSYNCED] = PUBLISH_UNKNOWN,
};

/* How it ends if the time is over. */
static const enum publish_status status_at_timeout[APPEND_STATE_MAX] = {
	[APPEND_NOT_WRITTEN] = PUBLISH_UNAVAILABLE,
	[APPEND_MAYBE_WRITTEN] = PUBLISH_UNKNOWN,
	[APPEND_WRITTEN] = PUBLISH_UNKNOWN,
};

/*
 * Decides from a sighting of the publication.
 */
static enum publish_status
found_status(const struct publish_reader *r, uint64_t *version)
{
	if (r->outcome == CONFIG_TAKEN)
		*version = r->published_version;
	return status_of_outcome[r->outcome];
}

/*
 * Decides from a stream read to its end what became of the publication; sets
 * the version that it made or that it lost to.  A record not seen yet can
 * only lose once its base is no longer in force.  Where old records are gone
 * it may have won before, in an earlier run with the same id.
 */
static enum publish_status
decide_status(const struct publish_reader *r, uint64_t base, uint64_t *version)
{
	*version = publish_version(r);
	if (r->found)
		return found_status(r, version);
	if (!r->state.synced)
		return PUBLISH_UNSYNCED;
	if (*version == base)
		return PUBLISH_PENDING;
	return r->log_trimmed && *version > base ? PUBLISH_UNKNOWN
						 : PUBLISH_LOST;
}

/*
 * Appends the record, unless it stands in the log already.  To append it
 * again after a lost answer is safe: the same base can't be taken twice.
 */
static void
append_record(
    struct publish_reader *r, const char *record, enum append_state *state)
{
	const struct logsvc *log = &r->env->log;
	enum logsvc_status st;
	uint64_t offset;

	if (*state == APPEND_WRITTEN)
		return;
	st = log->append(
	    log->ctx, STREAM, record, strlen(record), CALL_TIMEOUT_MS, &offset);
	if (st == LOGSVC_OK)
		*state = APPEND_WRITTEN;
	else if (st == LOGSVC_UNKNOWN)
		*state = APPEND_MAYBE_WRITTEN;
}

/*
 * Returns the pause (ms) that follows one.
 */
static uint32_t
next_retry_delay(uint32_t delay_ms)
{
	if (delay_ms == 0)
		return RETRY_FIRST_MS;
	return delay_ms * 2 < RETRY_MAX_MS ? delay_ms * 2 : RETRY_MAX_MS;
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
	uint64_t end_ms = env->now(env->ctx) + p->timeout;
	uint32_t delay_ms = 0;
	enum append_state state = APPEND_NOT_WRITTEN;
	enum publish_status st;
	char *record;

	record = config_publication(p->text, p->base, r->id, p->author);
	if (record == NULL || strlen(record) > LOGSVC_RECORD_MAX) {
		free(record);
		return PUBLISH_INVALID;
	}
	for (;;) {
		if (publish_catch_up(r, CALL_TIMEOUT_MS) == LOGSVC_OK) {
			st = decide_status(r, p->base, version);
			if (st != PUBLISH_PENDING)
				break;
			append_record(r, record, &state);
		}
		st = status_at_timeout[state];
		if (env->now(env->ctx) >= end_ms)
			break;
		env->sleep(env->ctx, delay_ms);
		delay_ms = next_retry_delay(delay_ms);
	}
	free(record);
	return st;
}
