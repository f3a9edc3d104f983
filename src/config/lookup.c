#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "config/config.h"
#include "config/internal.h"

static const char *const method_names[] = { "GET", "HEAD", "POST", "PUT",
	"DELETE", "PATCH", "OPTIONS" };

/*
 * Returns a method's number, or -1.
 */
int
config_method_number(const char *s)
{
	size_t i;

	for (i = 0; s != NULL && i < sizeof(method_names) / sizeof(char *); i++)
		if (strcmp(method_names[i], s) == 0)
			return (int)i;
	return -1;
}

/*
 * Orders keys by hash.
 */
int
config_key_cmp(const void *a, const void *b)
{
	return memcmp(a, b, CONFIG_HASH_BYTES);
}

/*
 * Returns the handle of the route for a method and a path, or -1.  A prefix
 * matches whole segments; the query is no part of the path.
 */
int
config_route_find(const struct config *c, const char *method, const char *path)
{
	const struct config_route *r;
	int m = config_method_number(method);
	size_t i, len = strcspn(path, "?");

	for (i = 0; i < c->route_count; i++) {
		r = &c->routes[i];
		if (len < r->prefix_len ||
		    memcmp(path, r->prefix, r->prefix_len) != 0)
			continue;
		if (r->prefix_len > 1 && len > r->prefix_len &&
		    path[r->prefix_len] != '/')
			continue;
		if (r->methods == 0 || (m >= 0 && (r->methods & 1U << m) != 0))
			return (int)i;
	}
	return -1;
}

/*
 * Orders routes by host, then the longest prefix first.
 */
static int
route_cmp(const void *a, const void *b)
{
	const struct config_route *x = a, *y = b;
	int d = strcmp(x->host, y->host);

	if (d != 0)
		return d;
	return (x->prefix_len < y->prefix_len) -
	       (x->prefix_len > y->prefix_len);
}

/*
 * Puts routes that are selected by host, and keys, into the order that the
 * look-ups need.
 */
void
config_sort(struct config *c)
{
	if (c->route_count > 0)
		qsort(c->routes, c->route_count, sizeof(*c->routes), route_cmp);
	if (c->key_count > 0)
		qsort(c->keys, c->key_count, sizeof(*c->keys), config_key_cmp);
}

/*
 * Returns the handle of the route of a host with the longest prefix that
 * begins the path, or -1.  The query is no part of the path.
 */
int
config_route_match(const struct config *c, const char *host, const char *path)
{
	size_t lo = 0, hi = c->route_count, mid, len = strcspn(path, "?");
	const struct config_route *r;

	while (lo < hi) {
		mid = lo + (hi - lo) / 2;
		if (strcmp(c->routes[mid].host, host) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	for (; lo < c->route_count; lo++) {
		r = &c->routes[lo];
		if (strcmp(r->host, host) != 0)
			return -1;
		if (len >= r->prefix_len &&
		    memcmp(path, r->prefix, r->prefix_len) == 0)
			return (int)lo;
	}
	return -1;
}

/*
 * Tells whether any route sends requests to a service.
 */
int
config_routes_to(const struct config *c, const char *service)
{
	const struct config_route *r;
	uint32_t k;

	for (r = c->routes; r < c->routes + c->route_count; r++) {
		if (strcmp(r->service, service) == 0)
			return 1;
		for (k = 0; k < r->part_count; k++)
			if (strcmp(r->parts[k].service, service) == 0)
				return 1;
	}
	return 0;
}

/*
 * Returns a key's hash in CONFIG_HASH_BYTES bytes.
 */
void
config_key_hash(const char *key, unsigned char *hash)
{
	crypto_generichash(hash, CONFIG_HASH_BYTES, (const unsigned char *)key,
	    strlen(key), NULL, 0);
}

/*
 * Returns the entry of a key as shown by a caller, or NULL where it is
 * unknown or withdrawn.  Only hashes are compared.
 */
const struct config_key *
config_key_find(const struct config *c, const char *key)
{
	unsigned char hash[CONFIG_HASH_BYTES];

	if (c->key_count == 0 || strlen(key) > CONFIG_KEY_MAX)
		return NULL;
	config_key_hash(key, hash);
	return bsearch(
	    hash, c->keys, c->key_count, sizeof(*c->keys), config_key_cmp);
}

/*
 * Returns the id of a route, which tells its runs apart in what nodes report
 * to each other.  It is never 0.
 */
uint32_t
config_route_id(const char *name)
{
	uint32_t id = XXH32(name, strlen(name), 0);

	return id != 0 ? id : 1;
}

/*
 * Returns 1 if a configuration has a route with the given id, else 0.
 */
int
config_has_route_id(const struct config *c, uint32_t id)
{
	size_t i;

	for (i = 0; i < c->route_count; i++)
		if (config_route_id(c->routes[i].name) == id)
			return 1;
	return 0;
}

/*
 * Returns the number under which peers speak of a workspace.
 */
uint64_t
config_ws_hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

/*
 * Returns the handle of the workspace with that number, or -1.
 */
int
config_ws_find(const struct config *c, uint64_t hash)
{
	size_t i;

	for (i = 0; i < c->ws_count; i++)
		if (c->workspaces[i].hash == hash)
			return (int)i;
	return -1;
}

/*
 * Returns the number by which a chain remembers the key it began with.
 */
uint64_t
config_key_tag(const struct config_key *k)
{
	uint64_t tag = 0;
	int i;

	for (i = 0; i < 8; i++)
		tag = tag << 8 | k->hash[i];
	return tag;
}

/*
 * Tells whether the key of that tag is in force.
 */
int
config_key_live(const struct config *c, uint64_t tag)
{
	size_t lo = 0, hi = c->key_count, mid;

	while (lo < hi) {
		mid = lo + (hi - lo) / 2;
		if (config_key_tag(&c->keys[mid]) < tag)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo < c->key_count && config_key_tag(&c->keys[lo]) == tag;
}

/*
 * Notes for each workspace since when (ms) this node knows its limit: from
 * the version before where that had the same, else from now.
 */
void
config_carry(struct config *c, const struct config *before, uint64_t now)
{
	const struct config_ws *w;
	size_t i;
	int j;

	for (i = 0; before != NULL && i < c->ws_count; i++) {
		c->workspaces[i].changed_ms = now;
		j = config_ws_find(before, c->workspaces[i].hash);
		if (j == -1)
			continue;
		w = &before->workspaces[j];
		if (w->rate == c->workspaces[i].rate &&
		    w->burst == c->workspaces[i].burst)
			c->workspaces[i].changed_ms = w->changed_ms;
	}
}
