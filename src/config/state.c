#include <err.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "config/config.h"

/* A snapshot is due in the oldest quarter of what the log still keeps. */
#define SNAPSHOT_QUARTER 4

enum state_find {
	FIND_RECORD,
	STATE_FIND_MAX
};

static const struct find_msg msgs[STATE_FIND_MAX] = {
	[FIND_RECORD] = { FIND_ERROR, "not a publication or snapshot" },
};

const char *const config_outcome_names[CONFIG_OUTCOME_MAX] = {
	[CONFIG_TAKEN] = "taken",
	[CONFIG_CONFIRMED] = "confirmed",
	[CONFIG_LOST] = "lost",
	[CONFIG_OLD] = "old",
	[CONFIG_BAD] = "bad",
	[CONFIG_UNSYNCED] = "unsynced",
};

/*
 * Starts a reader that has seen nothing of a stream.
 */
void
config_state_init(struct config_state *s)
{
	memset(s, 0, sizeof(*s));
	s->synced = 1;
}

/*
 * Ends a reader and frees the version in force.
 */
void
config_state_finish(struct config_state *s)
{
	config_free(s->cur);
	memset(s, 0, sizeof(*s));
}

/*
 * Notes where the stream now begins and ends.  Where records were dropped
 * before they were read, publications can't be decided until a snapshot
 * says which version was in force.  A stream that ends below what was read
 * has been replaced by an empty one; it is read anew.
 */
void
config_state_gap(struct config_state *s, uint64_t first, uint64_t next)
{
	if (next < s->next) {
		s->next = first;
		s->held_at = 0;
		s->synced = 0;
	}
	if (first > s->next) {
		s->next = first;
		s->synced = 0;
	}
}

/*
 * Puts a parsed configuration in force; the one before is handed to the
 * caller, who frees it once no reader uses it.
 */
static void
state_take(struct config_state *s, struct config *c, struct config **old)
{
	*old = s->cur;
	s->cur = c;
}

/*
 * Decides a snapshot: it is taken if newer, and it always tells where the
 * stream stands.
 */
static enum config_outcome
apply_snapshot(struct config_state *s, uint64_t offset, const char *text,
    uint64_t version, struct config **old, struct finds *fs)
{
	uint64_t held = s->cur != NULL ? s->cur->version : 0;
	struct config *c;

	if (version < held)
		return CONFIG_OLD;
	s->synced = 1;
	s->held_at = offset;
	if (version == held)
		return CONFIG_CONFIRMED;
	c = config_new(text, strlen(text), version, fs);
	if (c == NULL)
		return CONFIG_BAD;
	state_take(s, c, old);
	return CONFIG_TAKEN;
}

/*
 * Decides a publication: it must be made from the version in force.
 */
static enum config_outcome
apply_publication(struct config_state *s, uint64_t offset, const char *text,
    uint64_t base, uint64_t version, struct config **old, struct finds *fs)
{
	uint64_t held = s->cur != NULL ? s->cur->version : 0;
	struct config *c;

	if (version != base + 1)
		return CONFIG_BAD;
	if (!s->synced)
		return version <= held ? CONFIG_OLD : CONFIG_UNSYNCED;
	if (base != held)
		return CONFIG_LOST;
	c = config_new(text, strlen(text), version, fs);
	if (c == NULL)
		return CONFIG_BAD;
	state_take(s, c, old);
	s->held_at = offset;
	return CONFIG_TAKEN;
}

/*
 * Decides one record of the stream.  Every reader that starts from the same
 * state decides alike.  Where the outcome is CONFIG_TAKEN, *old is the
 * configuration that was in force before (or NULL).
 */
enum config_outcome
config_state_apply(struct config_state *s, uint64_t offset, const char *data,
    size_t len, struct config **old, struct finds *fs)
{
	json_t *o = json_loadb(data, len, JSON_REJECT_DUPLICATES, NULL);
	json_t *conf = json_object_get(o, "config");
	json_int_t base = -1, version = -1;
	const char *id = NULL;
	enum config_outcome out;
	char *text;
	int snapshot = 0;

	*old = NULL;
	s->next = offset + 1;
	if (o == NULL || !json_is_object(conf) ||
	    json_unpack(o, "{s:s,s:I,s?I,s?b}", "id", &id, "version", &version,
		"base", &base, "snapshot", &snapshot) == -1 ||
	    version < 1 || (!snapshot && base < 0) ||
	    strlen(id) != CONFIG_ID_HEX) {
		finds_add(fs, &msgs[FIND_RECORD], "/", "at offset %llu",
		    (unsigned long long)offset);
		json_decref(o);
		return CONFIG_BAD;
	}
	text = json_dumps(conf, JSON_COMPACT);
	if (text == NULL)
		err(1, "config_state_apply");
	if (snapshot)
		out =
		    apply_snapshot(s, offset, text, (uint64_t)version, old, fs);
	else
		out = apply_publication(s, offset, text, (uint64_t)base,
		    (uint64_t)version, old, fs);
	free(text);
	json_decref(o);
	return out;
}

/*
 * Decides a snapshot offered by a peer.  It never lowers the version, and
 * says nothing about where the stream stands.
 */
enum config_outcome
config_state_offer(struct config_state *s, const char *data, size_t len,
    struct config **old, struct finds *fs)
{
	struct config_state t = *s;
	enum config_outcome out;

	out = config_state_apply(&t, 0, data, len, old, fs);
	if (out == CONFIG_TAKEN)
		s->cur = t.cur;
	return out;
}

/*
 * Tells whether the version in force should be appended again, given where
 * the stream begins and ends: it has dropped out or soon will.
 */
int
config_snapshot_due(const struct config_state *s, uint64_t first, uint64_t next)
{
	if (s->cur == NULL)
		return 0;
	if (!s->synced || s->held_at < first)
		return 1;
	if (first == 0)
		return 0;
	return s->held_at - first < (next - first) / SNAPSHOT_QUARTER ||
	       s->held_at == first;
}

/*
 * Builds a record around a configuration's text.  The caller frees it.
 */
static char *
record_build(json_t *o, const char *text)
{
	json_t *conf = json_loads(text, 0, NULL);
	char *out;

	if (conf == NULL) {
		json_decref(o);
		return NULL;
	}
	json_object_set_new(o, "config", conf);
	out = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return out;
}

/*
 * Returns the record that publishes a configuration made from a base
 * version, or NULL where the text is not JSON.  The caller frees it.
 */
char *
config_publication(
    const char *text, uint64_t base, const char *id, const char *author)
{
	return record_build(
	    json_pack("{s:s,s:I,s:I,s:s}", "id", id, "base", (json_int_t)base,
		"version", (json_int_t)base + 1, "author", author),
	    text);
}

/*
 * Returns the record that repeats the version in force.  The caller frees
 * it.
 */
char *
config_snapshot(const struct config *c, const char *id)
{
	return record_build(json_pack("{s:s,s:I,s:b}", "id", id, "version",
				(json_int_t)c->version, "snapshot", 1),
	    c->text);
}
