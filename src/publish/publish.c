#include <stdlib.h>
#include <string.h>

#include "publish/publish.h"

#define STREAM "config"
#define CALL_TIMEOUT_MS 3000
#define RETRY_FIRST_MS 50
#define RETRY_MAX_MS 1000

/* Whether the record is known to be in the log. */
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

/* Status of a publication that was read back, by its outcome. */
static const enum publish_status status_of_outcome[CONFIG_OUTCOME_MAX] = {
	[CONFIG_TAKEN] = PUBLISH_ACCEPTED,
	[CONFIG_CONFIRMED] = PUBLISH_INVALID,
	[CONFIG_LOST] = PUBLISH_CONFLICT,
	[CONFIG_OLD] = PUBLISH_UNKNOWN,
	[CONFIG_BAD] = PUBLISH_INVALID,
	[CONFIG_UNSYNCED] = PUBLISH_UNKNOWN,
};

/* Status of a publication that was not read back in time. */
static const enum publish_status status_at_timeout[APPEND_STATE_MAX] = {
	[APPEND_NOT_WRITTEN] = PUBLISH_UNAVAILABLE,
	[APPEND_MAYBE_WRITTEN] = PUBLISH_UNKNOWN,
	[APPEND_WRITTEN] = PUBLISH_UNKNOWN,
};

/*
 * Returns the status of a publication that was read back.  Sets the version if
 * it was accepted.
 */
static enum publish_status
found_status(const struct publish_reader *r, uint64_t *version)
{
	if (r->outcome == CONFIG_TAKEN)
		*version = r->published_version;
	return status_of_outcome[r->outcome];
}

/*
 * Returns the status of the publication after the stream was read to its end.
 * Sets the version that the publication created, or else the version in force.
 * Once its base is no longer in force, a record that was not read back can
 * only lose.  If old records were deleted, it may have been accepted before,
 * in an earlier run with the same id.
 */
static enum publish_status
decide_status(const struct publish_reader *r, uint64_t base, uint64_t *version)
{
	*version = publish_current_version(r);
	if (r->found)
		return found_status(r, version);
	if (!r->state.synced)
		return PUBLISH_UNSYNCED;
	if (*version == base)
		return PUBLISH_PENDING;
	return r->log_trimmed && *version > base ? PUBLISH_UNKNOWN
						 : PUBLISH_CONFLICT;
}

/*
 * Appends the record unless it is known to be in the log.  A repeated append
 * after a lost reply is safe: no two publications with the same base are
 * accepted.
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
 * Returns the delay (ms) after a delay: double, up to the maximum.
 */
static uint32_t
next_retry_delay(uint32_t delay_ms)
{
	if (delay_ms == 0)
		return RETRY_FIRST_MS;
	return delay_ms * 2 < RETRY_MAX_MS ? delay_ms * 2 : RETRY_MAX_MS;
}

/*
 * Publishes a configuration under the id of the reader and reads the stream
 * back to learn the outcome.  Sets the version that was created, or else the
 * version in force.  Retries until the timeout.  A repeated run with the same
 * id and base is safe.
 */
enum publish_status
publish_config(
    struct publish_reader *r, const struct publication *p, uint64_t *version)
{
	const struct publish_env *env = r->env;
	uint64_t end_ms = env->now_ms(env->ctx) + p->timeout_ms;
	uint32_t delay_ms = 0;
	enum append_state state = APPEND_NOT_WRITTEN;
	enum publish_status st;
	char *record;

	record = config_publication(p->text, p->base_version, r->id, p->author);
	if (record == NULL || strlen(record) > LOGSVC_RECORD_MAX) {
		free(record);
		return PUBLISH_INVALID;
	}
	for (;;) {
		if (publish_catch_up(r, CALL_TIMEOUT_MS) == LOGSVC_OK) {
			st = decide_status(r, p->base_version, version);
			if (st != PUBLISH_PENDING)
				break;
			append_record(r, record, &state);
		}
		st = status_at_timeout[state];
		if (env->now_ms(env->ctx) >= end_ms)
			break;
		env->sleep_ms(env->ctx, delay_ms);
		delay_ms = next_retry_delay(delay_ms);
	}
	free(record);
	return st;
}
