#include <inttypes.h>
#include <stdio.h>

#include "base/nodeid.h"

/*
 * Tells whether both name the same process.
 */
int
nodeid_equal(const struct node_id *a, const struct node_id *b)
{
	return a->addr == b->addr && a->rpc_port == b->rpc_port &&
	       a->incarnation == b->incarnation;
}

/*
 * Tells whether the name is empty.
 */
int
nodeid_is_none(const struct node_id *id)
{
	return id->addr == 0 && id->rpc_port == 0;
}

/*
 * Writes address:port/incarnation into a buffer of NODE_ID_TEXT bytes.
 */
void
nodeid_format(const struct node_id *id, char *buf)
{
	snprintf(buf, NODE_ID_TEXT, "%u.%u.%u.%u:%u/%016" PRIx64,
	    id->addr >> 24, id->addr >> 16 & 255, id->addr >> 8 & 255,
	    id->addr & 255, id->rpc_port, id->incarnation);
}
