#include <string.h>

#include "member/member_int.h"

#define CONFIG_REPORT_PERIOD_MS 1000

typedef void (*message_handler)(struct member_table *, uint64_t,
    const struct member_message *, const struct node_id *);

static void on_ping(struct member_table *, uint64_t,
    const struct member_message *, const struct node_id *);
static void on_ack(struct member_table *, uint64_t,
    const struct member_message *, const struct node_id *);
static void on_ping_req(struct member_table *, uint64_t,
    const struct member_message *, const struct node_id *);
static void on_relayed_ack(struct member_table *, uint64_t,
    const struct member_message *, const struct node_id *);
static void on_sync(struct member_table *, uint64_t,
    const struct member_message *, const struct node_id *);
static void on_sync_reply(struct member_table *, uint64_t,
    const struct member_message *, const struct node_id *);
static struct member_probe *find_probe(struct member_table *, uint32_t);
static void update_latest_config(
    struct member_table *, uint64_t, const struct member_message *);

static const message_handler handlers[] = {
	[MEMBER_PING] = on_ping,
	[MEMBER_ACK] = on_ack,
	[MEMBER_PING_REQ] = on_ping_req,
	[MEMBER_RELAYED_ACK] = on_relayed_ack,
	[MEMBER_GOSSIP] = NULL,
	[MEMBER_SYNC] = on_sync,
	[MEMBER_SYNC_REPLY] = on_sync_reply,
	[MEMBER_PAGE] = NULL,
};

/*
 * Merges the contents of a message and runs the handler of its kind.
 */
void
member_table_receive(
    struct member_table *t, uint64_t now, const struct member_message *msg)
{
	struct node_id from = { msg->self.name.addr,
		(uint16_t)msg->self.name.port, msg->self.name.incarnation };
	struct member_slot *s = &t->slots[t->self];
	u_int i;

	if ((u_int)msg->kind >= G_N_ELEMENTS(handlers))
		return;
	if (from.addr == s->info.id.addr &&
	    from.rpc_port == s->info.id.rpc_port) {
		member_merge_entry(t, now, &msg->self, 0);
		return;
	}
	member_merge_entry(t, now, &msg->self, 1);
	t->merging_page = msg->kind == MEMBER_PAGE;
	for (i = 0; i < msg->entries.entries_len; i++)
		member_merge_entry(t, now, &msg->entries.entries_val[i], 0);
	t->merging_page = 0;
	for (i = 0; i < msg->statuses.statuses_len; i++)
		member_merge_status(t, now, &msg->statuses.statuses_val[i]);
	update_latest_config(t, now, msg);
	if (handlers[msg->kind] != NULL)
		handlers[msg->kind](t, now, msg, &from);
}

/*
 * Answers a probe.
 */
static void
on_ping(struct member_table *t, uint64_t now, const struct member_message *msg,
    const struct node_id *from)
{
	member_send_changes(t, now, MEMBER_ACK, from, msg->nonce);
}

/*
 * Returns the unanswered probe with a nonce, or NULL.
 */
static struct member_probe *
find_probe(struct member_table *t, uint32_t nonce)
{
	int i;

	for (i = 0; i < MEMBER_PROBES_MAX; i++) {
		if (t->probes[i].used && t->probes[i].nonce == nonce)
			return &t->probes[i];
	}
	return NULL;
}

/*
 * Ends the probe that was answered.  The age of the last log read is counted
 * from the time when the probe was sent, because a delayed answer would make
 * the read look more recent than it was.  The answer to a probe made for
 * another member is relayed to that member.
 */
static void
on_ack(struct member_table *t, uint64_t now, const struct member_message *msg,
    const struct node_id *from)
{
	struct member_probe *p = find_probe(t, msg->nonce);
	struct member_relay *r;
	int i;

	(void)from;
	if (p != NULL) {
		p->used = 0;
		member_count_probe(t, now, 1);
		if (msg->log_age_ms < p->sent_ms)
			member_record_log_read(t, p->sent_ms - msg->log_age_ms);
		return;
	}
	for (i = 0; i < MEMBER_RELAYS_MAX; i++) {
		r = &t->relays[i];
		if (r->origin.addr == 0 || r->nonce != msg->nonce)
			continue;
		member_send_changes(
		    t, now, MEMBER_RELAYED_ACK, &r->origin, r->origin_nonce);
		r->origin.addr = 0;
	}
}

/*
 * Probes a target on behalf of another member.
 */
static void
on_ping_req(struct member_table *t, uint64_t now,
    const struct member_message *msg, const struct node_id *from)
{
	struct node_id target = { msg->target_addr, (uint16_t)msg->target_port,
		0 };
	struct member_relay *r;

	r = &t->relays[t->relay_pos++ % MEMBER_RELAYS_MAX];
	r->origin = *from;
	r->origin_nonce = msg->nonce;
	r->nonce = t->next_nonce++;
	member_send_bare_ping(t, now, &target, r->nonce);
}

/*
 * Ends a probe whose target answered another member.
 */
static void
on_relayed_ack(struct member_table *t, uint64_t now,
    const struct member_message *msg, const struct node_id *from)
{
	struct member_probe *p = find_probe(t, msg->nonce);

	(void)from;
	if (p == NULL)
		return;
	p->used = 0;
	member_count_probe(t, now, 1);
}

/*
 * Sends the entries that differ from the sender's table and asks the sender
 * for its own.
 */
static void
on_sync(struct member_table *t, uint64_t now, const struct member_message *msg,
    const struct node_id *from)
{
	member_answer_sync(t, now, msg);
	member_send_digests(t, now, MEMBER_SYNC_REPLY, from);
}

/*
 * Sends the entries that differ from the sender's table.
 */
static void
on_sync_reply(struct member_table *t, uint64_t now,
    const struct member_message *msg, const struct node_id *from)
{
	(void)from;
	member_answer_sync(t, now, msg);
}

/*
 * Records the highest configuration version known and a node that has it.
 * The sender is preferred if it has that version, because it was reachable
 * just now.
 */
static void
update_latest_config(
    struct member_table *t, uint64_t now, const struct member_message *msg)
{
	if (msg->self.config_version >= msg->config.number &&
	    msg->self.config_version >= t->config_version) {
		t->config_version = msg->self.config_version;
		t->config_addr = msg->self.name.addr;
		t->config_peer_port = (uint16_t)msg->self.peer_port;
	} else if (msg->config.number > t->config_version) {
		t->config_version = msg->config.number;
		t->config_addr = msg->config.addr;
		t->config_peer_port = (uint16_t)msg->config.peer_port;
	} else {
		return;
	}
	member_report_later_config(t, now);
}

/*
 * Records a log read (ms) by any node; 0 means none.  A message that reports a
 * read also carries the latest version that the read returned, so this node
 * knows of that version by now.  If its own configuration is no earlier than
 * the latest known version, it was the latest one at that read.
 */
void
member_record_log_read(struct member_table *t, uint64_t read_ms)
{
	t->log_read_ms = MAX(t->log_read_ms, read_ms);
	if (t->slots[t->self].info.config_version >= t->config_version)
		t->config_current_ms = t->log_read_ms;
}

/*
 * Reports to the table's owner that another node has a later configuration,
 * and repeats the report every CONFIG_REPORT_PERIOD_MS while that is so.
 */
void
member_report_later_config(struct member_table *t, uint64_t now)
{
	struct member_info holder;

	if (t->config_version <= t->slots[t->self].info.config_version ||
	    now < t->next_config_report_ms || t->callbacks.on_event == NULL)
		return;
	t->next_config_report_ms = now + CONFIG_REPORT_PERIOD_MS;
	memset(&holder, 0, sizeof(holder));
	holder.id.addr = t->config_addr;
	holder.peer_port = t->config_peer_port;
	t->callbacks.on_event(
	    t->callbacks.ctx, MEMBER_CONFIG_SEEN, &holder, t->config_version);
}

/*
 * Adds the result of one probe to the counts of the last seconds.
 */
void
member_count_probe(struct member_table *t, uint64_t now, int answered)
{
	struct member_probe_counts *w =
	    &t->probe_counts[now / 1000 % MEMBER_PROBE_WINDOW_S];

	if (w->second != now / 1000) {
		w->second = now / 1000;
		w->probed = w->answered = 0;
	}
	w->probed++;
	w->answered += answered != 0;
}

/*
 * Sums the probe counts of the last seconds, at most MEMBER_PROBE_WINDOW_S.
 */
void
member_sum_probes(const struct member_table *t, uint64_t now, uint32_t seconds,
    uint32_t *probed, uint32_t *answered)
{
	const struct member_probe_counts *w;

	*probed = *answered = 0;
	for (w = t->probe_counts; w < t->probe_counts + MEMBER_PROBE_WINDOW_S;
	     w++) {
		if (w->second + seconds <= now / 1000)
			continue;
		*probed += w->probed;
		*answered += w->answered;
	}
}
