#include <err.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/config.h"
#include "config/internal.h"

static const struct field top_fields[] = {
	{ "routes", 1, read_routes },
	{ "workspaces", 1, read_workspaces },
	{ NULL, 0, NULL },
};

/*
 * Orders routes so that the longest prefix is tried first, and among equal
 * prefixes those limited to methods.
 */
static int
route_cmp(const void *a, const void *b)
{
	const struct config_route *x = a, *y = b;

	if (x->prefix_len != y->prefix_len)
		return x->prefix_len < y->prefix_len ? 1 : -1;
	return (x->methods == 0) - (y->methods == 0);
}

/*
 * Sorts routes and keys for look-up and reports keys that two workspaces or
 * one workspace twice lay claim to.
 */
static void
config_index(struct config *c, struct finds *fs)
{
	size_t i;

	if (c->route_count > 0)
		qsort(c->routes, c->route_count, sizeof(*c->routes), route_cmp);
	if (c->key_count > 0)
		qsort(c->keys, c->key_count, sizeof(*c->keys), config_key_cmp);
	for (i = 1; i < c->key_count; i++)
		if (config_key_cmp(&c->keys[i - 1], &c->keys[i]) == 0)
			finds_add(fs, &config_msgs[FIND_TWICE], "/workspaces",
			    "the hash of key %s of %s and key %s of %s",
			    c->keys[i - 1].id,
			    c->workspaces[c->keys[i - 1].ws].name,
			    c->keys[i].id, c->workspaces[c->keys[i].ws].name);
}

/*
 * Reads a configuration from JSON text.  All findings are added; returns 0,
 * or -1 where any is an error, and then the configuration is empty.
 */
int
config_init(struct config *c, const char *text, size_t len, struct finds *fs)
{
	struct parse p = { c, fs };
	size_t before = fs->errors;
	char place[64];
	json_error_t e;
	json_t *o;

	memset(c, 0, sizeof(*c));
	o = json_loadb(text, len, JSON_REJECT_DUPLICATES, &e);
	if (o == NULL) {
		snprintf(place, sizeof(place), "%d:%d", e.line, e.column);
		finds_add(fs, &config_msgs[FIND_JSON], place, "%s", e.text);
		return -1;
	}
	read_fields(&p, "", o, top_fields, c);
	if (fs->errors == before)
		config_index(c, fs);
	c->text = json_dumps(o, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(o);
	if (fs->errors == before && c->text != NULL)
		return 0;
	config_finish(c);
	return -1;
}

/*
 * Frees what a configuration holds.
 */
void
config_finish(struct config *c)
{
	free(c->routes);
	free(c->workspaces);
	free(c->keys);
	free(c->health);
	free(c->text);
	memset(c, 0, sizeof(*c));
}

/*
 * Reads a configuration into new memory, for publishing by pointer.
 * Returns NULL where there are errors.
 */
struct config *
config_new(const char *text, size_t len, uint64_t version, struct finds *fs)
{
	struct config *c = malloc(sizeof(*c));

	if (c == NULL)
		err(1, "config_new");
	if (config_init(c, text, len, fs) == -1) {
		free(c);
		return NULL;
	}
	c->version = version;
	return c;
}

/*
 * Frees a configuration made by config_new().
 */
void
config_free(struct config *c)
{
	if (c == NULL)
		return;
	config_finish(c);
	free(c);
}
