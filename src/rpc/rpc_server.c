#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>

#include "base/counter.h"
#include "base/logline.h"
#include "rpc/rpc_int.h"

#define PEEK_BYTES 96 /* a call up to its body */
#define BATCH_MAX 64  /* datagrams served between two looks at the eventfd */

static const struct rpc_row *find_row(const struct rpc_server *, uint32_t);
static void drop(void);
static int open_call(
    struct rpc_server *, const struct svc_req *, struct rpc_envelope *);
static void serve_call(struct rpc_server *, const struct rpc_row *,
    const struct sockaddr_in *, SVCXPRT *, struct rpc_envelope *);
static void answer(
    struct rpc_server *, SVCXPRT *, uint32_t, struct rpc_envelope *);
static void dispatch(struct svc_req *, SVCXPRT *);
static int serve_one(struct rpc_server *);
static void *serve(void *);

/* The library's dispatch function has no context; each server's loop sets
 * this for its own thread. */
static _Thread_local struct rpc_server *serving;

/*
 * Binds a server's socket.  If the settings name port 0, the port taken is
 * written into them.  Procedures may be registered until the server starts.
 */
int
rpc_server_init(struct rpc_server *srv, struct rpc_settings *s, GError **error)
{
	struct sockaddr_in sin = { 0 };
	socklen_t len = sizeof(sin);

	memset(srv, 0, sizeof(*srv));
	srv->wake_fd = -1;
	srv->settings = s;
	srv->fd = rpc_socket(s->bind.addr != 0 ? &s->bind : &s->self, error);
	if (srv->fd == -1)
		return -1;
	getsockname(srv->fd, (struct sockaddr *)&sin, &len);
	srv->port = ntohs(sin.sin_port);
	if (s->self.rpc_port == 0)
		s->self.rpc_port = srv->port;
	srv->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	srv->xprt = svc_dg_create(srv->fd, 0, 0);
	if (srv->wake_fd == -1 || srv->xprt == NULL ||
	    !svc_register(
		srv->xprt, RPC_PROGRAM, RPC_PROGRAM_VERSION, dispatch, 0)) {
		g_set_error(error, RPC_ERROR, RPC_ERROR_SOCKET,
		    "RPC service on port %u", s->self.rpc_port);
		rpc_server_finish(srv);
		return -1;
	}
	return 0;
}

/*
 * Returns the port that a server has bound.
 */
uint16_t
rpc_server_port(const struct rpc_server *srv)
{
	return srv->port;
}

/*
 * Adds procedures, which must outlive the server, with the context that
 * their handlers get.  Exits the process if there are too many.
 */
void
rpc_server_register(
    struct rpc_server *srv, const struct rpc_proc *procs, size_t len, void *ctx)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (srv->rows_len == RPC_PROCS_MAX)
			abort();
		srv->rows[srv->rows_len].proc = &procs[i];
		srv->rows[srv->rows_len].ctx = ctx;
		srv->rows_len++;
	}
}

/*
 * Starts the thread that serves calls.
 */
int
rpc_server_start(struct rpc_server *srv, GError **error)
{
	size_t arg = 1, res = 1, i;

	for (i = 0; i < srv->rows_len; i++) {
		arg = MAX(arg, srv->rows[i].proc->arg_size);
		res = MAX(res, srv->rows[i].proc->res_size);
	}
	srv->arg = calloc(1, arg);
	srv->res = calloc(1, res);
	if (srv->arg == NULL || srv->res == NULL ||
	    pthread_create(&srv->thread, NULL, serve, srv) != 0) {
		g_set_error(error, RPC_ERROR, RPC_ERROR_THREAD,
		    "RPC server thread: %s", g_strerror(errno));
		return -1;
	}
	srv->running = 1;
	return 0;
}

/*
 * Ends the thread after the call that it serves, and closes the socket.
 */
void
rpc_server_finish(struct rpc_server *srv)
{
	uint64_t one = 1;

	if (srv->running && write(srv->wake_fd, &one, sizeof(one)) > 0)
		pthread_join(srv->thread, NULL);
	srv->running = 0;
	if (srv->xprt != NULL)
		svc_destroy(srv->xprt);
	else if (srv->fd != -1)
		close(srv->fd);
	if (srv->wake_fd != -1)
		close(srv->wake_fd);
	free(srv->arg);
	free(srv->res);
	memset(srv, 0, sizeof(*srv));
	srv->fd = srv->wake_fd = -1;
}

/*
 * Names the process whose call is being served by this thread.  To be used
 * in handlers only.
 */
const struct node_id *
rpc_sender(void)
{
	return &serving->sender;
}

/*
 * Finds a registered procedure, or returns NULL.
 */
static const struct rpc_row *
find_row(const struct rpc_server *srv, uint32_t proc)
{
	size_t i;

	for (i = 0; i < srv->rows_len; i++) {
		if (srv->rows[i].proc->proc == proc)
			return &srv->rows[i];
	}
	return NULL;
}

/*
 * Counts a datagram that gets no answer.
 */
static void
drop(void)
{
	counter_add(CTR_RPC_BAD, 1);
}

/*
 * Decodes and checks the envelope of a call.  Returns -1 if the call gets no
 * answer.
 */
static int
open_call(
    struct rpc_server *srv, const struct svc_req *req, struct rpc_envelope *env)
{
	const struct rpc_settings *s = srv->settings;

	if (!svc_getargs(req->rq_xprt, (xdrproc_t)xdr_rpc_envelope, env))
		return -1;
	if (env->format != RPC_FORMAT || env->port > UINT16_MAX)
		return -1;
	if (!rpc_verify(env, s, req->rq_proc, RPC_DIR_CALL))
		return -1;
	rpc_envelope_sender(env, &srv->sender);
	return 0;
}

/*
 * Seals an envelope whose body is complete and sends it as the answer.
 */
static void
answer(struct rpc_server *srv, SVCXPRT *xprt, uint32_t proc,
    struct rpc_envelope *env)
{
	env->to = srv->sender.incarnation;
	rpc_seal(env, srv->settings, proc, RPC_DIR_ANSWER);
	if (svc_sendreply(xprt, (xdrproc_t)xdr_rpc_envelope, (char *)env))
		counter_add(CTR_RPC_BYTES_OUT, env->body.body_len);
}

/*
 * Decodes the argument, calls the handler and answers.
 */
static void
serve_call(struct rpc_server *srv, const struct rpc_row *row,
    const struct sockaddr_in *from, SVCXPRT *xprt, struct rpc_envelope *env)
{
	const struct rpc_proc *p = row->proc;

	memset(srv->arg, 0, p->arg_size);
	if (rpc_body_decode(env, p->arg_xdr, srv->arg) == -1) {
		drop();
		return;
	}
	memset(srv->res, 0, p->res_size);
	if (p->handle(row->ctx, from, srv->arg, srv->res) == 0) {
		if (rpc_body_encode(env, p->res_xdr, srv->res) == 0)
			answer(srv, xprt, p->proc, env);
		else
			logline(LOG_ERR, "rpc-answer-too-large", "proc=%u",
			    p->proc);
		xdr_free(p->res_xdr, srv->res);
	}
	xdr_free(p->arg_xdr, srv->arg);
}

/*
 * Serves one call that the library has received.  A call meant for an
 * earlier process on this port is answered as such, unserved.
 */
static void
dispatch(struct svc_req *req, SVCXPRT *xprt)
{
	struct rpc_server *srv = serving;
	char body[RPC_BODY_MAX];
	struct rpc_envelope env = { .body.body_val = body };
	const struct rpc_row *row;
	struct sockaddr_in from;

	if (srv == NULL || open_call(srv, req, &env) == -1) {
		drop();
		return;
	}
	if (srv->settings->cut != NULL &&
	    srv->settings->cut(srv->settings->cut_ctx, &srv->sender))
		return;
	counter_add(CTR_RPC_IN, 1);
	if (env.to != 0 && env.to != srv->settings->self.incarnation) {
		env.format = RPC_FORMAT_OTHER;
		env.body.body_len = 0;
		answer(srv, xprt, req->rq_proc, &env);
		return;
	}
	row = find_row(srv, req->rq_proc);
	if (row == NULL) {
		drop();
		return;
	}
	memcpy(&from, svc_getrpccaller(xprt)->buf, sizeof(from));
	serve_call(srv, row, &from, xprt, &env);
}

/*
 * Serves the next datagram, or drops it if it can't be a call of ours.
 * Returns 0 if there was none.
 */
static int
serve_one(struct rpc_server *srv)
{
	struct pollfd pfd = { .fd = srv->fd, .events = POLLIN };
	char head[PEEK_BYTES];
	ssize_t len;

	len = recv(srv->fd, head, sizeof(head), MSG_PEEK | MSG_TRUNC);
	if (len == -1)
		return 0;
	counter_add(CTR_RPC_BYTES_IN, (uint64_t)len);
	if (!rpc_call_acceptable(
		head, MIN((size_t)len, sizeof(head)), (size_t)len)) {
		drop();
		recv(srv->fd, head, sizeof(head), 0);
		return 1;
	}
	pfd.revents = POLLIN;
	svc_getreq_poll(&pfd, 1);
	return 1;
}

/*
 * Serves calls until the eventfd is written to.  Each server polls its own
 * socket, not the library's svc_pollfd, which all threads would share.
 */
static void *
serve(void *arg)
{
	struct rpc_server *srv = arg;
	struct pollfd fds[] = {
		{ .fd = srv->fd, .events = POLLIN },
		{ .fd = srv->wake_fd, .events = POLLIN },
	};
	int i;

	/* Handlers read what other threads publish by RCU. */
	rcu_register_thread();
	serving = srv;
	for (;;) {
		if (poll(fds, 2, -1) == -1 && errno != EINTR)
			break;
		if (fds[1].revents != 0)
			break;
		for (i = 0; i < BATCH_MAX && serve_one(srv); i++)
			continue;
	}
	rcu_unregister_thread();
	return NULL;
}
