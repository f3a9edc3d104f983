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
	struct fleet_departed_server *d = &p->departed_server;
	const struct fleet_server *s = &p->server;

	if (b->server.away == FLEET_LEAVING && b->server.id[0] != '\0') {
		snprintf(d->id, sizeof(d->id), "%s", b->server.id);
		d->started_by_ms = b->server.born_ms;
	} else if (b->server.id[0] == '\0' && s->id[0] != '\0' &&
		   b->incarnation == p->incarnation) {
		memcpy(d->id, s->id, sizeof(d->id));
		d->started_by_ms = s->process_started_ms;
	}
}

/*
 * Returns whether a server with an id and start time (Unix ms, 0: unknown) is
 * the departed one or an earlier process under its id.  A process that is
 * restarted under the same id has a later start time.
 */
int
fleet_server_has_departed(
    const struct fleet_departed_server *d, const char *id, uint64_t born_ms)
{
	return id[0] != '\0' && strcmp(d->id, id) == 0 &&
	       (born_ms == 0 || d->started_by_ms == 0 ||
		   born_ms <= d->started_by_ms);
}
