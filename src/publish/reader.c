#include <jansson.h>
#include <sodium.h>
#include <string.h>

#include "publish/publish.h"

#define STREAM "config"
#define READ_MAX 100 /* records a read */

static int is_watched(const struct publish_reader *, const char *, size_t);
static void record_apply(struct publish_reader *, const struct logsvc_record *);

/*
 * Writes a random publication id into PUBLISH_ID_BYTES bytes.
 */
void
publish_id(char *id)
{
	unsigned char bin[CONFIG_ID_HEX / 2];

	randombytes_buf(bin, sizeof(bin));
	sodium_bin2hex(id, PUBLISH_ID_BYTES, bin, sizeof(bin));
}

/*
 * Prepares a reader at the start of the stream that watches for the
 * publication with an id.
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
 * Frees what a reader holds.
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
publish_version(const struct publish_reader *r)
{
	return r->state.cur != NULL ? r->state.cur->version : 0;
}

/*
 * Tells whether a record is the publication that is watched for.
 */
static int
is_watched(const struct publish_reader *r, const char *data, size_t len)
{
	json_t *o = json_loadb(data, len, 0, NULL);
	const char *id = json_string_value(json_object_get(o, "id"));
	int yes = id != NULL && strcmp(id, r->id) == 0;

	json_decref(o);
	return yes;
}

/*
 * Decides one record.  Of several copies of the publication that is watched
 * for, at most one can be taken, and that one counts.
 */
static void
record_apply(struct publish_reader *r, const struct logsvc_record *rec)
{
	enum config_outcome out;
	struct config *old;
	struct finds fs;

	finds_init(&fs);
	out = config_state_apply(
	    &r->state, rec->offset, rec->data, rec->len, &old, &fs);
	config_free(old);
	finds_finish(&fs);
	if (!is_watched(r, rec->data, rec->len))
		return;
	if (r->sighted && r->outcome == CONFIG_TAKEN)
		return;
	r->sighted = 1;
	r->outcome = out;
	r->version = publish_version(r);
}

/*
 * Reads the stream to its end, within the timeout (ms).
 */
enum logsvc_status
publish_catch_up(struct publish_reader *r, uint32_t timeout)
{
	const struct publish_env *env = r->env;
	uint64_t now = env->now(env->ctx), end = now + timeout;
	struct logsvc_batch b;
	enum logsvc_status st;
	size_t i;
	int done;

	for (done = 0; !done; now = env->now(env->ctx)) {
		if (now >= end)
			return LOGSVC_UNAVAILABLE;
		st = env->log.read(env->log.ctx, STREAM, r->state.next,
		    READ_MAX, 0, (uint32_t)(end - now), &b);
		if (st != LOGSVC_OK)
			return st;
		config_state_gap(&r->state, b.first, b.next);
		r->dropped = r->dropped || b.first > 0;
		for (i = 0; i < b.count; i++)
			record_apply(r, &b.list[i]);
		done = b.count == 0 || r->state.next >= b.next;
		logsvc_batch_finish(&b);
	}
	return LOGSVC_OK;
}
