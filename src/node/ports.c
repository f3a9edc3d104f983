#include <err.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>

#include "base/stack.h"
#include "node/node.h"

#define REQUEST_READ_MS "10000"
#define DISCARD_MS 1000		  /* for the rest of a refused body */
#define DISCARD_BYTES (16U << 20) /* of it at most */
#define DISCARD_BUF_BYTES 16384
#define KEEP_ALIVE_MS "60000"
#define PEER_KEEP_MS "5000"
#define ACCEPT_QUEUE "1024"
#define OPERATOR_THREADS 4
#define DESCRIPTORS_MAX 65536
#define REQUEST_SERVED 1 /* tells CivetWeb to do nothing more */
#define THREAD_WORKER 1	 /* as CivetWeb numbers them */
#define THREAD_WAIT_MS 5000
#define THREAD_CHECK_US 2000
#define HOLD_MIN_MS 200 /* for handshakes that have begun */
#define HOLD_MAX_MS 2000
#define HOLD_CHECK_US 5000
#define TCP_FLAGS_BYTE 13 /* of the header, and its bits */
#define TCP_SYN 0x02
#define TCP_ACK 0x10

typedef void (*serve_fn)(struct node *, struct request *);
typedef void (*listener_fn)(int, void *);

static void serve_inner(struct node *, struct request *);

/* What serves each port. */
static const struct port_row {
	const char *name;
	serve_fn serve;
	const char *keep_ms;
} port_rows[PORT_MAX] = {
	[PORT_CALLER] = { "caller", entry_caller, KEEP_ALIVE_MS },
	[PORT_INNER] = { "inner", serve_inner, KEEP_ALIVE_MS },
	[PORT_PEER] = { "peer", peer_serve, PEER_KEEP_MS },
	[PORT_OPERATOR] = { "operator", operator_serve, PEER_KEEP_MS },
};

/* What a port's threads need to find their node again. */
struct port {
	struct node *node;
	enum port_kind kind;
	atomic_uint workers; /* that have started */
};

static struct port port_ctx[PORT_MAX];

/*
 * Serves the inner port: announcements first, all else is an inner call.
 */
static void
serve_inner(struct node *n, struct request *r)
{
	if (!announce_serve(n, r))
		entry_inner(n, r);
}

/*
 * Reads on for a while what a caller sends after its refusal.  A connection
 * that is closed with bytes unread is reset, and a caller that is still sending
 * may see the reset instead of the answer.
 */
static void
discard_body(struct mg_connection *conn)
{
	uint64_t until = clock_ms() + DISCARD_MS;
	size_t left = DISCARD_BYTES;
	char *buf;
	int n;

	/* On the heap: a thread's stack stays resident once it was used. */
	buf = malloc(DISCARD_BUF_BYTES);
	if (buf == NULL)
		err(1, "discard_body");
	while (left > 0 && clock_ms() < until &&
	       (n = mg_read(conn, buf, DISCARD_BUF_BYTES)) > 0)
		left -= (size_t)n < left ? (size_t)n : left;
	free(buf);
}

/*
 * Serves one request on any port.
 */
static int
on_request(struct mg_connection *conn)
{
	struct port *p = mg_get_request_info(conn)->user_data;
	struct node *n = p->node;
	struct request *r;
	const char *detail;
	enum reason why;

	r = malloc(sizeof(*r));
	if (r == NULL)
		err(1, "on_request");
	atomic_fetch_add(&n->inflight[p->kind], 1);
	if (p->kind != PORT_OPERATOR)
		atomic_store(&n->last_request_ms, clock_ms());
	why = request_init(
	    r, conn, &n->stopping, n->settings.max_body_bytes, &detail);
	if (why != REASON_NONE)
		answer_refuse(r, OUTCOME_NOT_RUN, why, detail, 0, NULL);
	else
		port_rows[p->kind].serve(n, r);
	if (why == REASON_TOO_LARGE)
		discard_body(conn);
	request_finish(r);
	free(r);
	atomic_fetch_sub(&n->inflight[p->kind], 1);
	return REQUEST_SERVED;
}

/*
 * Lets every thread of a port read RCU data.  Returns the lowest address of
 * its stack, which CivetWeb keeps for it.
 */
static void *
on_thread(const struct mg_context *mg, int type)
{
	struct port *p = mg_get_user_data(mg);
	void *low = stack_low();

	rcu_register_thread();
	stack_release(low);
	if (type == THREAD_WORKER)
		atomic_fetch_add(&p->workers, 1);
	return low;
}

/*
 * Ends a port's thread.
 */
static void
on_thread_end(const struct mg_context *mg, int type, void *ctx)
{
	(void)mg;
	(void)type;
	(void)ctx;
	rcu_unregister_thread();
}

/*
 * Gives the stack of a thread back after a request: most of a node's threads
 * wait on idle connections.
 */
static void
on_request_end(const struct mg_connection *conn, int status)
{
	(void)status;
	stack_release_idle(mg_get_thread_pointer(conn));
}

/*
 * Passes the HTTP library's messages to the log.
 */
static int
on_message(const struct mg_connection *conn, const char *text)
{
	(void)conn;
	logline(LOG_DEBUG, "http", "message=\"%s\"", text);
	return 1;
}

/*
 * Waits until all threads of a port have started: CivetWeb goes on with
 * fewer where the system has no more, and requests would hang.
 */
static int
workers_wait(struct port *p, uint32_t threads)
{
	uint64_t until = clock_ms() + THREAD_WAIT_MS;

	while (atomic_load(&p->workers) < threads && clock_ms() < until)
		usleep(THREAD_CHECK_US);
	if (atomic_load(&p->workers) == threads)
		return 0;
	logline(LOG_CRIT, "port-failed",
	    "port=%s threads=%u started=%u why=\"too few threads\"",
	    port_rows[p->kind].name, threads, atomic_load(&p->workers));
	return -1;
}

/*
 * Opens one port with a thread for each connection.  All that answers is a
 * callback known before: CivetWeb answers 404 by itself to requests that come
 * before a handler is set on the open port.  Returns -1 where the port can't
 * be opened.
 */
static int
port_start(struct node *n, enum port_kind kind, uint32_t port, uint32_t threads)
{
	static const struct mg_callbacks calls = {
		.init_thread = on_thread,
		.exit_thread = on_thread_end,
		.begin_request = on_request,
		.end_request = on_request_end,
		.log_message = on_message,
	};
	char listen[64], count[16];
	const char *opts[] = { "listening_ports", listen, "num_threads", count,
		"enable_keep_alive", "yes", "keep_alive_timeout_ms",
		port_rows[kind].keep_ms, "request_timeout_ms", REQUEST_READ_MS,
		"tcp_nodelay", "1", "connection_queue", ACCEPT_QUEUE,
		"listen_backlog", ACCEPT_QUEUE, "decode_url", "no", NULL };
	struct mg_init_data init = { .callbacks = &calls,
		.user_data = &port_ctx[kind],
		.configuration_options = opts };
	uint32_t a = n->settings.address;
	char text[128] = "";
	struct mg_error_data e = { .text = text,
		.text_buffer_size = sizeof(text) };

	snprintf(listen, sizeof(listen), "%u.%u.%u.%u:%u", a >> 24,
	    a >> 16 & 255, a >> 8 & 255, a & 255, port);
	snprintf(count, sizeof(count), "%u", threads);
	port_ctx[kind].node = n;
	port_ctx[kind].kind = kind;
	atomic_store(&port_ctx[kind].workers, 0);
	n->ports[kind] = mg_start2(&init, &e);
	if (n->ports[kind] == NULL) {
		logline(LOG_CRIT, "port-failed", "port=%s listen=%s why=\"%s\"",
		    port_rows[kind].name, listen, text);
		return -1;
	}
	return workers_wait(&port_ctx[kind], threads);
}

/*
 * Opens all ports but the callers'.  Returns -1 where one can't be opened.
 */
int
ports_start(struct node *n)
{
	const struct settings *s = &n->settings;

	if (port_start(n, PORT_OPERATOR, s->operator_port, OPERATOR_THREADS) ==
		-1 ||
	    port_start(n, PORT_PEER, s->peer_port, s->peer_connections) == -1 ||
	    port_start(n, PORT_INNER, s->inner_port, s->inner_connections) ==
		-1)
		return -1;
	return 0;
}

/*
 * Opens the callers' port.  Returns -1 if it can't be opened.
 */
int
ports_open(struct node *n)
{
	const struct settings *s = &n->settings;

	return port_start(
	    n, PORT_CALLER, s->caller_port, s->caller_connections);
}

/*
 * Calls a function with each listening socket on which callers and peers
 * connect.  CivetWeb keeps them to itself; they are found among this
 * process's descriptors.
 */
static void
each_listener(struct node *n, listener_fn fn, void *ctx)
{
	const struct settings *s = &n->settings;
	struct sockaddr_in sin = { 0 };
	socklen_t len;
	int fd, listening = 0, max = (int)sysconf(_SC_OPEN_MAX);
	uint32_t port;

	for (fd = 0; fd < max && fd < DESCRIPTORS_MAX; fd++) {
		len = sizeof(listening);
		if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening,
			&len) == -1 ||
		    !listening)
			continue;
		len = sizeof(sin);
		if (getsockname(fd, (struct sockaddr *)&sin, &len) == -1)
			continue;
		port = ntohs(sin.sin_port);
		if (port == s->caller_port || port == s->peer_port)
			fn(fd, ctx);
	}
}

/*
 * Drops the first segment of connections yet to come, so that their clients
 * try again until the port is closed.
 */
static void
listener_hold(int fd, void *ctx)
{
	static struct sock_filter code[] = {
		BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_BYTE),
		BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TCP_SYN | TCP_ACK),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TCP_SYN, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	struct sock_fprog prog = { sizeof(code) / sizeof(code[0]), code };

	(void)ctx;
	if (setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &prog, sizeof(prog)) ==
	    -1)
		logline(LOG_WARNING, "port-hold-failed", "why=\"%m\"");
}

/*
 * Adds the connections that wait to be accepted to a sum.
 */
static void
listener_count(int fd, void *ctx)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);
	unsigned int *waiting = ctx;

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) == 0)
		*waiting += info.tcpi_unacked;
}

/*
 * Refuses further connections.
 */
static void
listener_close(int fd, void *ctx)
{
	(void)ctx;
	shutdown(fd, SHUT_RD);
}

/*
 * Has callers and peers refused at connecting while open connections are
 * still served.  A listening socket that is closed resets the connections
 * that wait in its queue, although their clients may have sent requests
 * already; so new ones are held off until the queue is empty.
 */
void
ports_close(struct node *n)
{
	uint64_t began = clock_ms(), now;
	unsigned int waiting;

	each_listener(n, listener_hold, NULL);
	do {
		usleep(HOLD_CHECK_US);
		waiting = 0;
		each_listener(n, listener_count, &waiting);
		now = clock_ms();
	} while (now < began + HOLD_MIN_MS ||
		 (waiting > 0 && now < began + HOLD_MAX_MS));
	each_listener(n, listener_close, NULL);
}

/*
 * Closes all ports; requests under way end first.
 */
void
ports_stop(struct node *n)
{
	int i;

	for (i = 0; i < PORT_MAX; i++)
		if (n->ports[i] != NULL)
			mg_stop(n->ports[i]);
	memset(n->ports, 0, sizeof(n->ports));
}
