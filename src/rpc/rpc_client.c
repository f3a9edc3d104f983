#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/counter.h"
#include "rpc/rpc_int.h"

#define SEND_TRIES 4 /* a send may report the error of an earlier one */

/* The calls of one rpc_client_call_many(), which waits until none is left. */
struct wait_group {
	pthread_cond_t cond;
	size_t left;
};

/* A call in flight.  Owned by the caller's thread, guarded by the lock. */
struct rpc_pending {
	struct rpc_pending *next;
	struct wait_group *group;
	struct node_id to;
	uint32_t xid;
	uint32_t proc;
	uint64_t nonce;
	int listed;
	enum rpc_status status;
	u_int len;
	char body[RPC_BODY_MAX];
};

static int send_call(struct rpc_client *, const struct node_id *,
    const struct rpc_proc *, const void *, uint32_t, uint64_t);
static enum rpc_status begin(struct rpc_client *, struct rpc_pending *,
    const struct rpc_proc *, struct rpc_item *);
static void unlist(struct rpc_client *, struct rpc_pending *);
static struct rpc_pending *find(struct rpc_client *, uint32_t);
static void complete(
    struct rpc_client *, struct rpc_pending *, enum rpc_status);
static int answer_status(const struct rpc_settings *,
    const struct rpc_pending *, const struct rpc_envelope *);
static void take_answer(
    struct rpc_client *, char *, size_t, const struct sockaddr_in *);
static int receive_answer(struct rpc_client *);
static int receive_error(struct rpc_client *);
static void *receive(void *);
static void wait_group(
    struct rpc_client *, struct wait_group *, uint64_t, uint32_t);
static void decode(
    const struct rpc_proc *, struct rpc_pending *, struct rpc_item *);

/*
 * Opens the socket that all calls of a process share, and starts the thread
 * that takes the answers.  To be finished also if it fails.
 */
int
rpc_client_init(
    struct rpc_client *c, const struct rpc_settings *s, GError **error)
{
	struct node_id any = s->bind.addr != 0 ? s->bind : s->self;
	int on = 1;

	memset(c, 0, sizeof(*c));
	c->settings = s;
	c->next_xid = (uint32_t)rand_u64();
	any.rpc_port = 0;
	c->wake_fd = -1;
	pthread_mutex_init(&c->lock, NULL);
	pthread_mutex_init(&c->refused_lock, NULL);
	c->fd = rpc_socket(&any, error);
	if (c->fd == -1)
		return -1;
	setsockopt(c->fd, IPPROTO_IP, IP_RECVERR, &on, sizeof(on));
	c->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (c->wake_fd == -1 ||
	    pthread_create(&c->thread, NULL, receive, c) != 0) {
		g_set_error(error, RPC_ERROR, RPC_ERROR_THREAD,
		    "RPC client thread: %s", g_strerror(errno));
		return -1;
	}
	c->running = 1;
	return 0;
}

/*
 * Ends the thread and closes the socket, also after a failed start.  No call
 * may be in flight.
 */
void
rpc_client_finish(struct rpc_client *c)
{
	uint64_t one = 1;

	if (c->running && write(c->wake_fd, &one, sizeof(one)) > 0)
		pthread_join(c->thread, NULL);
	c->running = 0;
	if (c->wake_fd != -1)
		close(c->wake_fd);
	if (c->fd != -1)
		close(c->fd);
	pthread_mutex_destroy(&c->lock);
	pthread_mutex_destroy(&c->refused_lock);
}

/*
 * Sets what is called, by the client's thread, for each notice that an
 * address refused; NULL for nothing.  Returns once a call under way is over.
 */
void
rpc_client_on_refused(struct rpc_client *c,
    void (*refused)(void *, const struct node_id *), void *ctx)
{
	pthread_mutex_lock(&c->refused_lock);
	c->refused = refused;
	c->refused_ctx = ctx;
	pthread_mutex_unlock(&c->refused_lock);
}

/*
 * Encodes and sends one call.  Returns -1 if it can't be encoded or sent.
 */
static int
send_call(struct rpc_client *c, const struct node_id *to,
    const struct rpc_proc *proc, const void *arg, uint32_t xid, uint64_t nonce)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	char buf[RPC_DATAGRAM_MAX], body[RPC_BODY_MAX];
	struct rpc_envelope env = { .body.body_val = body };
	int len, i;

	env.format = RPC_FORMAT;
	env.to = to->incarnation;
	env.nonce = nonce;
	if (rpc_body_encode(&env, proc->arg_xdr, arg) == -1)
		return -1;
	rpc_seal(&env, c->settings, proc->proc, RPC_DIR_CALL);
	len = rpc_call_encode(buf, sizeof(buf), xid, proc->proc, &env);
	if (len == -1)
		return -1;
	counter_add(CTR_RPC_OUT, 1);
	if (c->settings->cut != NULL &&
	    c->settings->cut(c->settings->cut_ctx, to))
		return 0;
	sin.sin_addr.s_addr = htonl(to->addr);
	sin.sin_port = htons(to->rpc_port);
	for (i = 0; i < SEND_TRIES; i++) {
		if (sendto(c->fd, buf, (size_t)len, 0, (struct sockaddr *)&sin,
			sizeof(sin)) == len) {
			counter_add(CTR_RPC_BYTES_OUT, (uint64_t)len);
			return 0;
		}
		if (errno == EAGAIN || errno == ENOBUFS)
			return 0;
	}
	return -1;
}

/*
 * Removes a call from those in flight, with the lock held.
 */
static void
unlist(struct rpc_client *c, struct rpc_pending *p)
{
	struct rpc_pending **at = &c->pending[p->xid % RPC_BUCKETS];

	if (!p->listed)
		return;
	while (*at != p)
		at = &(*at)->next;
	*at = p->next;
	p->listed = 0;
}

/*
 * Finds a call in flight by its number, with the lock held.
 */
static struct rpc_pending *
find(struct rpc_client *c, uint32_t xid)
{
	struct rpc_pending *p;

	for (p = c->pending[xid % RPC_BUCKETS]; p != NULL; p = p->next) {
		if (p->xid == xid)
			return p;
	}
	return NULL;
}

/*
 * Ends a call in flight, with the lock held.
 */
static void
complete(struct rpc_client *c, struct rpc_pending *p, enum rpc_status status)
{
	unlist(c, p);
	p->status = status;
	if (--p->group->left == 0)
		pthread_cond_signal(&p->group->cond);
}

/*
 * Lists a call as in flight and sends it.  On failure to send, the call ends
 * at once.
 */
static enum rpc_status
begin(struct rpc_client *c, struct rpc_pending *p, const struct rpc_proc *proc,
    struct rpc_item *item)
{
	p->to = item->to;
	p->proc = proc->proc;
	p->nonce = rand_u64();
	p->status = RPC_TIMEOUT;
	pthread_mutex_lock(&c->lock);
	p->xid = c->next_xid++;
	p->next = c->pending[p->xid % RPC_BUCKETS];
	c->pending[p->xid % RPC_BUCKETS] = p;
	p->listed = 1;
	p->group->left++;
	pthread_mutex_unlock(&c->lock);
	if (send_call(c, &p->to, proc, item->arg, p->xid, p->nonce) == 0)
		return RPC_DONE;
	pthread_mutex_lock(&c->lock);
	if (p->listed)
		complete(c, p, RPC_UNREACHABLE);
	pthread_mutex_unlock(&c->lock);
	return RPC_UNREACHABLE;
}

/*
 * Judges an answer to a call: -1 if it proves nothing and the call goes on
 * waiting, else the status that the call ends with.
 */
static int
answer_status(const struct rpc_settings *s, const struct rpc_pending *p,
    const struct rpc_envelope *env)
{
	struct node_id from;

	if (env->nonce != p->nonce ||
	    !rpc_verify(env, s, p->proc, RPC_DIR_ANSWER))
		return -1;
	rpc_envelope_sender(env, &from);
	if (s->cut != NULL && s->cut(s->cut_ctx, &from))
		return -1;
	if (env->format != RPC_FORMAT)
		return RPC_REJECTED;
	if (p->to.incarnation != 0 && p->to.incarnation != from.incarnation)
		return RPC_REJECTED;
	return RPC_DONE;
}

/*
 * Matches a datagram with the call that it answers.  Anything else is
 * dropped and counted.
 */
static void
take_answer(
    struct rpc_client *c, char *buf, size_t len, const struct sockaddr_in *from)
{
	char body[RPC_BODY_MAX];
	struct rpc_envelope env = { .body.body_val = body };
	struct rpc_pending *p;
	uint32_t xid;
	int status;

	if (rpc_answer_decode(buf, len, &xid, &env) == -1) {
		counter_add(CTR_RPC_BAD, 1);
		return;
	}
	pthread_mutex_lock(&c->lock);
	p = find(c, xid);
	if (p != NULL && ntohl(from->sin_addr.s_addr) == p->to.addr &&
	    ntohs(from->sin_port) == p->to.rpc_port) {
		status = answer_status(c->settings, p, &env);
		if (status == -1) {
			counter_add(CTR_RPC_BAD, 1);
		} else {
			p->len = env.body.body_len;
			memcpy(p->body, body, p->len);
			complete(c, p, (enum rpc_status)status);
		}
	}
	pthread_mutex_unlock(&c->lock);
}

/*
 * Receives one datagram.  Returns 0 if there was none.
 */
static int
receive_answer(struct rpc_client *c)
{
	char buf[RPC_DATAGRAM_MAX];
	struct sockaddr_in from = { 0 };
	socklen_t from_len = sizeof(from);
	ssize_t len;

	len = recvfrom(c->fd, buf, sizeof(buf), MSG_TRUNC,
	    (struct sockaddr *)&from, &from_len);
	if (len == -1)
		return errno != EAGAIN;
	counter_add(CTR_RPC_BYTES_IN, (uint64_t)len);
	if ((size_t)len > sizeof(buf))
		counter_add(CTR_RPC_BAD, 1);
	else
		take_answer(c, buf, (size_t)len, &from);
	return 1;
}

/*
 * Reads one ICMP error, which carries the start of the call that caused it,
 * and ends that call.  Returns 0 if there was none.
 */
static int
receive_error(struct rpc_client *c)
{
	char buf[RPC_DATAGRAM_MAX], ctl[256];
	struct sockaddr_in to = { 0 };
	struct iovec iov = { .iov_base = buf, .iov_len = sizeof(buf) };
	struct msghdr msg = { .msg_name = &to, .msg_namelen = sizeof(to) };
	struct node_id id = { 0 };
	struct rpc_pending *p;
	uint32_t xid;
	ssize_t len;

	msg.msg_iov = &iov;
	msg.msg_iovlen = 1;
	msg.msg_control = ctl;
	msg.msg_controllen = sizeof(ctl);
	len = recvmsg(c->fd, &msg, MSG_ERRQUEUE);
	if (len == -1)
		return 0;
	if ((size_t)len < sizeof(xid))
		return 1;
	memcpy(&xid, buf, sizeof(xid));
	id.addr = ntohl(to.sin_addr.s_addr);
	id.rpc_port = ntohs(to.sin_port);
	pthread_mutex_lock(&c->lock);
	p = find(c, ntohl(xid));
	if (p != NULL && id.addr == p->to.addr && id.rpc_port == p->to.rpc_port)
		complete(c, p, RPC_UNREACHABLE);
	pthread_mutex_unlock(&c->lock);
	if (p != NULL)
		return 1;
	pthread_mutex_lock(&c->refused_lock);
	if (c->refused != NULL)
		c->refused(c->refused_ctx, &id);
	pthread_mutex_unlock(&c->refused_lock);
	return 1;
}

/*
 * Takes answers until the eventfd is written to.
 */
static void *
receive(void *arg)
{
	struct rpc_client *c = arg;
	struct pollfd fds[] = {
		{ .fd = c->fd, .events = POLLIN },
		{ .fd = c->wake_fd, .events = POLLIN },
	};

	for (;;) {
		if (poll(fds, 2, -1) == -1 && errno != EINTR)
			break;
		if (fds[1].revents != 0)
			break;
		while (receive_error(c))
			continue;
		while (receive_answer(c))
			continue;
	}
	return NULL;
}

/*
 * Waits until every call of the group has ended or the timeout (ms) has
 * passed since start, with the lock held.
 */
static void
wait_group(struct rpc_client *c, struct wait_group *g, uint64_t start_us,
    uint32_t timeout)
{
	uint64_t left, spent;
	struct timespec ts;

	while (g->left > 0) {
		spent = clock_us() - start_us;
		if (spent >= (uint64_t)timeout * 1000)
			return;
		left = (uint64_t)timeout * 1000 - spent;
		clock_gettime(CLOCK_MONOTONIC, &ts);
		ts.tv_sec += (time_t)(left / 1000000);
		ts.tv_nsec += (long)(left % 1000000) * 1000;
		if (ts.tv_nsec >= 1000000000) {
			ts.tv_sec++;
			ts.tv_nsec -= 1000000000;
		}
		pthread_cond_clockwait(
		    &g->cond, &c->lock, CLOCK_MONOTONIC, &ts);
	}
}

/*
 * Decodes what a call brought into its item.
 */
static void
decode(
    const struct rpc_proc *proc, struct rpc_pending *p, struct rpc_item *item)
{
	struct rpc_envelope env = { .body.body_len = p->len,
		.body.body_val = p->body };

	item->status = p->status;
	if (item->status != RPC_DONE)
		return;
	memset(item->res, 0, proc->res_size);
	if (rpc_body_decode(&env, proc->res_xdr, item->res) == 0)
		return;
	counter_add(CTR_RPC_BAD, 1);
	item->status = RPC_REJECTED;
}

/*
 * Calls many peers at once and returns when all have answered or the timeout
 * (ms) has passed; each item then has its status.  Every call is one
 * datagram, sent once: whoever wants it repeated repeats it.
 */
void
rpc_client_call_many(struct rpc_client *c, const struct rpc_proc *proc,
    struct rpc_item *items, size_t len, uint32_t timeout)
{
	struct wait_group g = { .cond = PTHREAD_COND_INITIALIZER };
	struct rpc_pending one, *list = &one;
	uint64_t start = clock_us();
	size_t i;

	if (len > 1)
		list = calloc(len, sizeof(*list));
	if (list == NULL)
		abort();
	for (i = 0; i < len; i++) {
		list[i].group = &g;
		begin(c, &list[i], proc, &items[i]);
	}
	pthread_mutex_lock(&c->lock);
	wait_group(c, &g, start, timeout);
	for (i = 0; i < len; i++)
		unlist(c, &list[i]);
	pthread_mutex_unlock(&c->lock);
	for (i = 0; i < len; i++)
		decode(proc, &list[i], &items[i]);
	if (list != &one)
		free(list);
	pthread_cond_destroy(&g.cond);
}

/*
 * Calls one peer; the context is the client.  Any number of threads may call
 * at once.  Returns within the timeout (ms).  The call is one datagram, sent
 * once.  An incarnation of 0 reaches whatever process has the port.
 */
enum rpc_status
rpc_client_call(void *ctx, const struct node_id *to,
    const struct rpc_proc *proc, const void *arg, void *res, uint32_t timeout)
{
	struct rpc_item item = { .to = *to, .arg = arg, .res = res };

	rpc_client_call_many(ctx, proc, &item, 1, timeout);
	return item.status;
}

/*
 * Sends a call and waits for no answer.  Returns RPC_DONE once it is sent.
 */
enum rpc_status
rpc_client_notify(struct rpc_client *c, const struct node_id *to,
    const struct rpc_proc *proc, const void *arg)
{
	uint32_t xid;

	pthread_mutex_lock(&c->lock);
	xid = c->next_xid++;
	pthread_mutex_unlock(&c->lock);
	return send_call(c, to, proc, arg, xid, 0) == 0 ? RPC_DONE
							: RPC_UNREACHABLE;
}
