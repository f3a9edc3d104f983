/*
 * The envelope of every call and every answer.  The MAC is a BLAKE2b keyed
 * with the peers' secret over all other fields, the procedure number and
 * the direction; an answer carries the nonce of its call.
 */
const RPC_BODY_BYTES = 1200;
const RPC_MAC_BYTES = 16;

struct rpc_envelope {
	unsigned int format;
	unsigned int addr;
	unsigned int port;
	unsigned hyper incarnation;
	unsigned hyper to;
	unsigned hyper nonce;
	opaque mac[RPC_MAC_BYTES];
	opaque body<RPC_BODY_BYTES>;
};
