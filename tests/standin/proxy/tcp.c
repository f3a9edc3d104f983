#include <sys/socket.h>

#include <netinet/tcp.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../content.h"
#include "../standin.h"
#include "base/clock.h"
#include "proxy.h"

/*
 * Passes TCP connections on, with the faults of their way.
 */

#define BUF_BYTES 65536
#define CONNS_MAX 4096
#define BACKLOG 512
#define STACK_BYTES (160 * 1024)

struct conn {
	int client;
	int server;
	uint32_t from;
	uint32_t to;
	int ends; /* directions that have ended */
};

struct listener {
	int fd;
	struct map map;
};

struct pump {
	struct conn *conn;
	bool answers; /* from the server to the client */
};

static void *accept_loop(void *);
static void *pump_loop(void *);
static bool pass(struct pump *, char *, size_t, uint64_t *);
static void conn_end(struct conn *);
static int connect_to(const struct map *);
static int thread_run(void *(*)(void *), void *);

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct conn *conns[CONNS_MAX];

/*
 * Starts a thread that nobody waits for.
 */
static int
thread_run(void *(*run)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t t;
	int r;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, STACK_BYTES);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	r = pthread_create(&t, &attr, run, arg);
	pthread_attr_destroy(&attr);
	return r;
}

/*
 * Makes a socket reset its connection when it is closed.
 */
static void
make_reset(int fd)
{
	struct linger l = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

/*
 * Notes that one direction has ended, and frees the connection after both.
 */
static void
conn_end(struct conn *c)
{
	size_t i;

	pthread_mutex_lock(&lock);
	if (++c->ends < 2) {
		pthread_mutex_unlock(&lock);
		return;
	}
	for (i = 0; i < CONNS_MAX; i++)
		if (conns[i] == c)
			conns[i] = NULL;
	pthread_mutex_unlock(&lock);
	close(c->client);
	close(c->server);
	free(c);
}

/*
 * Closes every connection whose way is to be reset.
 */
void
tcp_reset(void)
{
	struct conn *c;
	size_t i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < CONNS_MAX; i++) {
		if ((c = conns[i]) == NULL || !rule_get(c->from, c->to).reset)
			continue;
		make_reset(c->client);
		shutdown(c->client, SHUT_RDWR);
		shutdown(c->server, SHUT_RDWR);
	}
	pthread_mutex_unlock(&lock);
}

/*
 * Passes one piece on as the rule says.  Returns false to end the
 * connection.
 */
static bool
pass(struct pump *p, char *buf, size_t n, uint64_t *passed)
{
	struct conn *c = p->conn;
	uint32_t from = p->answers ? c->to : c->from;
	uint32_t to = p->answers ? c->from : c->to;
	struct rule r = rule_get(from, to);
	struct rule back = rule_get(c->from, c->to);
	size_t len = n;

	if (r.delay_us > 0)
		standin_sleep_us((uint64_t)r.delay_us);
	if (p->answers && rule_lose_answer(c->from, c->to))
		return false;
	if (p->answers && back.garbage)
		content_fill(proxy_random(), 0, (unsigned char *)buf, n);
	if (p->answers && back.cut_after > 0 &&
	    *passed + n >= (uint64_t)back.cut_after)
		len = (uint64_t)back.cut_after > *passed
			  ? (size_t)((uint64_t)back.cut_after - *passed)
			  : 0;
	rule_hold(from, to);
	*passed += len;
	if (len > 0 && send(p->answers ? c->client : c->server, buf, len,
			   MSG_NOSIGNAL) <= 0)
		return false;
	return len == n;
}

/*
 * Moves bytes in one direction until it ends.
 */
static void *
pump_loop(void *arg)
{
	struct pump *p = arg;
	struct conn *c = p->conn;
	int src = p->answers ? c->server : c->client;
	char *buf = malloc(BUF_BYTES);
	uint64_t passed = 0;
	ssize_t n;
	bool ok = true;

	while (buf != NULL && ok) {
		n = recv(src, buf, BUF_BYTES, 0);
		if (n <= 0)
			break;
		ok = pass(p, buf, (size_t)n, &passed);
	}
	if (!ok)
		make_reset(c->client);
	rule_hold(c->from, c->to);
	shutdown(c->client, SHUT_RDWR);
	shutdown(c->server, SHUT_RDWR);
	conn_end(c);
	free(buf);
	free(p);
	return NULL;
}

/*
 * Connects to the address that a map stands for.  Returns the socket or -1.
 */
static int
connect_to(const struct map *m)
{
	struct sockaddr_in sin = proxy_address(m->to, m->tcp_port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	if (fd == -1)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	close(fd);
	return -1;
}

/*
 * Starts one direction, or ends the connection if there is no thread for it.
 */
static void
pump_start(struct pump *p)
{
	struct conn *c = p->conn;

	if (thread_run(pump_loop, p) == 0)
		return;
	fprintf(stderr, "proxy: no thread for a connection\n");
	shutdown(c->client, SHUT_RDWR);
	shutdown(c->server, SHUT_RDWR);
	conn_end(c);
	free(p);
}

/*
 * Starts both directions of a connection.
 */
static void
conn_start(const struct map *m, int client, uint32_t from)
{
	struct conn *c = calloc(1, sizeof(*c));
	struct pump *there = calloc(1, sizeof(*there));
	struct pump *back = calloc(1, sizeof(*back));
	struct sockaddr_in sin = proxy_address(m->to, 0);
	size_t i;
	int on = 1;

	if (c == NULL || there == NULL || back == NULL)
		abort();
	setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c->client = client;
	c->from = from;
	c->to = sin.sin_addr.s_addr;
	c->server = connect_to(m);
	if (c->server == -1 || rule_get(c->from, c->to).reset) {
		make_reset(client);
		close(client);
		if (c->server != -1)
			close(c->server);
		free(c);
		free(there);
		free(back);
		return;
	}
	pthread_mutex_lock(&lock);
	for (i = 0; i < CONNS_MAX && conns[i] != NULL; i++)
		continue;
	if (i < CONNS_MAX)
		conns[i] = c;
	pthread_mutex_unlock(&lock);
	there->conn = back->conn = c;
	back->answers = true;
	pump_start(there);
	pump_start(back);
}

/*
 * Takes connections on one address.
 */
static void *
accept_loop(void *arg)
{
	struct listener *l = arg;
	struct sockaddr_in sin;
	socklen_t len;
	int fd;

	for (;;) {
		len = sizeof(sin);
		memset(&sin, 0, sizeof(sin));
		fd =
		    accept4(l->fd, (struct sockaddr *)&sin, &len, SOCK_CLOEXEC);
		if (fd == -1) {
			standin_sleep_us(1000);
			continue;
		}
		conn_start(&l->map, fd, sin.sin_addr.s_addr);
	}
	return NULL;
}

/*
 * Listens on the TCP port of a map.  Returns 0, or -1.
 */
int
tcp_start(const struct map *m)
{
	struct sockaddr_in sin = proxy_address(m->from, m->tcp_port);
	struct listener *l = calloc(1, sizeof(*l));
	int on = 1;

	if (l == NULL)
		return -1;
	l->map = *m;
	l->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (l->fd == -1 ||
	    bind(l->fd, (struct sockaddr *)&sin, sizeof(sin)) == -1 ||
	    listen(l->fd, BACKLOG) == -1) {
		if (l->fd != -1)
			close(l->fd);
		free(l);
		return -1;
	}
	return thread_run(accept_loop, l) == 0 ? 0 : -1;
}
