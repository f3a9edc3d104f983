#include <jansson.h>
#include <sodium.h>
#include <string.h>

#include "publish/publish.h"

#define STREAM "config"
#define READ_MAX_RECORDS 100 /* in one read */

static int is_own_publication(
    const struct publish_reader *, const char *, size_t);
static void apply_record(struct publish_reader *, const struct logsvc_record *);

/*
 * Writes a random publication id into PUBLISH_ID_BYTES bytes.
 */
void
publish_new_id(char *id)
{
	unsigned char bin[CONFIG_ID_HEX / 2];

	randombytes_buf(bin, sizeof(bin));
	sodium_bin2hex(id, PUBLISH_ID_BYTES, bin, sizeof(bin));
}

/*
 * Initializes a reader at the start of the stream.  It looks for the
 * publication with id.
 */
void
publish_reader_init(
    struct publish_reader *r, const struct publish_env *env, const char *id)
{
	memset(r, 0, sizeof(*r));
	r->env = env;
	memcpy(r->id, id, sizeof(r->id));
	config_state_init(&r->state);
}

/*
 * Releases the resources of a reader.
 */
void
publish_reader_finish(struct publish_reader *r)
{
	config_state_finish(&r->state);
}

/*
 * Returns the version in force, or 0 before the first publication.
 */
uint64_t
publish_current_version(const struct publish_reader *r)
{
	return r->state.cur != NULL ? r->state.cur->version : 0;
}

/*
 * Returns 1 if a record is the publication with the id of the reader.
 */
static int
is_own_publication(const struct publish_reader *r, const char *data, size_t len)
{
	json_t *o = json_loadb(data, len, 0, NULL);
	const char *id = json_string_value(json_object_get(o, "id"));
	int matches = id != NULL && strcmp(id, r->id) == 0;

	json_decref(o);
	return matches;
}

/*
 * Applies a record to the state.  If the stream has several copies of the
 * publication with the id of the reader, at most one is accepted, and its
 * outcome is recorded.
 */
static void
apply_record(struct publish_reader *r, const struct logsvc_record *record)
{
	enum config_outcome outcome;
	struct config *old;
	struct finds fs;

	finds_init(&fs);
	outcome = config_state_apply(
	    &r->state, record->offset, record->data, record->len, &old, &fs);
	config_free(old);
	finds_finish(&fs);
	if (!is_own_publication(r, record->data, record->len))
		return;
	if (r->found && r->outcome == CONFIG_TAKEN)
		return;
	r->found = 1;
	r->outcome = outcome;
	r->published_version = publish_current_version(r);
}

/*
 * Reads the stream to its end within the timeout (ms).
 */
enum logsvc_status
publish_catch_up(struct publish_reader *r, uint32_t timeout_ms)
{
	const struct publish_env *env = r->env;
	uint64_t now_ms = env->now_ms(env->ctx), end_ms = now_ms + timeout_ms;
	struct logsvc_batch batch;
	enum logsvc_status st;
	size_t i;
	int done;

	for (done = 0; !done; now_ms = env->now_ms(env->ctx)) {
		if (now_ms >= end_ms)
			return LOGSVC_UNAVAILABLE;
		st = env->log.read(env->log.ctx, STREAM, r->state.next,
		    READ_MAX_RECORDS, 0, (uint32_t)(end_ms - now_ms), &batch);
		if (st != LOGSVC_OK)
			return st;
		config_state_gap(&r->state, batch.first, batch.next);
		r->log_trimmed = r->log_trimmed || batch.first > 0;
		for (i = 0; i < batch.count; i++)
			apply_record(r, &batch.list[i]);
		done = batch.count == 0 || r->state.next >= batch.next;
		logsvc_batch_finish(&batch);
	}
	return LOGSVC_OK;
}
