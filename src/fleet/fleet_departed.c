#include <stdio.h>
#include <string.h>

#include "fleet/fleet.h"

/*
 * Remembers the servers that announced their shutdown to their node.  A node
 * loses this state in a restart and may then receive a late announcement that
 * shows the server as available.  The other nodes remind it.
 */

/*
 * Notes before a heartbeat is applied that the server of a node shuts down: the
 * heartbeat says so, or the server is absent from it although the node has not
 * restarted.
 */
void
fleet_note_departure(struct fleet_peer *p, const struct fleet_heartbeat *b)
{
	const struct fleet_server *s = &p->server;

	if (b->server.away == FLEET_LEAVING && b->server.id[0] != '\0') {
		snprintf(p->departed_server_id, sizeof(p->departed_server_id),
		    "%s", b->server.id);
		p->departed_server_started_ms = b->server.born_ms;
	} else if (b->server.id[0] == '\0' && s->id[0] != '\0' &&
		   b->incarnation == p->incarnation) {
		memcpy(p->departed_server_id, s->id,
		    sizeof(p->departed_server_id));
		p->departed_server_started_ms = s->process_started_ms;
	}
}

/*
 * Returns whether two ids and start times (Unix ms, 0: unknown) belong to one
 * server process.  A process restarted under the same id has a later start
 * time.
 */
int
fleet_same_server(
    const char *id, uint64_t born_ms, const char *other, uint64_t other_born_ms)
{
	return strcmp(id, other) == 0 &&
	       (born_ms == 0 || other_born_ms == 0 || born_ms == other_born_ms);
}

/*
 * Returns whether a server of a node has announced its shutdown before.
 */
int
fleet_server_has_departed(
    const struct fleet_peer *p, const struct fleet_server_state *s)
{
	return s->id[0] != '\0' &&
	       fleet_same_server(p->departed_server_id,
		   p->departed_server_started_ms, s->id, s->born_ms);
}
