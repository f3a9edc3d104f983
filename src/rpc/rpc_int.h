#ifndef RPC_RPC_INT_H
#define RPC_RPC_INT_H

#include "rpc/rpc.h"
#include "rpc/rpc_xdr.h"

#define RPC_PROGRAM 0x2000c7a1 /* in the range for private use */
#define RPC_PROGRAM_VERSION 1
#define RPC_FORMAT 1	   /* of the envelope */
#define RPC_FORMAT_OTHER 2 /* answer: another process has this port now */

#define RPC_DATAGRAM_MAX 1472 /* bytes; fits an Ethernet frame */
#define RPC_SOCKET_BYTES (4 * 1024 * 1024)

enum rpc_direction {
	RPC_DIR_CALL,
	RPC_DIR_ANSWER
};

void rpc_seal(struct rpc_envelope *, const struct rpc_settings *, uint32_t,
    enum rpc_direction);
int rpc_verify(const struct rpc_envelope *, const struct rpc_settings *,
    uint32_t, enum rpc_direction);
int rpc_body_encode(struct rpc_envelope *, xdrproc_t, const void *);
int rpc_body_decode(const struct rpc_envelope *, xdrproc_t, void *);
void rpc_envelope_sender(const struct rpc_envelope *, struct node_id *);
int rpc_call_encode(char *, size_t, uint32_t, uint32_t, struct rpc_envelope *);
int rpc_answer_decode(char *, size_t, uint32_t *, struct rpc_envelope *);
int rpc_call_acceptable(const char *, size_t, size_t);
int rpc_socket(const struct node_id *, GError **);

#endif
