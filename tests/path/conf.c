#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "fleet.h"

static json_t *workspace_find(json_t *, const char *);

/*
 * Makes an empty configuration.
 */
json_t *
conf_new(void)
{
	return json_pack("{s:[], s:[]}", "routes", "workspaces");
}

/*
 * Adds a route.
 */
void
conf_route(json_t *conf, const struct route_spec *r)
{
	json_array_append_new(json_object_get(conf, "routes"),
	    json_pack("{s:s, s:s, s:s, s:b, s:b, s:s, s:i, s:i}", "name",
		r->name, "prefix", r->prefix, "service", r->service, "open",
		r->open, "idempotent", r->idempotent, "class",
		r->priority == NULL ? "normal" : r->priority, "deadline_ms",
		r->deadline_ms == 0 ? 2000 : r->deadline_ms, "retries",
		r->retries));
}

/*
 * Finds a workspace of a configuration by its name.
 */
static json_t *
workspace_find(json_t *conf, const char *name)
{
	json_t *list = json_object_get(conf, "workspaces"), *w;
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		w = json_array_get(list, i);
		if (strcmp(json_string_value(json_object_get(w, "name")),
			name) == 0)
			return w;
	}
	return NULL;
}

/*
 * Adds a workspace with one key, whose id is "k1".
 */
void
conf_workspace(
    json_t *conf, const char *name, const char *key, double rate, int burst)
{
	json_array_append_new(json_object_get(conf, "workspaces"),
	    json_pack("{s:s, s:f, s:i, s:[]}", "name", name, "rate", rate,
		"burst", burst, "keys"));
	conf_key(conf, name, "k1", key);
}

/*
 * Gives a workspace one more key.
 */
void
conf_key(json_t *conf, const char *name, const char *id, const char *key)
{
	unsigned char hash[crypto_generichash_BYTES];
	char hex[2 * crypto_generichash_BYTES + 1];

	crypto_generichash(hash, sizeof(hash), (const unsigned char *)key,
	    strlen(key), NULL, 0);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	json_array_append_new(
	    json_object_get(workspace_find(conf, name), "keys"),
	    json_pack("{s:s, s:s}", "id", id, "hash", hex));
}

/*
 * Withdraws a key of a workspace.
 */
void
conf_key_remove(json_t *conf, const char *name, const char *id)
{
	json_t *list = json_object_get(workspace_find(conf, name), "keys"), *k;
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		k = json_array_get(list, i);
		if (strcmp(json_string_value(json_object_get(k, "id")), id) ==
		    0) {
			json_array_remove(list, i);
			return;
		}
	}
}
