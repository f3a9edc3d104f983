#ifndef RPC_RPC_H
#define RPC_RPC_H

#include <glib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stddef.h>
#include <stdint.h>

/* The library's header has the same name; src comes first in the path. */
#include_next <rpc/rpc.h>

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
#define RPC_PROCS_MAX 64  /* procedures of one server */
#define RPC_SECRET_MAX 64 /* bytes of the peers' secret */
#define RPC_SECRET_MIN 16

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

enum rpc_error {
	RPC_ERROR_SECRET, /* shorter or longer than allowed */
	RPC_ERROR_SOCKET, /* the socket can't be made or bound */
	RPC_ERROR_THREAD
};

#define RPC_ERROR (rpc_error_quark())

/*
 * The way other duties call peers; a function so that tests can stand in.
 * The result is decoded into memory of res_size bytes, to be freed with
 * xdr_free() by the caller when the status is RPC_DONE.
 */
typedef enum rpc_status (*rpc_call_fn)(void *, const struct node_id *,
    const struct rpc_proc *, const void *, void *, uint32_t);

/*
 * What a server and a client of one process share: the name by which peers
 * know it, and the address to bind where that isn't the same.  If the
 * callback is set
 * and returns non-zero for a peer, nothing is sent to it and nothing from it
 * is served; tests cut nodes off this way.
 */
struct rpc_settings {
	struct node_id self;
	struct node_id bind; /* address 0: that of self */
	uint8_t secret[RPC_SECRET_MAX];
	size_t secret_len;
	int (*cut)(void *, const struct node_id *);
	void *cut_ctx;
};

struct rpc_row {
	const struct rpc_proc *proc;
	void *ctx;
};

struct rpc_server {
	const struct rpc_settings *settings;
	struct rpc_row rows[RPC_PROCS_MAX];
	size_t rows_len;
	void *arg;
	void *res;
	struct node_id sender;
	SVCXPRT *xprt;
	pthread_t thread;
	int fd;
	int wake_fd;
	uint16_t port;
	int running;
};

struct rpc_pending;

#define RPC_BUCKETS 256 /* hash buckets of the calls in flight */

struct rpc_client {
	const struct rpc_settings *settings;
	struct rpc_pending *pending[RPC_BUCKETS];
	pthread_mutex_t lock;
	uint32_t next_xid;
	pthread_t thread;
	int fd;
	int wake_fd;
	int running;
	pthread_mutex_t refused_lock;
	void (*refused)(void *, const struct node_id *);
	void *refused_ctx;
};

/* One call among many: where to, its argument, and what came of it. */
struct rpc_item {
	struct node_id to;
	const void *arg;
	void *res;
	enum rpc_status status;
};

GQuark rpc_error_quark(void);
bool_t rpc_xdr_none(XDR *, ...);
int rpc_settings_init(struct rpc_settings *, const struct node_id *,
    const void *, size_t, GError **);

int rpc_server_init(struct rpc_server *, struct rpc_settings *, GError **);
void rpc_server_register(
    struct rpc_server *, const struct rpc_proc *, size_t, void *);
int rpc_server_start(struct rpc_server *, GError **);
void rpc_server_finish(struct rpc_server *);
uint16_t rpc_server_port(const struct rpc_server *);
const struct node_id *rpc_sender(void);

int rpc_client_init(
    struct rpc_client *, const struct rpc_settings *, GError **);
void rpc_client_finish(struct rpc_client *);
void rpc_client_on_refused(
    struct rpc_client *, void (*)(void *, const struct node_id *), void *);
enum rpc_status rpc_client_call(void *, const struct node_id *,
    const struct rpc_proc *, const void *, void *, uint32_t);
void rpc_client_call_many(struct rpc_client *, const struct rpc_proc *,
    struct rpc_item *, size_t, uint32_t);
enum rpc_status rpc_client_notify(struct rpc_client *, const struct node_id *,
    const struct rpc_proc *, const void *);

#endif
