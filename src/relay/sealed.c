#include <string.h>

#include "event/event.h"
#include "relay/relay_int.h"

/*
 * Seals on HTTP requests between nodes.  Only nodes that have the fleet's key
 * may use the port for other nodes.
 */

/*
 * Fills in the parts of a forwarded request that its seal covers.
 */
void
sealed_request_parts(const struct relay *r, struct h1_conn *conn,
    const char *hop, struct seal_request *q)
{
	const struct h1_head *h = h1_conn_head(conn);

	q->method = h1_conn_method(conn);
	q->target = h->buf + h->target;
	q->target_len = h->target_len;
	q->id = h1_head_get(h, r->set.names.request_id, &q->id_len);
	if (q->id == NULL)
		q->id_len = 0;
	q->hop = hop;
}

/*
 * Returns whether a request on the port for other nodes has a valid seal, and
 * counts it if it doesn't.
 */
int
sealed_verify(struct relay *r, struct h1_conn *conn)
{
	const struct h1_head *h = h1_conn_head(conn);
	struct seal_request q;
	char hop[RELAY_HOP_BYTES], hex[SEAL_HEX_BYTES];

	if (!r->seal.has_key)
		return 1;
	if (h1_head_copy(h, RELAY_HOP, hop, sizeof(hop)) < 0)
		hop[0] = '\0';
	if (h1_head_copy(h, RELAY_SEAL, hex, sizeof(hex)) < 0)
		hex[0] = '\0';
	sealed_request_parts(r, conn, hop, &q);
	if (seal_request_valid(&r->seal, &q, hex))
		return 1;
	r->counters[RELAY_EXIT_UNSEALED]++;
	return 0;
}

/*
 * Logs the counts of rejected messages if there were any since the last call.
 * They came from outside the fleet, or from a node with another key or
 * version.
 */
void
sealed_log_rejected(struct relay *r)
{
	uint64_t requests = r->counters[RELAY_EXIT_UNSEALED];
	uint64_t total = r->net.undecodable + r->net.seal_rejected + requests;

	if (total == r->rejected_logged)
		return;
	r->rejected_logged = total;
	event_log(EVENT_SEAL_REJECTED, relay_now(r),
	    "unreadable_datagrams=%llu unsealed_datagrams=%llu "
	    "unsealed_requests=%llu",
	    (unsigned long long)r->net.undecodable,
	    (unsigned long long)r->net.seal_rejected,
	    (unsigned long long)requests);
}
