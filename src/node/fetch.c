#include <err.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <urcu.h>

#include "node/node.h"

#define CHECK_US 200000
#define SYNC_ROUNDS 25 /* checks between two syncs of the quarantine */
#define FETCH_TIMEOUT_MS 2000
#define FETCH_BYTES_MAX (LOGSVC_RECORD_MAX + 4096)

/* A snapshot on its way from a peer. */
struct fetched {
	char *data;
	size_t len;
	int status;
};

static int fetched_head(void *, const struct head *);
static int fetched_body(void *, const char *, size_t);

/*
 * Chooses a member that has a later configuration than this node.
 */
static int
choose_source(struct node *n, struct member_info *out)
{
	uint64_t own = config_service_version(&n->config);
	const struct member_view *v;
	const struct member_info *m;
	uint32_t i, start;
	int found = 0;

	rcu_read_lock();
	v = member_view_get(&n->member);
	start = v->len > 0 ? (uint32_t)(rand_u64() % v->len) : 0;
	for (i = 0; i < v->len && !found; i++) {
		m = &v->members[(start + i) % v->len];
		if (m->config_version <= own || m->state != MEMBER_ALIVE)
			continue;
		*out = *m;
		found = 1;
	}
	rcu_read_unlock();
	return found;
}

/*
 * Receives the head of a peer's answer.
 */
static int
fetched_head(void *ctx, const struct head *h)
{
	struct fetched *f = ctx;

	f->status = h->status;
	return 0;
}

/*
 * Receives a part of a snapshot, up to the size that a record may have.
 */
static int
fetched_body(void *ctx, const char *data, size_t len)
{
	struct fetched *f = ctx;
	char *p;

	if (f->len + len > FETCH_BYTES_MAX)
		return -1;
	p = realloc(f->data, f->len + len + 1);
	if (p == NULL)
		err(1, "fetched_body");
	memcpy(p + f->len, data, len);
	f->data = p;
	f->len += len;
	return 0;
}

/*
 * Asks one peer for the version that it has in force and offers it to the
 * reader, which takes it only if it is newer.
 */
static void
fetch_from(struct node *n, const struct member_info *m)
{
	struct fetched f = { 0 };
	struct answer_sink sink = { fetched_head, fetched_body, &f };
	struct context cx = { .attempt = rand_u64() };
	char text[CONTEXT_TEXT_MAX], mac[CONTEXT_MAC_HEX];
	struct head *h = malloc(sizeof(*h));
	struct exchange_req x = { .addr = m->id.addr,
		.port = m->peer_port,
		.method = "GET",
		.target = CONFIG_TARGET,
		.head = h,
		.timeout_ms = FETCH_TIMEOUT_MS };

	if (h == NULL)
		err(1, "fetch_from");
	head_init(h, 0);
	context_format(&cx, text);
	context_mac(n->key, x.method, x.target, text, mac);
	head_add(h, "Cyclamen-Context", text);
	head_add(h, "Cyclamen-Mac", mac);
	if (client_exchange(n->peers, &x, &sink) == EXCHANGE_WHOLE &&
	    f.status == 200 && f.data != NULL &&
	    config_service_offer(&n->config, f.data, f.len) == -1)
		logline(
		    LOG_ERR, "config-bad-offer", "peer_port=%u", m->peer_port);
	free(f.data);
	free(h);
}

/*
 * The thread that fetches configurations which peers have and the log has
 * not brought here yet, and news of crashing requests that were lost.
 */
void *
fetch_main(void *ctx)
{
	struct node *n = ctx;
	struct member_info m;
	unsigned int round = 0;

	rcu_register_thread();
	while (n->running) {
		usleep(CHECK_US);
		if (round++ % SYNC_ROUNDS == 0)
			duties_sync(n);
		if (choose_source(n, &m))
			fetch_from(n, &m);
	}
	rcu_unregister_thread();
	return NULL;
}
