#include <stdio.h>
#include <string.h>

#include "relay/relay_int.h"

/*
 * Health requests to the server beside this node.  After a restart the node
 * doesn't know the server until it announces itself, a second or more later.
 * Until then the node sends health requests.  The response contains the
 * instance id and the slots; a server that is leaving doesn't report itself
 * as healthy.
 */

#define PROBE_INTERVAL_MS 100 /* interval between health requests */
#define LOAD_FIELDS 3	      /* running, waiting, slots */
#define PROBES_MAX 5 /* after that the node waits for the announcement */
#define BODY_MAX_BYTES 65536 /* of all health responses */

static void on_probe_timer(uv_timer_t *);
static int on_response_head(void *, struct h1_exchange *);
static void on_response_body(
    void *, struct h1_exchange *, const char *, size_t);
static void on_response_end(void *, struct h1_exchange *);
static void on_exchange_failed(void *, struct h1_exchange *, enum h1_failure);
static const char *health_path(const struct relay *);
static int read_slots(const char *, uint64_t *);

static const struct h1_client_ops probe_ops = { on_response_head,
	on_response_body, on_response_end, on_exchange_failed, NULL };

/*
 * Starts the timer of health requests.
 */
void
probe_init(struct relay *r)
{
	uv_timer_init(r->loop, &r->probe_timer);
	r->probe_timer.data = r;
	uv_timer_start(&r->probe_timer, on_probe_timer, PROBE_INTERVAL_MS,
	    PROBE_INTERVAL_MS);
}

/*
 * Returns the path of the server's health check, or NULL if the configuration
 * has none.
 */
static const char *
health_path(const struct relay *r)
{
	size_t i;

	for (i = 0; r->config != NULL && i < r->config->health_count; i++)
		if (strcmp(r->config->health[i].service, r->set.service) == 0)
			return r->config->health[i].path;
	return NULL;
}

/*
 * Sends a health request if the server is still unknown, or only a departed one
 * is known.
 */
static void
on_probe_timer(uv_timer_t *timer)
{
	struct relay *r = timer->data;
	const char *path = health_path(r);
	struct h1_text t;

	if ((r->server.id[0] != '\0' && !r->server.leaving) ||
	    r->probe_count == PROBES_MAX) {
		uv_timer_stop(timer);
		return;
	}
	if (path == NULL)
		return;
	r->probe_count++;
	h1_text_init(&t);
	h1_text_addf(&t, "GET %s HTTP/1.1\r\nHost: health\r\n\r\n", path);
	h1_send_request(&r->server_pool, &t, 0, 0, UINT64_MAX, &probe_ops, r);
	h1_text_finish(&t);
}

/*
 * Reads the slots from a load field, whose numbers are separated by commas.
 * Returns 0, or -1 if the field is invalid.
 */
static int
read_slots(const char *text, uint64_t *slots)
{
	char words[64], *cursor = words;
	char *c;
	int i;

	snprintf(words, sizeof(words), "%s", text);
	for (c = words; *c != '\0'; c++)
		if (*c == ',')
			*c = ' ';
	for (i = 0; i < LOAD_FIELDS; i++)
		if (relay_read_number(&cursor, slots) == -1)
			return -1;
	return 0;
}

/*
 * Handles a health response.  A server whose response has an instance id and
 * a number of slots is treated as announced.
 */
static int
on_response_head(void *ctx, struct h1_exchange *x)
{
	struct relay *r = ctx;
	const struct h1_head *h = h1_exchange_head(x);
	struct relay_announce a;
	char load[64];
	uint64_t slots;

	memset(&a, 0, sizeof(a));
	if ((r->server.id[0] != '\0' && !r->server.leaving) ||
	    h1_exchange_status(x) != 200 ||
	    h1_head_copy(h, r->set.names.instance, a.id, sizeof(a.id)) < 1 ||
	    h1_head_copy(h, r->set.names.load, load, sizeof(load)) < 1 ||
	    read_slots(load, &slots) == -1 || slots == 0 || slots > UINT32_MAX)
		return 0;
	snprintf(a.service, sizeof(a.service), "%s", r->set.service);
	a.slots = (uint32_t)slots;
	(void)relay_apply_announcement(r, &a);
	return 0;
}

/*
 * Ignores the body of a health response.  One without end is cancelled.
 */
static void
on_response_body(void *ctx, struct h1_exchange *x, const char *p, size_t n)
{
	struct relay *r = ctx;

	(void)p;
	r->probe_bytes += (uint32_t)n;
	if (r->probe_bytes > BODY_MAX_BYTES)
		h1_exchange_cancel(x);
}

/*
 * Does nothing: the head of the response was enough.
 */
static void
on_response_end(void *ctx, struct h1_exchange *x)
{
	(void)ctx;
	(void)x;
}

/*
 * Ignores a failed request; the timer sends another one.
 */
static void
on_exchange_failed(void *ctx, struct h1_exchange *x, enum h1_failure failure)
{
	(void)ctx;
	(void)x;
	(void)failure;
}
