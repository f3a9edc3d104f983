#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "config/internal.h"

static void route_name(struct parse *, const char *, json_t *, void *);
static void route_prefix(struct parse *, const char *, json_t *, void *);
static void route_service(struct parse *, const char *, json_t *, void *);
static void route_open(struct parse *, const char *, json_t *, void *);
static void route_idempotent(struct parse *, const char *, json_t *, void *);
static void route_class(struct parse *, const char *, json_t *, void *);
static void route_deadline(struct parse *, const char *, json_t *, void *);
static void route_retries(struct parse *, const char *, json_t *, void *);
static void route_methods(struct parse *, const char *, json_t *, void *);

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
		finds_add(
		    p->finds, &config_msgs[FIND_TYPE], place, "not a string");
		return;
	}
	for (i = 0; i < len; i++)
		if (s[i] <= ' ' || s[i] > '~' || s[i] == '?' || s[i] == '#')
			break;
	if (s[0] != '/' || len > CONFIG_PREFIX_MAX || i < len ||
	    strstr(s, "//") != NULL || strstr(s, "/.") != NULL) {
		finds_add(p->finds, &config_msgs[FIND_VALUE], place,
		    "a prefix is an absolute path of up to %d characters",
		    CONFIG_PREFIX_MAX);
		return;
	}
	if (strncmp(s, "/cyclamen", 9) == 0 && (s[9] == '\0' || s[9] == '/')) {
		finds_add(p->finds, &config_msgs[FIND_VALUE], place,
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
	finds_add(p->finds, &config_msgs[FIND_VALUE], place,
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
		finds_add(p->finds, &config_msgs[FIND_TYPE], place,
		    "not a list of methods");
		return;
	}
	json_array_foreach(v, i, m)
	{
		n = config_method_number(json_string_value(m));
		snprintf(sub, sizeof(sub), "%s/%zu", place, i);
		if (n == -1)
			finds_add(p->finds, &config_msgs[FIND_VALUE], sub,
			    "not a method");
		else
			r->methods |= 1U << n;
	}
}

/*
 * Reports what a route claims that an earlier one has already.
 */
static void
route_compare(struct parse *p, const char *place, const struct config_route *r)
{
	const struct config_route *o;

	for (o = p->config->routes; o < r; o++) {
		if (r->name[0] != '\0' && strcmp(o->name, r->name) == 0)
			finds_add(p->finds, &config_msgs[FIND_TWICE], place,
			    "route name %s", r->name);
		if (r->prefix[0] != '\0' && strcmp(o->prefix, r->prefix) == 0 &&
		    (o->methods == 0 || r->methods == 0 ||
			(o->methods & r->methods) != 0))
			finds_add(p->finds, &config_msgs[FIND_TWICE], place,
			    "prefix %s", r->prefix);
	}
}

/*
 * Reads one route into its entry of the table.
 */
static void
route_read(struct parse *p, const char *place, json_t *o, void *dst)
{
	struct config_route *r = dst;

	read_fields(p, place, o, route_fields, r);
	route_compare(p, place, r);
	if (!r->idempotent && r->retries > 0)
		finds_add(p->finds, &config_msgs[FIND_RETRY_RISK], place,
		    "not idempotent");
}

/*
 * Reads all routes.
 */
void
read_routes(struct parse *p, const char *place, json_t *v, void *dst)
{
	struct config *c = dst;
	const struct list l = { (void **)&c->routes, &c->route_count,
		sizeof(*c->routes), route_read };

	read_list(p, place, v, &l);
	if (json_is_array(v) && c->route_count == 0)
		finds_add(p->finds, &config_msgs[FIND_EMPTY], place, "%s", "");
}
