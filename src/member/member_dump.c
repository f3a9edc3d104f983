#include <inttypes.h>

#include "base/age.h"
#include "base/clock.h"
#include "member/member_int.h"

static void dump_member(FILE *, const struct member_info *, uint64_t);

static const char *const state_names[MEMBER_STATE_MAX] = {
	[MEMBER_ALIVE] = "alive",
	[MEMBER_SUSPECT] = "suspect",
	[MEMBER_DEAD] = "dead",
	[MEMBER_LEFT] = "left",
};

static const char *const server_state_names[MEMBER_SERVER_STATE_MAX] = {
	[MEMBER_SERVER_NONE] = "none",
	[MEMBER_SERVER_UP] = "up",
	[MEMBER_SERVER_DRAINING] = "draining",
	[MEMBER_SERVER_GONE] = "gone",
};

/*
 * Returns the name of a member's state.
 */
const char *
member_state_name(enum member_state state)
{
	return state_names[state];
}

/*
 * Returns the name of a backend server's state.
 */
const char *
member_server_state_name(enum member_server_state state)
{
	return server_state_names[state];
}

/*
 * Prints one line that describes a member.
 */
static void
dump_member(FILE *out, const struct member_info *m, uint64_t now)
{
	char name[NODE_ID_TEXT];

	nodeid_format(&m->id, name);
	fprintf(out,
	    "member %s peer_port=%u domain=%s state=%s for=%" PRIu64
	    "s seq=%u config=%" PRIu64,
	    name, m->peer_port, m->domain[0] != '\0' ? m->domain : "-",
	    state_names[m->state], age_at(now, m->state_since_ms) / 1000,
	    m->seq, m->config_version);
	if (m->server.state != MEMBER_SERVER_NONE)
		fprintf(out,
		    " service=%s server=%s slots=%u connections=%u load=%u",
		    m->server.service, server_state_names[m->server.state],
		    m->server.slots, m->server.connections, m->server.load);
	fputc('\n', out);
}

/*
 * Prints this node's current view of the members.  The calling thread must
 * be registered with RCU.
 */
void
member_dump(struct member_service *ms, FILE *out)
{
	const struct member_view *v;
	uint64_t now = clock_ms();
	uint32_t i;

	rcu_read_lock();
	v = member_view_get(ms);
	fprintf(out,
	    "members known=%u alive=%u probed=%u answered=%u "
	    "log_read=%" PRIu64 "ms fresh=%d config=%" PRIu64 "\n",
	    v->known, v->alive, v->probed, v->answered,
	    v->log_read_ms == 0 ? 0 : age_at(now, v->log_read_ms),
	    member_config_is_fresh(v, now), v->config_version);
	for (i = 0; i < v->len; i++)
		dump_member(out, &v->members[i], now);
	rcu_read_unlock();
}
