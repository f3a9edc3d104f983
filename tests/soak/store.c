#include <arpa/inet.h>
#include <err.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define RECORDS_MAX 256
#define WAITERS_MAX (2 * NODES_MAX)
#define TOPICS 2 /* keyed.op and keyed.nodes */

struct record {
	char *key, *value;
};

struct waiter {
	struct h1_conn *conn;
	uv_timer_t timer;
	uint64_t from;
	int topic;
	int busy; /* the timer is being closed, or runs */
};

struct body {
	struct h1_text text;
	uv_timer_t timer;
	struct h1_conn *conn;
};

static struct record logs[TOPICS][RECORDS_MAX];
static uint64_t ends[TOPICS];
static struct waiter waiters[WAITERS_MAX];

static uint64_t
query(const char *target, const char *name)
{
	const char *p = strstr(target, name);

	return p == NULL ? 0 : strtoull(p + strlen(name), NULL, 10);
}

static void
put_number(struct h1_text *t, uint64_t v, int bytes)
{
	char c;

	while (bytes-- > 0) {
		c = (char)(v >> bytes * 8);
		h1_text_add(t, &c, 1);
	}
}

static void
answer_read(struct h1_conn *conn, int topic, uint64_t from)
{
	struct h1_text t;
	struct record *r;
	uint64_t i;

	h1_text_init(&t);
	put_number(&t, ends[topic], 8);
	put_number(&t, 0, 8);
	for (i = from; i < ends[topic]; i++) {
		r = &logs[topic][i];
		put_number(&t, 1 + strlen(r->key) + strlen(r->value), 4);
		put_number(&t, strlen(r->key), 1);
		h1_text_add(&t, r->key, strlen(r->key));
		h1_text_add(&t, r->value, strlen(r->value));
	}
	h1_send_response(conn, 200, NULL, t.p, t.len);
	h1_text_finish(&t);
}

static void
waiter_freed(uv_handle_t *h)
{
	((struct waiter *)h->data)->busy = 0;
}

static void
waiter_end(struct waiter *w, int answer)
{
	struct h1_conn *conn = w->conn;

	if (conn == NULL)
		return;
	w->conn = NULL;
	h1_conn_set_user(conn, NULL);
	uv_close((uv_handle_t *)&w->timer, waiter_freed);
	if (answer)
		answer_read(conn, w->topic, w->from);
}

static void
on_waited(uv_timer_t *t)
{
	waiter_end(t->data, 1);
}

static void
append(int topic, const char *key, const char *value)
{
	int i;

	if (ends[topic] == RECORDS_MAX)
		errx(1, "the stand-in's log is full");
	logs[topic][ends[topic]].key = strdup(key);
	logs[topic][ends[topic]++].value = strdup(value);
	for (i = 0; i < WAITERS_MAX; i++)
		if (waiters[i].conn != NULL && waiters[i].topic == topic &&
		    !soak.store.down)
			waiter_end(&waiters[i], 1);
}

static void
answer_newest(struct h1_conn *conn, int topic)
{
	struct h1_text t;
	char b64[8192];
	uint64_t i, j;
	int first = 1;

	h1_text_init(&t);
	h1_text_addf(&t, "{\"items\":[");
	for (i = 0; i < ends[topic]; i++) {
		for (j = i + 1; j < ends[topic]; j++)
			if (strcmp(logs[topic][i].key, logs[topic][j].key) == 0)
				break;
		if (j < ends[topic] || logs[topic][i].value[0] == '\0')
			continue; /* a later record, or the key was removed */
		sodium_bin2base64(b64, sizeof(b64),
		    (unsigned char *)logs[topic][i].value,
		    strlen(logs[topic][i].value),
		    sodium_base64_VARIANT_ORIGINAL);
		h1_text_addf(&t, "%s{\"key\":\"%s\",\"value\":\"",
		    first ? "" : ",", logs[topic][i].key);
		h1_text_add(&t, b64, strlen(b64));
		h1_text_addf(&t, "\",\"offset\":%llu}", (unsigned long long)i);
		first = 0;
	}
	h1_text_addf(&t, "],\"has_more\":false,\"end\":%llu}",
	    (unsigned long long)ends[topic]);
	h1_send_response(conn, 200, NULL, t.p, t.len);
	h1_text_finish(&t);
}

static void
serve(struct h1_conn *conn, const struct h1_text *body)
{
	const struct h1_head *h = h1_conn_head(conn);
	char target[256], key[64];
	uint64_t from, wait;
	unsigned char len;
	char *value;
	int topic, i;

	snprintf(target, sizeof(target), "%.*s", (int)h->target_len,
	    h->buf + h->target);
	topic = strstr(target, "topic=keyed.op") == NULL;
	if (soak.store.down) {
		h1_send_response(conn, 503, NULL, NULL, 0);
	} else if (strstr(target, "/log-newest") != NULL) {
		answer_newest(conn, topic);
	} else if (strstr(target, "/log-append") != NULL) {
		len = (unsigned char)body->p[4];
		snprintf(key, sizeof(key), "%.*s", len, body->p + 5);
		value = strndup(body->p + 5 + len, body->len - 5 - len);
		append(topic, key, value);
		free(value);
		if (chance(1000) < soak.store.lose * 1000)
			h1_conn_abort(conn);
		else
			h1_send_response(conn, 200, NULL, "{}", 2);
	} else {
		from = query(target, "from=");
		wait = query(target, "wait_ms=");
		for (i = 0; i < WAITERS_MAX && waiters[i].busy; i++)
			;
		if (from < ends[topic] || wait == 0 || i == WAITERS_MAX) {
			answer_read(conn, topic, from);
			return;
		}
		waiters[i].conn = conn;
		waiters[i].from = from;
		waiters[i].topic = topic;
		waiters[i].busy = 1;
		h1_conn_set_user(conn, NULL);
		uv_timer_init(&soak.loop, &waiters[i].timer);
		waiters[i].timer.data = &waiters[i];
		uv_timer_start(&waiters[i].timer, on_waited, wait, 0);
	}
}

static void
body_freed(uv_handle_t *h)
{
	struct body *b = h->data;

	h1_text_finish(&b->text);
	free(b);
}

static void
on_served(uv_timer_t *t)
{
	struct body *b = t->data;

	if (b->conn != NULL) {
		h1_conn_set_user(b->conn, NULL);
		serve(b->conn, &b->text);
	}
	uv_close((uv_handle_t *)&b->timer, body_freed);
}

static void
on_head(void *ctx, struct h1_conn *conn)
{
	struct body *b = calloc(1, sizeof(*b));

	(void)ctx;
	if (b == NULL)
		err(1, "out of memory");
	b->conn = conn;
	uv_timer_init(&soak.loop, &b->timer);
	b->timer.data = b;
	h1_conn_set_user(conn, b);
}

static void
on_body(void *ctx, struct h1_conn *conn, const char *p, size_t n)
{
	(void)ctx;
	h1_text_add(&((struct body *)h1_conn_user(conn))->text, p, n);
}

static void
on_end(void *ctx, struct h1_conn *conn)
{
	struct body *b = h1_conn_user(conn);

	(void)ctx;
	uv_timer_start(&b->timer, on_served, 1 + soak.store.slow_ms, 0);
}

static void
on_gone(void *ctx, struct h1_conn *conn)
{
	struct body *b = h1_conn_user(conn);
	int i;

	(void)ctx;
	for (i = 0; i < WAITERS_MAX; i++)
		if (waiters[i].conn == conn)
			waiter_end(&waiters[i], 0);
	if (b == NULL)
		return;
	b->conn = NULL;
	if (!uv_is_active((uv_handle_t *)&b->timer))
		uv_close((uv_handle_t *)&b->timer, body_freed);
}

static const struct h1_server_ops ops = { on_head, on_body, on_end, on_gone,
	NULL };

/*
 * Writes a newer configuration; the old key is gone once revoked_ms is set.
 */
void
store_publish(struct store *s)
{
	unsigned long long timeout_ms;
	struct h1_text t;

	s->version += 1 + chance(3);
	timeout_ms = 900;
	timeout_ms += chance(300);
	h1_text_init(&t);
	h1_text_addf(&t, "{\"version\":%llu,\"routes\":{",
	    (unsigned long long)s->version);
	h1_text_addf(&t,
	    "\"r1\":{\"host\":\"h\",\"path_prefix\":\"/safe/\",\"kind\":"
	    "\"safe\",\"timeout\":\"%llums\",\"service\":\"front\","
	    "\"retry_attempts\":2,\"priority\":1},",
	    timeout_ms);
	h1_text_addf(&t,
	    "\"r2\":{\"host\":\"h\",\"path_prefix\":\"/once/\",\"kind\":"
	    "\"unsafe\",\"timeout\":\"1000ms\",\"service\":\"front\","
	    "\"retry_attempts\":2,\"priority\":0},"
	    "\"r3\":{\"host\":\"h\",\"path_prefix\":\"/deep/\",\"kind\":"
	    "\"safe\",\"timeout\":\"900ms\",\"service\":\"deep\","
	    "\"retry_attempts\":2,\"priority\":1,\"public\":true}},");
	h1_text_addf(&t,
	    "\"tenants\":{\"big\":{\"api_keys\":[\"k-big\"],\"rate_per_s\":%d,"
	    "\"burst\":%d},\"small\":{\"api_keys\":[\"k-small\"%s],"
	    "\"rate_per_s\":%d,\"burst\":%d}}}",
	    RATE_BIG, RATE_BIG, s->revoked_ms == 0 ? ",\"k-old\"" : "",
	    RATE_SMALL, RATE_SMALL);
	h1_text_add(&t, "", 1);
	append(0, "config", t.p);
	h1_text_finish(&t);
}

/*
 * Opens the store, with a first configuration.
 */
void
store_init(struct store *s)
{
	struct sockaddr_in at;

	address(&at, -1, PORT_STORE);
	if (h1_server_init(&s->http, &soak.loop, &at, &ops, s, 512) != 0)
		errx(1, "can't open the store's port");
	store_publish(s);
}
