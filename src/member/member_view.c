#include <stdlib.h>
#include <string.h>

#include "base/age.h"
#include "member/member_int.h"

static uint64_t sort_key(uint32_t, uint16_t);
static int compare_address(const void *, const void *);
static int compare_service(const void *, const void *, void *);
static void *alloc_zeroed(size_t, size_t);
static void index_services(struct member_view *);

/*
 * Returns the sort key of an address and port.
 */
static uint64_t
sort_key(uint32_t addr, uint16_t port)
{
	return (uint64_t)addr << 16 | port;
}

/*
 * Compares two members by address and port.
 */
static int
compare_address(const void *a, const void *b)
{
	const struct member_info *x = a, *y = b;
	uint64_t i = sort_key(x->id.addr, x->id.rpc_port);
	uint64_t j = sort_key(y->id.addr, y->id.rpc_port);

	return (i > j) - (i < j);
}

/*
 * Compares two handles by the service hash of their members.
 */
static int
compare_service(const void *a, const void *b, void *ctx)
{
	const struct member_view *v = ctx;
	uint64_t i = v->members[*(const uint32_t *)a].server.service_hash;
	uint64_t j = v->members[*(const uint32_t *)b].server.service_hash;

	return (i > j) - (i < j);
}

/*
 * Allocates a zeroed array.  Aborts the process if memory is exhausted.
 */
static void *
alloc_zeroed(size_t len, size_t size)
{
	void *p = calloc(len > 0 ? len : 1, size);

	if (p == NULL)
		abort();
	return p;
}

/*
 * Builds the service index: the handles of members that are alive or suspect
 * and whose server is up, grouped by service.
 */
static void
index_services(struct member_view *v)
{
	struct member_service_index *ix = NULL;
	uint32_t i, n = 0;
	uint64_t hash;

	v->handles = alloc_zeroed(v->len, sizeof(*v->handles));
	v->services = alloc_zeroed(v->len, sizeof(*v->services));
	for (i = 0; i < v->len; i++) {
		if (v->members[i].server.state == MEMBER_SERVER_UP &&
		    v->members[i].state <= MEMBER_SUSPECT)
			v->handles[n++] = i;
	}
	qsort_r(v->handles, n, sizeof(*v->handles), compare_service, v);
	for (i = 0; i < n; i++) {
		hash = v->members[v->handles[i]].server.service_hash;
		if (ix == NULL || ix->hash != hash) {
			ix = &v->services[v->services_len++];
			ix->hash = hash;
			ix->first = i;
		}
		ix->len++;
	}
}

/*
 * Returns a new view of the table's current contents.
 */
struct member_view *
member_view_build(
    const struct member_table *t, uint64_t now, uint64_t generation)
{
	struct member_view *v = alloc_zeroed(1, sizeof(*v));
	const struct member_info *self = &t->slots[t->self].info;
	uint32_t h;

	v->generation = generation;
	v->built_ms = now;
	v->log_read_ms = t->log_read_ms;
	v->config_current_ms = t->config_current_ms;
	v->config_outdated = self->config_version < t->config_version;
	v->log_read_max_age_ms = t->log_read_max_age_ms;
	v->config_version = t->config_version;
	v->alive = t->alive;
	member_sum_probes(
	    t, now, MEMBER_PROBE_WINDOW_S, &v->probed, &v->answered);
	v->members = alloc_zeroed(t->count, sizeof(*v->members));
	for (h = 0; h < t->slots_len; h++) {
		if (!t->slots[h].used)
			continue;
		v->known += t->slots[h].info.state != MEMBER_LEFT;
		v->members[v->len++] = t->slots[h].info;
	}
	qsort(v->members, v->len, sizeof(*v->members), compare_address);
	v->self =
	    (uint32_t)(member_view_find(v, self->id.addr, self->id.rpc_port) -
		       v->members);
	index_services(v);
	return v;
}

/*
 * Frees a view that no reader uses any more.
 */
void
member_view_free(struct member_view *v)
{
	free(v->members);
	free(v->services);
	free(v->handles);
	free(v);
}

/*
 * Returns the member of a view at an address and port, or NULL.
 */
const struct member_info *
member_view_find(const struct member_view *v, uint32_t addr, uint16_t port)
{
	struct member_info key = { 0 };

	key.id.addr = addr;
	key.id.rpc_port = port;
	return bsearch(
	    &key, v->members, v->len, sizeof(*v->members), compare_address);
}

/*
 * Returns the handles of the members whose server offers a service and is up,
 * and sets *len to their number.  Returns NULL if there are none.
 */
const uint32_t *
member_view_service(
    const struct member_view *v, const char *service, uint32_t *len)
{
	uint64_t hash = member_service_hash(service);
	uint32_t low = 0, high = v->services_len, mid;

	while (low < high) {
		mid = (low + high) / 2;
		if (v->services[mid].hash < hash)
			low = mid + 1;
		else
			high = mid;
	}
	*len = 0;
	if (low == v->services_len || v->services[low].hash != hash)
		return NULL;
	*len = v->services[low].len;
	return &v->handles[v->services[low].first];
}

/*
 * Returns whether this node may trust its configuration.  It may if the
 * configuration was the latest one at a recent enough read of the log by any
 * node.  Otherwise it may if no later version is known and this node is
 * connected to more than half of the members.  Connectivity is judged by the
 * table, which includes the results of other nodes' probes, and by this node's
 * own probes of the last seconds: an isolated node would find out from the
 * table alone only slowly that many members are unreachable.
 */
int
member_config_is_fresh(const struct member_view *v, uint64_t now)
{
	if (v->config_current_ms != 0 &&
	    age_at(now, v->config_current_ms) < v->log_read_max_age_ms)
		return 1;
	if (v->config_outdated ||
	    age_at(now, v->built_ms) >= MEMBER_VIEW_STALE_MS)
		return 0;
	if (v->alive * 2 <= v->known)
		return 0;
	return v->known == 1 || v->answered * 2 > v->probed;
}
