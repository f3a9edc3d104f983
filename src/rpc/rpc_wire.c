#include <errno.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rpc/rpc_int.h"

/* The words of a call up to its body. */
enum call_word {
	WORD_XID,
	WORD_DIRECTION,
	WORD_RPC_VERSION,
	WORD_PROGRAM,
	WORD_VERSION,
	WORD_PROC,
	WORD_CRED_FLAVOR,
	WORD_CRED_LEN,
	WORD_VERF_FLAVOR,
	WORD_VERF_LEN,
	WORD_BODY_LEN = WORD_VERF_LEN + 14,
	WORD_MAX
};

static void put_u32(crypto_generichash_state *, uint32_t);
static void put_u64(crypto_generichash_state *, uint64_t);
static void mac(const struct rpc_envelope *, const struct rpc_settings *,
    uint32_t, enum rpc_direction, uint8_t *);

/*
 * Returns the domain of this module's errors.
 */
GQuark
rpc_error_quark(void)
{
	return g_quark_from_static_string("rpc");
}

/*
 * Fills in what a server and a client share: the process's own name and the
 * secret of all peers.  Returns -1 if the secret is too short or too long.
 */
int
rpc_settings_init(struct rpc_settings *s, const struct node_id *self,
    const void *secret, size_t len, GError **error)
{
	memset(s, 0, sizeof(*s));
	if (len < RPC_SECRET_MIN || len > RPC_SECRET_MAX) {
		g_set_error(error, RPC_ERROR, RPC_ERROR_SECRET,
		    "the peers' secret has %zu bytes, not %d to %d", len,
		    RPC_SECRET_MIN, RPC_SECRET_MAX);
		return -1;
	}
	s->self = *self;
	memcpy(s->secret, secret, len);
	s->secret_len = len;
	return 0;
}

/*
 * Encodes and decodes nothing: for procedures without argument or result.
 */
bool_t
rpc_xdr_none(XDR *xdrs, ...)
{
	(void)xdrs;
	return TRUE;
}

/*
 * Adds 32 bits to a MAC in network byte order.
 */
static void
put_u32(crypto_generichash_state *st, uint32_t v)
{
	uint32_t be = htonl(v);

	crypto_generichash_update(st, (const uint8_t *)&be, sizeof(be));
}

/*
 * Adds 64 bits to a MAC in network byte order.
 */
static void
put_u64(crypto_generichash_state *st, uint64_t v)
{
	put_u32(st, (uint32_t)(v >> 32));
	put_u32(st, (uint32_t)v);
}

/*
 * Computes the MAC of an envelope into RPC_MAC_BYTES bytes.
 */
static void
mac(const struct rpc_envelope *env, const struct rpc_settings *s, uint32_t proc,
    enum rpc_direction dir, uint8_t *out)
{
	crypto_generichash_state st;

	crypto_generichash_init(&st, s->secret, s->secret_len, RPC_MAC_BYTES);
	put_u32(&st, env->format);
	put_u32(&st, dir);
	put_u32(&st, proc);
	put_u32(&st, env->addr);
	put_u32(&st, env->port);
	put_u64(&st, env->incarnation);
	put_u64(&st, env->to);
	put_u64(&st, env->nonce);
	crypto_generichash_update(
	    &st, (const uint8_t *)env->body.body_val, env->body.body_len);
	crypto_generichash_final(&st, out, RPC_MAC_BYTES);
}

/*
 * Fills in the sender and the MAC of an envelope that is otherwise complete.
 */
void
rpc_seal(struct rpc_envelope *env, const struct rpc_settings *s, uint32_t proc,
    enum rpc_direction dir)
{
	env->addr = s->self.addr;
	env->port = s->self.rpc_port;
	env->incarnation = s->self.incarnation;
	mac(env, s, proc, dir, (uint8_t *)env->mac);
}

/*
 * Tells whether an envelope bears the MAC of a holder of the secret.
 */
int
rpc_verify(const struct rpc_envelope *env, const struct rpc_settings *s,
    uint32_t proc, enum rpc_direction dir)
{
	uint8_t want[RPC_MAC_BYTES];

	mac(env, s, proc, dir, want);
	return sodium_memcmp(want, env->mac, RPC_MAC_BYTES) == 0;
}

/*
 * Encodes an argument or result into the body, which must have memory of
 * RPC_BODY_MAX bytes.  Returns -1 if it doesn't fit.
 */
int
rpc_body_encode(struct rpc_envelope *env, xdrproc_t xdr, const void *val)
{
	XDR xdrs;
	int ok;

	xdrmem_create(&xdrs, env->body.body_val, RPC_BODY_MAX, XDR_ENCODE);
	ok = (*xdr)(&xdrs, (void *)(uintptr_t)val);
	env->body.body_len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return ok ? 0 : -1;
}

/*
 * Decodes the body into zeroed memory.  Returns -1, with nothing left to
 * free, if the body is wrong or has bytes to spare.
 */
int
rpc_body_decode(const struct rpc_envelope *env, xdrproc_t xdr, void *val)
{
	XDR xdrs;
	int ok;

	xdrmem_create(
	    &xdrs, env->body.body_val, env->body.body_len, XDR_DECODE);
	ok = (*xdr)(&xdrs, val);
	ok = ok && xdr_getpos(&xdrs) == env->body.body_len;
	xdr_destroy(&xdrs);
	if (!ok)
		xdr_free(xdr, val);
	return ok ? 0 : -1;
}

/*
 * Names the process that sent an envelope.
 */
void
rpc_envelope_sender(const struct rpc_envelope *env, struct node_id *id)
{
	id->addr = env->addr;
	id->rpc_port = (uint16_t)env->port;
	id->incarnation = env->incarnation;
}

/*
 * Encodes a whole call.  Returns its length in bytes, or -1.
 */
int
rpc_call_encode(char *buf, size_t size, uint32_t xid, uint32_t proc,
    struct rpc_envelope *env)
{
	struct rpc_msg msg;
	XDR xdrs;
	int len = -1;

	memset(&msg, 0, sizeof(msg));
	msg.rm_xid = xid;
	msg.rm_direction = CALL;
	msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	msg.rm_call.cb_prog = RPC_PROGRAM;
	msg.rm_call.cb_vers = RPC_PROGRAM_VERSION;
	msg.rm_call.cb_proc = proc;
	msg.rm_call.cb_cred = _null_auth;
	msg.rm_call.cb_verf = _null_auth;
	xdrmem_create(&xdrs, buf, (u_int)size, XDR_ENCODE);
	if (xdr_callmsg(&xdrs, &msg) && xdr_rpc_envelope(&xdrs, env))
		len = (int)xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return len;
}

/*
 * Decodes an answer into an envelope whose body has memory of RPC_BODY_MAX
 * bytes.  Returns -1 if it isn't a successful answer.
 */
int
rpc_answer_decode(
    char *buf, size_t len, uint32_t *xid, struct rpc_envelope *env)
{
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg;
	XDR xdrs;
	int ok;

	memset(&msg, 0, sizeof(msg));
	msg.acpted_rply.ar_verf.oa_base = verf;
	msg.acpted_rply.ar_results.where = (caddr_t)env;
	msg.acpted_rply.ar_results.proc = (xdrproc_t)xdr_rpc_envelope;
	xdrmem_create(&xdrs, buf, (u_int)len, XDR_DECODE);
	ok = xdr_replymsg(&xdrs, &msg);
	xdr_destroy(&xdrs);
	*xid = msg.rm_xid;
	return ok && msg.rm_direction == REPLY &&
		       msg.rm_reply.rp_stat == MSG_ACCEPTED &&
		       msg.acpted_rply.ar_stat == SUCCESS
		   ? 0
		   : -1;
}

/*
 * Tells from its first bytes whether a datagram may be a call of ours.  What
 * isn't is dropped before the library can answer it or parse credentials.
 */
int
rpc_call_acceptable(const char *buf, size_t have, size_t len)
{
	uint32_t w[WORD_MAX];
	int i;

	if (have < sizeof(w))
		return 0;
	memcpy(w, buf, sizeof(w));
	for (i = 0; i < WORD_MAX; i++)
		w[i] = ntohl(w[i]);
	if (w[WORD_BODY_LEN] > RPC_BODY_MAX ||
	    len != sizeof(w) + RNDUP(w[WORD_BODY_LEN]))
		return 0;
	return w[WORD_DIRECTION] == CALL &&
	       w[WORD_RPC_VERSION] == RPC_MSG_VERSION &&
	       w[WORD_PROGRAM] == RPC_PROGRAM &&
	       w[WORD_VERSION] == RPC_PROGRAM_VERSION &&
	       w[WORD_CRED_FLAVOR] == AUTH_NONE && w[WORD_CRED_LEN] == 0 &&
	       w[WORD_VERF_FLAVOR] == AUTH_NONE && w[WORD_VERF_LEN] == 0;
}

/*
 * Opens a non-blocking UDP socket on a node's address and RPC port; port 0
 * takes any.  Returns -1 on failure.
 */
int
rpc_socket(const struct node_id *id, GError **error)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int size = RPC_SOCKET_BYTES, fd;

	sin.sin_addr.s_addr = htonl(id->addr);
	sin.sin_port = htons(id->rpc_port);
	fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd == -1 || bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == -1) {
		g_set_error(error, RPC_ERROR, RPC_ERROR_SOCKET,
		    "RPC port %u: %s", id->rpc_port, g_strerror(errno));
		if (fd != -1)
			close(fd);
		return -1;
	}
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	return fd;
}
