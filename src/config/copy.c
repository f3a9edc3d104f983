#include <err.h>
#include <stdlib.h>
#include <string.h>

#include <rpc/types.h>
#include <rpc/xdr.h>

#include "config/config.h"

/*
 * A checked configuration as bytes (XDR), for another node of the fleet.  Keys
 * are in it as hashes only.
 */

#define FORMAT 1	  /* changes with the fields below */
#define BYTES_FIRST 65536 /* tried first for the bytes, then doubled */
#define ITEM_BYTES 8	  /* least size of a route, workspace, key or service */

typedef bool_t (*item_fn)(XDR *, void *);

static bool_t copy_text(XDR *, char *, size_t);
static bool_t copy_part(XDR *, void *);
static bool_t copy_route(XDR *, void *);
static bool_t copy_ws(XDR *, void *);
static bool_t copy_key(XDR *, void *);
static bool_t copy_health(XDR *, void *);
static bool_t copy_list(XDR *, void **, size_t *, size_t, item_fn, size_t);
static bool_t copy_config(XDR *, struct config *, size_t);
static int consistent(const struct config *);

/*
 * Copies a string that has a place of so many bytes.
 */
static bool_t
copy_text(XDR *x, char *s, size_t size)
{
	return xdr_string(x, &s, (u_int)size - 1);
}

/*
 * Copies a part of a route's split.
 */
static bool_t
copy_part(XDR *x, void *item)
{
	struct config_part *p = item;

	return copy_text(x, p->service, sizeof(p->service)) &&
	       xdr_uint32_t(x, &p->weight);
}

/*
 * Copies a route.
 */
static bool_t
copy_route(XDR *x, void *item)
{
	struct config_route *r = item;
	uint32_t i;

	if (!copy_text(x, r->name, sizeof(r->name)) ||
	    !copy_text(x, r->prefix, sizeof(r->prefix)) ||
	    !copy_text(x, r->service, sizeof(r->service)) ||
	    !copy_text(x, r->host, sizeof(r->host)) ||
	    !xdr_u_int(x, &r->methods) || !xdr_int(x, &r->open) ||
	    !xdr_int(x, &r->idempotent) ||
	    !xdr_enum(x, (enum_t *)&r->importance) ||
	    !xdr_uint32_t(x, &r->deadline_ms) ||
	    !xdr_uint32_t(x, &r->retries) || !xdr_uint32_t(x, &r->target_ms) ||
	    !xdr_uint32_t(x, &r->priority) ||
	    !xdr_uint32_t(x, &r->part_count) ||
	    r->part_count > CONFIG_PARTS_MAX)
		return FALSE;
	r->prefix_len = strlen(r->prefix);
	for (i = 0; i < r->part_count; i++)
		if (!copy_part(x, &r->parts[i]))
			return FALSE;
	return TRUE;
}

/*
 * Copies a workspace; when its limit changed is each node's own matter.
 */
static bool_t
copy_ws(XDR *x, void *item)
{
	struct config_ws *w = item;

	return copy_text(x, w->name, sizeof(w->name)) &&
	       xdr_uint64_t(x, &w->hash) && xdr_double(x, &w->rate) &&
	       xdr_uint32_t(x, &w->burst) && xdr_uint32_t(x, &w->priority);
}

/*
 * Copies a key's hash.
 */
static bool_t
copy_key(XDR *x, void *item)
{
	struct config_key *k = item;

	return xdr_opaque(x, (char *)k->hash, sizeof(k->hash)) &&
	       copy_text(x, k->id, sizeof(k->id)) && xdr_uint32_t(x, &k->ws);
}

/*
 * Copies the path of a service's health check.
 */
static bool_t
copy_health(XDR *x, void *item)
{
	struct config_health *h = item;

	return copy_text(x, h->service, sizeof(h->service)) &&
	       copy_text(x, h->path, sizeof(h->path));
}

/*
 * Copies a list of items of a size, of which there are at most `most`.
 */
static bool_t
copy_list(
    XDR *x, void **list, size_t *count, size_t size, item_fn item, size_t most)
{
	uint64_t n = *count;
	char *at;
	size_t i;

	if (!xdr_uint64_t(x, &n) || n > most)
		return FALSE;
	if (x->x_op == XDR_DECODE) {
		*list = calloc(n + 1, size);
		if (*list == NULL)
			err(1, "out of memory");
		*count = n;
	}
	at = *list;
	for (i = 0; i < n; i++)
		if (!item(x, at + i * size))
			return FALSE;
	return TRUE;
}

/*
 * Copies a configuration to or from so many bytes.
 */
static bool_t
copy_config(XDR *x, struct config *c, size_t bytes)
{
	size_t most = bytes / ITEM_BYTES;
	uint32_t format = FORMAT;

	return xdr_uint32_t(x, &format) && format == FORMAT &&
	       xdr_uint64_t(x, &c->version) &&
	       xdr_uint32_t(x, &c->caps.head_bytes) &&
	       xdr_uint64_t(x, &c->caps.body_bytes) &&
	       xdr_uint64_t(x, &c->caps.head_ms) &&
	       xdr_uint64_t(x, &c->caps.idle_ms) &&
	       copy_list(x, (void **)&c->routes, &c->route_count,
		   sizeof(*c->routes), copy_route, most) &&
	       copy_list(x, (void **)&c->workspaces, &c->ws_count,
		   sizeof(*c->workspaces), copy_ws, most) &&
	       copy_list(x, (void **)&c->keys, &c->key_count, sizeof(*c->keys),
		   copy_key, most) &&
	       copy_list(x, (void **)&c->health, &c->health_count,
		   sizeof(*c->health), copy_health, most);
}

/*
 * Tells whether handles and numbers of a configuration that was read can be
 * used.
 */
static int
consistent(const struct config *c)
{
	size_t i;

	for (i = 0; i < c->key_count; i++)
		if (c->keys[i].ws >= c->ws_count)
			return 0;
	for (i = 0; i < c->route_count; i++)
		if (c->routes[i].importance >= CLASS_MAX)
			return 0;
	for (i = 0; i < c->ws_count; i++)
		if (!(c->workspaces[i].rate >= 0))
			return 0;
	return c->version > 0;
}

/*
 * Returns a configuration as bytes, which the caller frees, and how many they
 * are.
 */
char *
config_copy_write(const struct config *c, size_t *len)
{
	struct config copy = *c; /* the same code reads and writes */
	size_t size = BYTES_FIRST;
	char *p = NULL;
	XDR x;

	for (;; size *= 2) {
		p = realloc(p, size);
		if (p == NULL)
			err(1, "out of memory");
		xdrmem_create(&x, p, (u_int)size, XDR_ENCODE);
		if (copy_config(&x, &copy, size))
			break;
	}
	*len = xdr_getpos(&x);
	return p;
}

/*
 * Reads a configuration from bytes.  Returns NULL if they are none of this
 * format, or are damaged.
 */
struct config *
config_copy_read(const char *p, size_t len)
{
	struct config *c;
	XDR x;

	if (len > UINT32_MAX)
		return NULL;
	c = calloc(1, sizeof(*c));
	if (c == NULL)
		err(1, "out of memory");
	xdrmem_create(&x, (char *)p, (u_int)len, XDR_DECODE);
	if (!copy_config(&x, c, len) || xdr_getpos(&x) != len ||
	    !consistent(c)) {
		config_free(c);
		return NULL;
	}
	config_sort(c);
	return c;
}
