#include <jansson.h>
#include <sodium.h>
#include <string.h>

#include "config/internal.h"

static void ws_name(struct parse *, const char *, json_t *, void *);
static void ws_rate(struct parse *, const char *, json_t *, void *);
static void ws_burst(struct parse *, const char *, json_t *, void *);
static void ws_keys(struct parse *, const char *, json_t *, void *);
static void key_id(struct parse *, const char *, json_t *, void *);
static void key_hash(struct parse *, const char *, json_t *, void *);

static const struct field ws_fields[] = {
	{ "name", 1, ws_name },
	{ "rate", 1, ws_rate },
	{ "burst", 1, ws_burst },
	{ "keys", 1, ws_keys },
	{ NULL, 0, NULL },
};

static const struct field key_fields[] = {
	{ "id", 1, key_id },
	{ "hash", 1, key_hash },
	{ NULL, 0, NULL },
};

/*
 * Field readers of a workspace, one each.
 */
static void
ws_name(struct parse *p, const char *place, json_t *v, void *dst)
{
	struct config_ws *w = dst;

	read_name(p, place, v, w->name);
	w->hash = config_ws_hash(w->name);
}

/*
 * Reads a rate in requests a second.
 */
static void
ws_rate(struct parse *p, const char *place, json_t *v, void *dst)
{
	double n = json_number_value(v);

	if (!json_is_number(v)) {
		finds_add(
		    p->finds, &config_msgs[FIND_TYPE], place, "not a number");
		return;
	}
	if (!(n >= 0.001 && n <= 1e6)) {
		finds_add(p->finds, &config_msgs[FIND_RANGE], place,
		    "%g is not within 0.001 to 1000000", n);
		return;
	}
	((struct config_ws *)dst)->rate = n;
}

/*
 * Reads a burst in requests.
 */
static void
ws_burst(struct parse *p, const char *place, json_t *v, void *dst)
{
	read_int(p, place, v, 1, 1000000, &((struct config_ws *)dst)->burst);
}

/*
 * Reads a key's public id.
 */
static void
key_id(struct parse *p, const char *place, json_t *v, void *dst)
{
	read_name(p, place, v, ((struct config_key *)dst)->id);
}

/*
 * Reads a key's hash: 64 hexadecimal digits.
 */
static void
key_hash(struct parse *p, const char *place, json_t *v, void *dst)
{
	struct config_key *k = dst;
	const char *s = json_string_value(v);
	size_t len;

	if (s == NULL || strlen(s) != 2 * CONFIG_HASH_BYTES ||
	    sodium_hex2bin(k->hash, sizeof(k->hash), s, strlen(s), NULL, &len,
		NULL) != 0 ||
	    len != CONFIG_HASH_BYTES)
		finds_add(p->finds, &config_msgs[FIND_VALUE], place,
		    "a hash is %d hexadecimal digits", 2 * CONFIG_HASH_BYTES);
}

/*
 * Reads one key of the workspace that is being read.
 */
static void
key_read(struct parse *p, const char *place, json_t *o, void *dst)
{
	struct config *c = p->config;
	struct config_key *k = dst, *e;

	k->ws = (uint32_t)c->ws_count - 1;
	read_fields(p, place, o, key_fields, k);
	for (e = c->keys; k->id[0] != '\0' && e < k; e++)
		if (e->ws == k->ws && strcmp(e->id, k->id) == 0)
			finds_add(p->finds, &config_msgs[FIND_TWICE], place,
			    "key id %s", k->id);
}

/*
 * Reads the keys of a workspace.
 */
static void
ws_keys(struct parse *p, const char *place, json_t *v, void *dst)
{
	struct config *c = p->config;
	const struct list l = { (void **)&c->keys, &c->key_count,
		sizeof(*c->keys), key_read };

	(void)dst;
	if (json_is_array(v) && json_array_size(v) == 0)
		finds_add(
		    p->finds, &config_msgs[FIND_NO_KEYS], place, "%s", "");
	read_list(p, place, v, &l);
}

/*
 * Reads one workspace into its entry of the table.
 */
static void
ws_read(struct parse *p, const char *place, json_t *o, void *dst)
{
	struct config_ws *w = dst, *e;

	read_fields(p, place, o, ws_fields, w);
	for (e = p->config->workspaces; w->name[0] != '\0' && e < w; e++)
		if (strcmp(e->name, w->name) == 0)
			finds_add(p->finds, &config_msgs[FIND_TWICE], place,
			    "workspace name %s", w->name);
}

/*
 * Reads all workspaces.
 */
void
read_workspaces(struct parse *p, const char *place, json_t *v, void *dst)
{
	struct config *c = dst;
	const struct list l = { (void **)&c->workspaces, &c->ws_count,
		sizeof(*c->workspaces), ws_read };

	read_list(p, place, v, &l);
}
