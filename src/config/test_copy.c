#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "config/config.h"

#define ROUTES 300 /* more than fit into the bytes that are tried first */
#define KEYS 40
#define WORKSPACES 8
#define CUTS_EACH 1000 /* bytes at which the copy ends, one by one */
#define CUTS_STEP 131  /* then in such steps */
#define FLIPS 2000
#define HEAD_BYTES 256 /* every other flip falls into these */
#define SEED 1

/*
 * Returns a configuration with every field set.
 */
static struct config *
whole(void)
{
	struct config *c = calloc(1, sizeof(*c));
	struct config_route *r;
	struct config_ws *w;
	char key[16];
	size_t i;

	c->version = 77;
	c->caps = (struct config_caps){ 4096, 1ULL << 33, 3000, 20000 };
	c->routes = calloc(ROUTES, sizeof(*c->routes));
	c->workspaces = calloc(WORKSPACES, sizeof(*c->workspaces));
	c->keys = calloc(KEYS, sizeof(*c->keys));
	c->health = calloc(1, sizeof(*c->health));
	for (i = 0; i < ROUTES; i++) {
		r = &c->routes[c->route_count++];
		snprintf(r->name, sizeof(r->name), "route-%zu", i);
		snprintf(r->prefix, sizeof(r->prefix),
		    "/some/longer/path/%0200zu/", i);
		r->prefix_len = strlen(r->prefix);
		snprintf(r->service, sizeof(r->service), "orders");
		snprintf(r->host, sizeof(r->host), "h%zu.example", i % 7);
		r->methods = 3;
		r->open = i % 2 == 0;
		r->idempotent = i % 3 == 0;
		r->importance = (enum importance)(i % CLASS_MAX);
		r->deadline_ms = 2000;
		r->retries = 2;
		r->target_ms = 300;
		r->priority = (uint32_t)i;
		r->part_count = i % 2 == 0 ? 0 : 2;
		if (r->part_count > 0) {
			r->parts[0].weight = 70;
			r->parts[1].weight = 30;
			snprintf(r->parts[1].service,
			    sizeof(r->parts[1].service), "pricing");
		}
	}
	for (i = 0; i < WORKSPACES; i++) {
		w = &c->workspaces[c->ws_count++];
		snprintf(w->name, sizeof(w->name), "ws-%zu", i);
		w->hash = config_ws_hash(w->name);
		w->rate = 12.5 * (double)i;
		w->burst = 40;
		w->priority = i == 0 ? CONFIG_NO_PRIORITY : 1;
	}
	for (i = 0; i < KEYS; i++) {
		snprintf(key, sizeof(key), "key-%zu", i);
		config_key_hash(key, c->keys[i].hash);
		snprintf(c->keys[i].id, sizeof(c->keys[i].id), "k%zu", i);
		c->keys[i].ws = (uint32_t)(i % WORKSPACES);
		c->key_count++;
	}
	snprintf(c->health[0].service, sizeof(c->health[0].service), "orders");
	snprintf(c->health[0].path, sizeof(c->health[0].path), "/health");
	c->health_count = 1;
	config_sort(c);
	return c;
}

/*
 * What another node reads is what this one has.
 */
static void
test_round_trip(void **state)
{
	struct config *c = whole(), *d;
	size_t len;
	char *p = config_copy_write(c, &len);

	(void)state;
	d = config_copy_read(p, len);
	assert_non_null(d);
	assert_int_equal(d->version, c->version);
	assert_memory_equal(&d->caps, &c->caps, sizeof(c->caps));
	assert_int_equal(d->route_count, c->route_count);
	assert_memory_equal(
	    d->routes, c->routes, c->route_count * sizeof(*c->routes));
	assert_int_equal(d->ws_count, c->ws_count);
	assert_memory_equal(
	    d->workspaces, c->workspaces, c->ws_count * sizeof(*d->workspaces));
	assert_int_equal(d->key_count, c->key_count);
	assert_memory_equal(d->keys, c->keys, c->key_count * sizeof(*c->keys));
	assert_int_equal(d->health_count, 1);
	assert_memory_equal(d->health, c->health, sizeof(*c->health));
	config_free(c);
	config_free(d);
	free(p);
}

/*
 * Bytes that end early, go on, or are damaged: refused, or a configuration
 * whose handles hold.
 */
static void
test_damage(void **state)
{
	struct config *c = whole(), *d;
	size_t len, i, k;
	char *p = config_copy_write(c, &len), *q;

	(void)state;
	assert_true(len > HEAD_BYTES);
	srand48(SEED);
	for (i = 0; i < len; i += i < CUTS_EACH ? 1 : CUTS_STEP) {
		q = malloc(i + (i == 0)); /* sanitizers see reads beyond */
		memcpy(q, p, i);
		assert_null(config_copy_read(q, i));
		free(q);
	}
	q = malloc(len + 1);
	memcpy(q, p, len);
	q[len] = 0;
	assert_null(config_copy_read(q, len + 1));
	for (i = 0; i < FLIPS; i++) {
		k = (size_t)lrand48() %
		    (i % 2 == 0 || len == 0 ? HEAD_BYTES : len);
		q[k] = (char)lrand48();
		d = config_copy_read(q, len);
		for (k = 0; d != NULL && k < d->key_count; k++)
			assert_true(d->keys[k].ws < d->ws_count);
		config_free(d);
		memcpy(q, p, len);
	}
	config_free(c);
	free(p);
	free(q);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_round_trip),
		cmocka_unit_test(test_damage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
