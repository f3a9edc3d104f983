#include <stdio.h>
#include <string.h>

#include "fleet/fleet.h"

/*
 * Servers that said to the node beside them that they end.  A node that starts
 * again has forgotten that; the others haven't, and a late announcement by the
 * server may say otherwise.
 */

/*
 * Notes from a beat, before it is taken, that the server beside a node ends:
 * it says so, or it is gone while the node itself goes on.
 */
void
fleet_note_left(struct fleet_peer *p, const struct fleet_beat *b)
{
	const struct fleet_server *s = &p->server;

	if (b->server.away == FLEET_LEAVING && b->server.id[0] != '\0') {
		snprintf(p->left_id, sizeof(p->left_id), "%s", b->server.id);
		p->left_born_ms = b->server.born_ms;
	} else if (b->server.id[0] == '\0' && s->id[0] != '\0' &&
		   b->incarnation == p->incarnation) {
		memcpy(p->left_id, s->id, sizeof(p->left_id));
		p->left_born_ms = s->born_ms;
	}
}

/*
 * Tells whether two ids and times of birth (Unix ms, 0: not known) are those of
 * one server process.  One that starts again under its id was born later.
 */
int
fleet_same_server(
    const char *id, uint64_t born_ms, const char *other, uint64_t other_born_ms)
{
	return strcmp(id, other) == 0 &&
	       (born_ms == 0 || other_born_ms == 0 || born_ms == other_born_ms);
}

/*
 * Tells whether a server beside a node has said before that it ends.
 */
int
fleet_has_left(const struct fleet_peer *p, const struct fleet_server_state *s)
{
	return s->id[0] != '\0' && fleet_same_server(p->left_id,
				       p->left_born_ms, s->id, s->born_ms);
}
