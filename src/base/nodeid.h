#ifndef BASE_NODEID_H
#define BASE_NODEID_H

#include <stdint.h>

/*
 * Names one process: its address and RPC port (host byte order) and the
 * random number it drew when it started.
 */
struct node_id {
	uint32_t addr;
	uint16_t rpc_port;
	uint64_t incarnation;
};

#define NODE_ID_TEXT 48 /* bytes that nodeid_format() writes at most */

int nodeid_equal(const struct node_id *, const struct node_id *);
int nodeid_is_none(const struct node_id *);
void nodeid_format(const struct node_id *, char *);

#endif
