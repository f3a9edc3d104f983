#include <err.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "config/config.h"
#include "config/internal.h"

enum config_find {
	FIND_JSON,
	FIND_TYPE,
	FIND_MISSING,
	FIND_UNKNOWN,
	FIND_RANGE,
	FIND_VALUE,
	FIND_TWICE,
	FIND_EMPTY,
	FIND_NO_KEYS,
	FIND_RETRY_RISK,
	CONFIG_FIND_MAX
};

struct parse {
	struct config *config;
	struct finds *finds;
};

typedef void (*field_fn)(struct parse *, const char *, json_t *, void *);

/* One field of an object: its name, whether it must be there, its reader. */
struct field {
	const char *name;
	int required;
	field_fn read;
};

static void read_fields(
    struct parse *, const char *, json_t *, const struct field *, void *);
static void route_name(struct parse *, const char *, json_t *, void *);
static void route_prefix(struct parse *, const char *, json_t *, void *);
static void route_service(struct parse *, const char *, json_t *, void *);
static void route_open(struct parse *, const char *, json_t *, void *);
static void route_idempotent(struct parse *, const char *, json_t *, void *);
static void route_class(struct parse *, const char *, json_t *, void *);
static void route_deadline(struct parse *, const char *, json_t *, void *);
static void route_retries(struct parse *, const char *, json_t *, void *);
static void route_methods(struct parse *, const char *, json_t *, void *);
static void ws_name(struct parse *, const char *, json_t *, void *);
static void ws_rate(struct parse *, const char *, json_t *, void *);
static void ws_burst(struct parse *, const char *, json_t *, void *);
static void ws_keys(struct parse *, const char *, json_t *, void *);
static void key_id(struct parse *, const char *, json_t *, void *);
static void key_hash(struct parse *, const char *, json_t *, void *);
static void top_routes(struct parse *, const char *, json_t *, void *);
static void top_workspaces(struct parse *, const char *, json_t *, void *);

static const struct find_msg msgs[CONFIG_FIND_MAX] = {
	[FIND_JSON] = { FIND_ERROR, "not valid JSON" },
	[FIND_TYPE] = { FIND_ERROR, "wrong type" },
	[FIND_MISSING] = { FIND_ERROR, "missing field" },
	[FIND_UNKNOWN] = { FIND_ERROR, "unknown field" },
	[FIND_RANGE] = { FIND_ERROR, "out of range" },
	[FIND_VALUE] = { FIND_ERROR, "invalid value" },
	[FIND_TWICE] = { FIND_ERROR, "used twice" },
	[FIND_EMPTY] = { FIND_WARNING, "nothing is routed" },
	[FIND_NO_KEYS] = { FIND_WARNING, "workspace has no key" },
	[FIND_RETRY_RISK] = { FIND_WARNING,
	    "only refusals that were not run are retried on this route" },
};

const char *const config_class_names[CLASS_MAX] = {
	[CLASS_CRITICAL] = "critical",
	[CLASS_HIGH] = "high",
	[CLASS_NORMAL] = "normal",
	[CLASS_LOW] = "low",
};

static const struct field route_fields[] = {
	{ "name", 1, route_name },
	{ "prefix", 1, route_prefix },
	{ "service", 1, route_service },
	{ "open", 0, route_open },
	{ "idempotent", 1, route_idempotent },
	{ "class", 1, route_class },
	{ "deadline_ms", 1, route_deadline },
	{ "retries", 0, route_retries },
	{ "methods", 0, route_methods },
	{ NULL, 0, NULL },
};

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

static const struct field top_fields[] = {
	{ "routes", 1, top_routes },
	{ "workspaces", 1, top_workspaces },
	{ NULL, 0, NULL },
};

/*
 * Reads an object by a table of its fields, reporting unknown and missing
 * ones.
 */
static void
read_fields(struct parse *p, const char *place, json_t *o,
    const struct field *fields, void *dst)
{
	const struct field *f;
	char sub[512];
	const char *name;
	json_t *v;

	if (!json_is_object(o)) {
		finds_add(p->finds, &msgs[FIND_TYPE], place, "not an object");
		return;
	}
	for (f = fields; f->name != NULL; f++) {
		snprintf(sub, sizeof(sub), "%s/%s", place, f->name);
		v = json_object_get(o, f->name);
		if (v != NULL)
			f->read(p, sub, v, dst);
		else if (f->required)
			finds_add(p->finds, &msgs[FIND_MISSING], sub, "%s", "");
	}
	json_object_foreach(o, name, v)
	{
		for (f = fields; f->name != NULL; f++)
			if (strcmp(f->name, name) == 0)
				break;
		if (f->name != NULL)
			continue;
		snprintf(sub, sizeof(sub), "%s/%.200s", place, name);
		finds_add(p->finds, &msgs[FIND_UNKNOWN], sub, "%s", "");
	}
}

/*
 * Reads a name: 1 to 63 letters, digits, dots, dashes or underscores.
 */
static void
read_name(struct parse *p, const char *place, json_t *v, char *dst)
{
	static const char ok[] = "abcdefghijklmnopqrstuvwxyz"
				 "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
	const char *s = json_string_value(v);

	if (s == NULL) {
		finds_add(p->finds, &msgs[FIND_TYPE], place, "not a string");
		return;
	}
	if (s[0] == '\0' || strlen(s) > CONFIG_NAME_MAX ||
	    json_string_length(v) != strspn(s, ok)) {
		finds_add(p->finds, &msgs[FIND_VALUE], place,
		    "a name is 1 to %d letters, digits, '.', '-' or '_'",
		    CONFIG_NAME_MAX);
		return;
	}
	snprintf(dst, CONFIG_NAME_MAX + 1, "%s", s);
}

/*
 * Reads a whole number within bounds.
 */
static void
read_int(struct parse *p, const char *place, json_t *v, uint32_t min,
    uint32_t max, uint32_t *dst)
{
	json_int_t n = json_integer_value(v);

	if (!json_is_integer(v)) {
		finds_add(
		    p->finds, &msgs[FIND_TYPE], place, "not a whole number");
		return;
	}
	if (n < (json_int_t)min || n > (json_int_t)max) {
		finds_add(p->finds, &msgs[FIND_RANGE], place,
		    "%lld is not within %u to %u", (long long)n, min, max);
		return;
	}
	*dst = (uint32_t)n;
}

/*
 * Reads true or false.
 */
static void
read_bool(struct parse *p, const char *place, json_t *v, int *dst)
{
	if (!json_is_boolean(v)) {
		finds_add(
		    p->finds, &msgs[FIND_TYPE], place, "not true or false");
		return;
	}
	*dst = json_is_true(v);
}

/*
 * Field readers of a route, one each.
 */
static void
route_name(struct parse *p, const char *place, json_t *v, void *dst)
{
	read_name(p, place, v, ((struct config_route *)dst)->name);
}

/*
 * Reads a path prefix: absolute, without an empty or dotted segment, query
 * or space.
 */
static void
route_prefix(struct parse *p, const char *place, json_t *v, void *dst)
{
	struct config_route *r = dst;
	const char *s = json_string_value(v);
	size_t len = json_string_length(v), i;

	if (s == NULL) {
		finds_add(p->finds, &msgs[FIND_TYPE], place, "not a string");
		return;
	}
	for (i = 0; i < len; i++)
		if (s[i] <= ' ' || s[i] > '~' || s[i] == '?' || s[i] == '#')
			break;
	if (s[0] != '/' || len > CONFIG_PREFIX_MAX || i < len ||
	    strstr(s, "//") != NULL || strstr(s, "/.") != NULL) {
		finds_add(p->finds, &msgs[FIND_VALUE], place,
		    "a prefix is an absolute path of up to %d characters",
		    CONFIG_PREFIX_MAX);
		return;
	}
	if (strncmp(s, "/cyclamen", 9) == 0 && (s[9] == '\0' || s[9] == '/')) {
		finds_add(p->finds, &msgs[FIND_VALUE], place,
		    "/cyclamen is reserved");
		return;
	}
	while (len > 1 && s[len - 1] == '/')
		len--;
	memcpy(r->prefix, s, len);
	r->prefix[len] = '\0';
	r->prefix_len = len;
}

/*
 * Reads the name of the service that a route leads to.
 */
static void
route_service(struct parse *p, const char *place, json_t *v, void *dst)
{
	read_name(p, place, v, ((struct config_route *)dst)->service);
}

/*
 * Reads whether a route needs no key.
 */
static void
route_open(struct parse *p, const char *place, json_t *v, void *dst)
{
	read_bool(p, place, v, &((struct config_route *)dst)->open);
}

/*
 * Reads whether a route's requests may run more than once.
 */
static void
route_idempotent(struct parse *p, const char *place, json_t *v, void *dst)
{
	read_bool(p, place, v, &((struct config_route *)dst)->idempotent);
}

/*
 * Reads the importance of a route's requests.
 */
static void
route_class(struct parse *p, const char *place, json_t *v, void *dst)
{
	struct config_route *r = dst;
	const char *s = json_string_value(v);
	int i;

	for (i = 0; s != NULL && i < CLASS_MAX; i++) {
		if (strcmp(s, config_class_names[i]) != 0)
			continue;
		r->importance = (enum importance)i;
		return;
	}
	finds_add(p->finds, &msgs[FIND_VALUE], place,
	    "a class is critical, high, normal or low");
}

/*
 * Reads a route's deadline in milliseconds.
 */
static void
route_deadline(struct parse *p, const char *place, json_t *v, void *dst)
{
	read_int(p, place, v, 1, CONFIG_DEADLINE_MAX,
	    &((struct config_route *)dst)->deadline_ms);
}

/*
 * Reads the bound on retries over a whole chain.
 */
static void
route_retries(struct parse *p, const char *place, json_t *v, void *dst)
{
	read_int(p, place, v, 0, CONFIG_RETRIES_MAX,
	    &((struct config_route *)dst)->retries);
}

/*
 * Reads the methods that a route is limited to.
 */
static void
route_methods(struct parse *p, const char *place, json_t *v, void *dst)
{
	struct config_route *r = dst;
	char sub[600];
	json_t *m;
	size_t i;
	int n;

	if (!json_is_array(v) || json_array_size(v) == 0) {
		finds_add(
		    p->finds, &msgs[FIND_TYPE], place, "not a list of methods");
		return;
	}
	json_array_foreach(v, i, m)
	{
		n = config_method_number(json_string_value(m));
		snprintf(sub, sizeof(sub), "%s/%zu", place, i);
		if (n == -1)
			finds_add(
			    p->finds, &msgs[FIND_VALUE], sub, "not a method");
		else
			r->methods |= 1U << n;
	}
}

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
		finds_add(p->finds, &msgs[FIND_TYPE], place, "not a number");
		return;
	}
	if (!(n >= 0.001 && n <= 1e6)) {
		finds_add(p->finds, &msgs[FIND_RANGE], place,
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
		finds_add(p->finds, &msgs[FIND_VALUE], place,
		    "a hash is %d hexadecimal digits", 2 * CONFIG_HASH_BYTES);
}

/*
 * Reads the keys of a workspace.
 */
static void
ws_keys(struct parse *p, const char *place, json_t *v, void *dst)
{
	struct config *c = p->config;
	struct config_key *k;
	char sub[600];
	json_t *o;
	size_t i, j;

	if (!json_is_array(v)) {
		finds_add(p->finds, &msgs[FIND_TYPE], place, "not a list");
		return;
	}
	if (json_array_size(v) == 0)
		finds_add(p->finds, &msgs[FIND_NO_KEYS], place, "%s", "");
	k = reallocarray(
	    c->keys, c->key_count + json_array_size(v) + 1, sizeof(*c->keys));
	if (k == NULL)
		err(1, "ws_keys");
	c->keys = k;
	json_array_foreach(v, i, o)
	{
		k = &c->keys[c->key_count++];
		memset(k, 0, sizeof(*k));
		k->ws = (uint32_t)((struct config_ws *)dst - c->workspaces);
		snprintf(sub, sizeof(sub), "%s/%zu", place, i);
		read_fields(p, sub, o, key_fields, k);
		for (j = 1; j <= i; j++)
			if (strcmp(k[-(ptrdiff_t)j].id, k->id) == 0)
				finds_add(p->finds, &msgs[FIND_TWICE], sub,
				    "key id %s", k->id);
	}
}

/*
 * Reads all routes.
 */
static void
top_routes(struct parse *p, const char *place, json_t *v, void *dst)
{
	struct config *c = dst;
	struct config_route *r;
	char sub[64];
	json_t *o;
	size_t i, j;

	if (!json_is_array(v)) {
		finds_add(p->finds, &msgs[FIND_TYPE], place, "not a list");
		return;
	}
	c->routes = calloc(json_array_size(v) + 1, sizeof(*c->routes));
	if (c->routes == NULL)
		err(1, "top_routes");
	json_array_foreach(v, i, o)
	{
		snprintf(sub, sizeof(sub), "%s/%zu", place, i);
		r = &c->routes[c->route_count++];
		read_fields(p, sub, o, route_fields, r);
		for (j = 0; j < i; j++) {
			if (strcmp(c->routes[j].name, r->name) == 0)
				finds_add(p->finds, &msgs[FIND_TWICE], sub,
				    "route name %s", r->name);
			if (strcmp(c->routes[j].prefix, r->prefix) == 0 &&
			    (c->routes[j].methods == 0 || r->methods == 0 ||
				(c->routes[j].methods & r->methods) != 0))
				finds_add(p->finds, &msgs[FIND_TWICE], sub,
				    "prefix %s", r->prefix);
		}
		if (!r->idempotent && r->retries > 0)
			finds_add(p->finds, &msgs[FIND_RETRY_RISK], sub,
			    "not idempotent");
	}
	if (c->route_count == 0)
		finds_add(p->finds, &msgs[FIND_EMPTY], place, "%s", "");
}

/*
 * Reads all workspaces.
 */
static void
top_workspaces(struct parse *p, const char *place, json_t *v, void *dst)
{
	struct config *c = dst;
	struct config_ws *w;
	char sub[64];
	json_t *o;
	size_t i, j;

	if (!json_is_array(v)) {
		finds_add(p->finds, &msgs[FIND_TYPE], place, "not a list");
		return;
	}
	c->workspaces = calloc(json_array_size(v) + 1, sizeof(*c->workspaces));
	if (c->workspaces == NULL)
		err(1, "top_workspaces");
	json_array_foreach(v, i, o)
	{
		snprintf(sub, sizeof(sub), "%s/%zu", place, i);
		w = &c->workspaces[c->ws_count++];
		read_fields(p, sub, o, ws_fields, w);
		for (j = 0; j < i; j++)
			if (c->workspaces[j].hash == w->hash)
				finds_add(p->finds, &msgs[FIND_TWICE], sub,
				    "workspace name %s", w->name);
	}
}

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
			finds_add(fs, &msgs[FIND_TWICE], "/workspaces",
			    "the hash of keys %s and %s", c->keys[i - 1].id,
			    c->keys[i].id);
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
		finds_add(fs, &msgs[FIND_JSON], place, "%s", e.text);
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
