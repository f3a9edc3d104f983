#ifndef RPC_RPC_H
#define RPC_RPC_H

#include <netinet/in.h>
#include <rpc/rpc.h>
#include <stddef.h>
#include <stdint.h>

#include "base/nodeid.h"

/*
 * Procedures of all duties share one ONC RPC program over UDP; each duty has
 * a block of a hundred numbers.
 */
#define RPC_BLOCK_MEMBER 100
#define RPC_BLOCK_LEASE 200
#define RPC_BLOCK_LIMITS 300
#define RPC_BLOCK_ONCE 400
#define RPC_BLOCK_QUARANTINE 500
#define RPC_BLOCK_CONFIG 600

#define RPC_BODY_MAX 1200 /* bytes of an encoded argument or result */

/*
 * One procedure: how its argument and result are encoded, and what serves
 * it.  The handler runs on the server thread, must not block, and returns 0,
 * or -1 to send no answer.
 */
struct rpc_proc {
	uint32_t proc;
	xdrproc_t arg_xdr;
	size_t arg_size;
	xdrproc_t res_xdr;
	size_t res_size;
	int (*handle)(void *, const struct sockaddr_in *, const void *, void *);
};

enum rpc_status {
	RPC_DONE,
	RPC_TIMEOUT,	 /* no answer; it may have been served */
	RPC_UNREACHABLE, /* the address refused it */
	RPC_REJECTED,	 /* answered, but wrong: secret, version, encoding */
	RPC_STATUS_MAX
};

struct rpc_server;
struct rpc_client;

/*
 * The way other duties call peers; a function so that tests can stand in.
 * The result is decoded into memory of res_size bytes, to be freed with
 * xdr_free() by the caller when the status is RPC_DONE.
 */
typedef enum rpc_status (*rpc_call_fn)(void *, const struct node_id *,
    const struct rpc_proc *, const void *, void *, uint32_t);

#endif
