#include <string.h>

#include "member/member_int.h"

/*
 * Precedence of two reports with the same sequence number: the higher rank
 * wins.  A suspicion is refuted only by a higher sequence number, and only the
 * member itself assigns one.
 */
static const int state_ranks[MEMBER_STATE_MAX] = {
	[MEMBER_ALIVE] = 0,
	[MEMBER_SUSPECT] = 1,
	[MEMBER_DEAD] = 2,
	[MEMBER_LEFT] = 3,
};

static int entry_is_valid(const struct member_entry *);
static void copy_server(struct member_server *, const struct member_entry *);
static void copy_member_data(struct member_slot *, const struct member_entry *);
static void copy_new_process(struct member_slot *, const struct member_entry *);
static int is_later_process(
    const struct member_entry *, const struct member_info *);
static void refute(
    struct member_table *, uint64_t, enum member_state, uint32_t);
static void merge_self(
    struct member_table *, uint64_t, const struct member_entry *);
static void merge_new_member(
    struct member_table *, uint64_t, const struct member_entry *);
static void replace_process(struct member_table *, uint64_t,
    struct member_slot *, const struct member_entry *);
static void schedule_verification(
    struct member_table *, const struct member_slot *);
static void merge_state(struct member_table *, uint64_t, struct member_slot *,
    enum member_state, uint32_t);
static void merge_known_process(struct member_table *, uint64_t,
    struct member_slot *, const struct member_entry *, int);

/*
 * Returns whether the fields of a received entry are within their ranges.
 */
static int
entry_is_valid(const struct member_entry *e)
{
	return e->name.addr != 0 && e->name.port > 0 &&
	       e->name.port <= UINT16_MAX && e->peer_port <= UINT16_MAX &&
	       e->name.incarnation != 0 && e->state < MEMBER_STATE_MAX &&
	       (e->server == NULL ||
		   e->server->state < MEMBER_SERVER_STATE_MAX);
}

/*
 * Copies a string, truncated to size bytes with the terminator.  NULL is copied
 * as an empty string.
 */
void
member_copy_text(char *to, size_t size, const char *from)
{
	g_strlcpy(to, from == NULL ? "" : from, size);
}

/*
 * Returns whether two states of a backend server differ in anything but
 * load.
 */
int
member_server_differs(
    const struct member_server *a, const struct member_server *b)
{
	return a->state != b->state || a->incarnation != b->incarnation ||
	       a->slots != b->slots || a->connections != b->connections ||
	       strcmp(a->service, b->service) != 0;
}

/*
 * Copies the backend server's data from an entry.
 */
static void
copy_server(struct member_server *sv, const struct member_entry *e)
{
	memset(sv, 0, sizeof(*sv));
	if (e->server == NULL)
		return;
	sv->state = (enum member_server_state)e->server->state;
	member_copy_text(sv->service, MEMBER_SERVICE_TEXT, e->server->service);
	sv->service_hash = member_service_hash(sv->service);
	sv->incarnation = e->server->incarnation;
	sv->slots = e->server->slots;
	sv->connections = e->server->connections;
	sv->load = e->server->load;
}

/*
 * Copies a member's data, except its name and state, from an entry.  Only
 * entries in state alive carry these data.
 */
static void
copy_member_data(struct member_slot *s, const struct member_entry *e)
{
	if (e->state != MEMBER_ALIVE)
		return;
	s->info.rev = e->rev;
	s->info.peer_port = (uint16_t)e->peer_port;
	s->info.config_version = MAX(s->info.config_version, e->config_version);
	member_copy_text(s->info.domain, MEMBER_DOMAIN_TEXT, e->domain);
	member_copy_text(s->info.region, MEMBER_DOMAIN_TEXT, e->region);
	copy_server(&s->info.server, e);
}

/*
 * Copies an entry of a new process, except its state.
 */
static void
copy_new_process(struct member_slot *s, const struct member_entry *e)
{
	s->info.id.incarnation = e->name.incarnation;
	s->info.epoch = e->name.epoch;
	s->info.seq = e->seq;
	s->info.rev = 0;
	s->full_entry = 1;
	copy_member_data(s, e);
}

/*
 * Returns whether an entry names a later process than the one known at its
 * address.
 */
static int
is_later_process(const struct member_entry *e, const struct member_info *m)
{
	if (e->name.epoch != m->epoch)
		return e->name.epoch > m->epoch;
	return e->name.incarnation > m->id.incarnation;
}

/*
 * Refutes a wrong report of this node's state by raising its sequence number
 * above that of the report.
 */
static void
refute(
    struct member_table *t, uint64_t now, enum member_state state, uint32_t seq)
{
	struct member_slot *s = &t->slots[t->self];

	if (t->leaving || seq < s->info.seq ||
	    (seq == s->info.seq && state == MEMBER_ALIVE))
		return;
	s->info.seq = seq + 1;
	t->dirty = 1;
	member_queue_change(t, s, MEMBER_SPREAD_URGENT);
	t->next_gossip_ms = now;
}

/*
 * Merges an entry for this node's address.  A report of this process is refuted
 * if it is wrong.  If the entry names another process that appears to be the
 * later one, this node raises its own epoch.
 */
static void
merge_self(struct member_table *t, uint64_t now, const struct member_entry *e)
{
	struct member_slot *s = &t->slots[t->self];

	if (e->name.incarnation == s->info.id.incarnation) {
		refute(t, now, (enum member_state)e->state, e->seq);
	} else if (!t->leaving && is_later_process(e, &s->info)) {
		s->info.epoch = e->name.epoch + 1;
		member_table_publish_self(t, now);
	}
}

/*
 * Adds an unknown member.  Dead members are added too, because they must be
 * counted and probed again, unless they died longer ago than the retention
 * time.
 */
static void
merge_new_member(
    struct member_table *t, uint64_t now, const struct member_entry *e)
{
	enum member_state state = (enum member_state)e->state;
	uint64_t age = (uint64_t)e->age_s * 1000;
	struct member_slot *s;

	if (state == MEMBER_LEFT || state == MEMBER_SUSPECT ||
	    (state == MEMBER_DEAD && age >= MEMBER_DEAD_RETENTION_MS) ||
	    t->count == MEMBER_COUNT_MAX)
		return;
	s = member_add_slot(t, e->name.addr, (uint16_t)e->name.port);
	copy_new_process(s, e);
	s->info.peer_port = (uint16_t)e->peer_port;
	s->info.state_since_ms = now > age ? now - age : 0;
	s->info.state = state;
	t->dirty = 1;
	t->sync_changes += (uint32_t)t->merging_page;
	t->alive += state == MEMBER_ALIVE;
	if (!t->merging_page)
		member_queue_change(t, s, MEMBER_SPREAD_SOME);
	if (state != MEMBER_ALIVE)
		return;
	member_insert_probe_target(t, member_slot_handle(t, s));
	member_report_event(t, MEMBER_JOINED, s);
}

/*
 * Replaces a process by a later one at the same address and port.  The later
 * process proves that the earlier one is dead.
 */
static void
replace_process(struct member_table *t, uint64_t now, struct member_slot *s,
    const struct member_entry *e)
{
	enum member_state state = (enum member_state)e->state;

	if (state == MEMBER_SUSPECT)
		return;
	if (member_is_up(s->info.state)) {
		t->alive -= s->info.state == MEMBER_ALIVE;
		s->info.state = MEMBER_DEAD;
		member_report_event(t, MEMBER_DIED, s);
	}
	s->info.config_version = 0;
	memset(&s->info.server, 0, sizeof(s->info.server));
	copy_new_process(s, e);
	s->info.state_since_ms = now;
	s->info.state = state;
	s->accused_by_self = 0;
	t->alive += state == MEMBER_ALIVE;
	t->dirty = 1;
	t->sync_changes += (uint32_t)t->merging_page;
	member_queue_change(t, s, MEMBER_SPREAD_SOME);
	if (state != MEMBER_ALIVE)
		return;
	member_insert_probe_target(t, member_slot_handle(t, s));
	member_report_event(t, MEMBER_JOINED, s);
}

/*
 * Schedules an early probe of a live member that was reported dead.  The report
 * alone doesn't change the state: after a network partition heals, each side
 * receives such reports about every member of the other side.
 */
static void
schedule_verification(struct member_table *t, const struct member_slot *s)
{
	uint32_t h = member_slot_handle(t, s), i;

	if (s->info.state != MEMBER_ALIVE ||
	    t->reported_dead_len == MEMBER_VERIFY_MAX)
		return;
	for (i = 0; i < t->reported_dead_len; i++) {
		if (t->reported_dead[i] == h)
			return;
	}
	t->reported_dead[t->reported_dead_len++] = h;
}

/*
 * Merges a reported state of a known process.
 */
static void
merge_state(struct member_table *t, uint64_t now, struct member_slot *s,
    enum member_state state, uint32_t seq)
{
	if (seq < s->info.seq ||
	    (seq == s->info.seq &&
		state_ranks[state] <= state_ranks[s->info.state]))
		return;
	if (state == MEMBER_DEAD && member_is_up(s->info.state)) {
		schedule_verification(t, s);
		return;
	}
	t->sync_changes += (uint32_t)t->merging_page;
	member_set_state(t, now, s, state, seq);
}

/*
 * Merges an entry of a known process.  The load is accepted only from the
 * member itself, because it changes faster than gossip spreads it.
 */
static void
merge_known_process(struct member_table *t, uint64_t now, struct member_slot *s,
    const struct member_entry *e, int direct)
{
	if (direct && s->info.state == MEMBER_SUSPECT)
		s->deadline_ms = now + member_suspicion_timeout_ms(t);
	if (e->config_version > s->info.config_version)
		s->info.config_version = e->config_version;
	if (direct && e->server != NULL && e->rev == s->info.rev)
		s->info.server.load = e->server->load;
	merge_state(t, now, s, (enum member_state)e->state, e->seq);
	if (e->rev <= s->info.rev || e->state != MEMBER_ALIVE)
		return;
	copy_member_data(s, e);
	s->full_entry = 1;
	t->dirty = 1;
	t->sync_changes += (uint32_t)t->merging_page;
	member_queue_change(t, s, MEMBER_SPREAD_URGENT);
}

/*
 * Merges a status from a message if it concerns a known process.
 */
void
member_merge_status(
    struct member_table *t, uint64_t now, const struct member_status *st)
{
	struct member_slot *s;
	uint32_t state = st->port_state & UINT16_MAX;

	s = member_table_find(t, st->addr, (uint16_t)(st->port_state >> 16));
	if (s == NULL || s->info.id.incarnation != st->incarnation ||
	    state >= MEMBER_STATE_MAX)
		return;
	if (member_slot_handle(t, s) == t->self)
		refute(t, now, (enum member_state)state, st->seq);
	else
		merge_state(t, now, s, (enum member_state)state, st->seq);
}

/*
 * Merges an entry from a message.  The entry is direct if its member sent the
 * message itself.
 */
void
member_merge_entry(struct member_table *t, uint64_t now,
    const struct member_entry *e, int direct)
{
	struct member_slot *s;

	if (!entry_is_valid(e))
		return;
	s = member_table_find(t, e->name.addr, (uint16_t)e->name.port);
	if (s == NULL)
		merge_new_member(t, now, e);
	else if (member_slot_handle(t, s) == t->self)
		merge_self(t, now, e);
	else if (s->info.id.incarnation == e->name.incarnation)
		merge_known_process(t, now, s, e, direct);
	else if (is_later_process(e, &s->info))
		replace_process(t, now, s, e);
}
