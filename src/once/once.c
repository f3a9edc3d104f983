#include <inttypes.h>
#include <sodium.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "once/once_int.h"

#define UUID_LEN 36
#define UUID_TIME_DIGITS 12

static uint64_t wall_ms(void);
static uint64_t uuid_time_ms(const char *);
static int handle_claim(
    void *, const struct sockaddr_in *, const void *, void *);
static int handle_note(
    void *, const struct sockaddr_in *, const void *, void *);
static int handle_release(
    void *, const struct sockaddr_in *, const void *, void *);
static int handle_copy(
    void *, const struct sockaddr_in *, const void *, void *);

#define PROC(n, name)                                                   \
	{                                                               \
		RPC_BLOCK_ONCE + (n), (xdrproc_t)xdr_once_##name##_arg, \
		    sizeof(once_##name##_arg),                          \
		    (xdrproc_t)xdr_once_##name##_res,                   \
		    sizeof(once_##name##_res), handle_##name            \
	}

const struct rpc_proc once_procs[ONCE_PROC_MAX] = {
	[ONCE_PROC_CLAIM] = PROC(1, claim),
	[ONCE_PROC_NOTE] = PROC(2, note),
	[ONCE_PROC_RELEASE] = PROC(3, release),
	[ONCE_PROC_COPY] = PROC(4, copy),
};

/*
 * Initializes the request id memory of a node.
 */
void
once_init(struct once *o, const struct once_config *cfg)
{
	size_t i, max = cfg->cells_max;

	memset(o, 0, sizeof(*o));
	o->cfg = *cfg;
	if (o->cfg.clock_ms == NULL)
		o->cfg.clock_ms = clock_ms;
	if (o->cfg.wall_ms == NULL)
		o->cfg.wall_ms = wall_ms;
	atomic_init(&o->budget.left, max != 0 ? max : ONCE_CELLS_MAX);
	for (i = 0; i < LEASE_PARTS; i++) {
		pthread_mutex_init(&o->part[i].lock, NULL);
		memory_init(&o->part[i].memory, &o->budget);
	}
	pthread_mutex_init(&o->lock, NULL);
}

/*
 * Frees the memory.  No thread may use it any more.
 */
void
once_finish(struct once *o)
{
	size_t i;

	for (i = 0; i < LEASE_PARTS; i++) {
		memory_finish(&o->part[i].memory);
		pthread_mutex_destroy(&o->part[i].lock);
	}
	pthread_mutex_destroy(&o->lock);
}

/*
 * Returns the wall clock in ms since 1970, the epoch of a UUID of version 7.
 */
static uint64_t
wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * MS_PER_S + (uint64_t)ts.tv_nsec / 1000000;
}

/*
 * Returns the time in a UUID of version 7 (ms since 1970), or 0 if s isn't
 * one.
 */
static uint64_t
uuid_time_ms(const char *s)
{
	uint64_t stamp = 0;
	int i, digits = 0;

	if (strlen(s) != UUID_LEN || s[14] != '7' ||
	    strchr("89abAB", s[19]) == NULL)
		return 0;
	for (i = 0; i < UUID_LEN; i++) {
		if (i == 8 || i == 13 || i == 18 || i == 23) {
			if (s[i] != '-')
				return 0;
			continue;
		}
		if (!g_ascii_isxdigit(s[i]))
			return 0;
		if (digits++ < UUID_TIME_DIGITS)
			stamp =
			    stamp << 4 | (uint64_t)g_ascii_xdigit_value(s[i]);
	}
	return stamp;
}

/*
 * Computes the key of a request id within a workspace.  Equal ids of
 * different workspaces have different keys.
 */
void
once_key(struct once_key *key, const char *workspace, const char *id)
{
	crypto_generichash_state st;

	crypto_generichash_init(&st, NULL, 0, sizeof(key->id.byte));
	crypto_generichash_update(
	    &st, (const unsigned char *)workspace, strlen(workspace) + 1);
	crypto_generichash_update(&st, (const unsigned char *)id, strlen(id));
	crypto_generichash_final(&st, key->id.byte, sizeof(key->id.byte));
	key->stamp_ms = uuid_time_ms(id);
}

/*
 * Returns the partition of an id.
 */
uint32_t
once_part(const struct once_id *id)
{
	uint64_t h;

	memcpy(&h, id->byte, sizeof(h));
	return (uint32_t)(GUINT64_FROM_LE(h) % LEASE_PARTS);
}

/*
 * Sends the queued releases, and copies memories to new standbys.  One
 * control thread must call it every ONCE_MAINTAIN_INTERVAL_MS.
 */
void
once_maintain(struct once *o)
{
	once_send_releases(o);
	once_copy_memories(o);
}

/*
 * Returns whether the standby of a partition that this node owns has
 * received the whole memory.  Matches lease_ready_fn.
 */
int
once_standby_ready(void *ctx, uint32_t part)
{
	struct once *o = ctx;
	struct lease_view v;
	int ready;

	o->cfg.lookup(o->cfg.lookup_ctx, part, o->cfg.clock_ms(), &v);
	pthread_mutex_lock(&o->part[part].lock);
	ready = o->part[part].copied_term == v.term;
	pthread_mutex_unlock(&o->part[part].lock);
	return ready;
}

/*
 * Writes the state of each partition that has cells or a tenure.
 */
void
once_dump(struct once *o, FILE *out)
{
	int64_t now = (int64_t)o->cfg.clock_ms();
	struct once_part *p;
	size_t i;

	for (i = 0; i < LEASE_PARTS; i++) {
		p = &o->part[i];
		pthread_mutex_lock(&p->lock);
		if (p->memory.cap > 0 || p->tenure != 0)
			fprintf(out,
			    "ids part=%zu cells=%zu of=%zu tenure=%" PRIu64
			    " complete_for_ms=%" PRId64 " standby_term=%" PRIu64
			    " whole=%d\n",
			    i, p->memory.used, p->memory.cap, p->tenure,
			    p->tenure != 0 ? now - p->since_ms : 0,
			    p->standby_term, p->copy_complete);
		pthread_mutex_unlock(&p->lock);
	}
}

/*
 * Handles a claim at the owner.
 */
static int
handle_claim(
    void *ctx, const struct sockaddr_in *from, const void *arg, void *res)
{
	(void)from;
	once_serve_claim(ctx, arg, res);
	return 0;
}

/*
 * Handles a note at the standby.
 */
static int
handle_note(
    void *ctx, const struct sockaddr_in *from, const void *arg, void *res)
{
	(void)from;
	once_serve_note(ctx, arg, res);
	return 0;
}

/*
 * Handles a release at the owner or the standby.
 */
static int
handle_release(
    void *ctx, const struct sockaddr_in *from, const void *arg, void *res)
{
	(void)from;
	once_serve_release(ctx, arg, res);
	return 0;
}

/*
 * Handles a page of the owner's memory at the standby.
 */
static int
handle_copy(
    void *ctx, const struct sockaddr_in *from, const void *arg, void *res)
{
	(void)from;
	once_serve_copy(ctx, arg, res);
	return 0;
}
