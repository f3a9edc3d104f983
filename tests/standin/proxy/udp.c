#include <sys/epoll.h>
#include <sys/socket.h>

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../standin.h"
#include "base/clock.h"
#include "proxy.h"

/*
 * Relays datagrams, with the faults of their way.
 */

#define DATAGRAM_MAX 9000
#define EVENTS_MAX 64
#define BUCKETS 4096

/*
 * The way from one sender to one map, and back.
 */
struct assoc {
	struct assoc *next;
	struct sockaddr_in client;
	uint32_t to;
	int listen_fd;
	int fd;
};

struct relay {
	int fd;
	struct map map;
};

/*
 * A datagram on its way.
 */
struct flight {
	struct flight *next;
	uint64_t due;
	int fd;
	struct sockaddr_in dest;
	uint32_t from;
	uint32_t to;
	size_t len;
	char data[];
};

static void *listen_loop(void *);
static void *answer_loop(void *);
static void *flight_loop(void *);
static void flight_add(
    int, const struct sockaddr_in *, uint32_t, uint32_t, const char *, size_t);
static struct assoc *assoc_get(struct relay *, const struct sockaddr_in *);

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t added;
static struct flight *flights;
static struct assoc *assocs[BUCKETS];
static int poll_fd = -1;

/*
 * Puts a datagram on its way, once or twice or not at all.
 */
static void
flight_add(int fd, const struct sockaddr_in *dest, uint32_t from, uint32_t to,
    const char *data, size_t len)
{
	struct rule r = rule_get(from, to);
	struct flight *f, **at;
	int copies = r.twice ? 2 : 1;

	if (r.cut || r.reset || (int64_t)(proxy_random() % 100) < r.loss)
		return;
	if (r.delay_us == 0) {
		while (copies-- > 0)
			sendto(fd, data, len, 0, (const struct sockaddr *)dest,
			    sizeof(*dest));
		return;
	}
	while (copies-- > 0) {
		if ((f = malloc(sizeof(*f) + len)) == NULL)
			return;
		f->due = clock_us() + (uint64_t)r.delay_us;
		f->fd = fd;
		f->dest = *dest;
		f->from = from;
		f->to = to;
		f->len = len;
		memcpy(f->data, data, len);
		pthread_mutex_lock(&lock);
		for (at = &flights; *at != NULL && (*at)->due <= f->due;
		     at = &(*at)->next)
			continue;
		f->next = *at;
		*at = f;
		pthread_cond_signal(&added);
		pthread_mutex_unlock(&lock);
	}
}

/*
 * Sends each datagram when it is due, unless its way was cut meanwhile.
 */
static void *
flight_loop(void *arg)
{
	struct flight *f;
	uint64_t now;

	(void)arg;
	for (;;) {
		pthread_mutex_lock(&lock);
		while (flights == NULL)
			pthread_cond_wait(&added, &lock);
		f = flights;
		now = clock_us();
		if (f->due > now) {
			pthread_mutex_unlock(&lock);
			standin_sleep_us(
			    f->due - now < 200 ? f->due - now : 200);
			continue;
		}
		flights = f->next;
		pthread_mutex_unlock(&lock);
		if (!rule_get(f->from, f->to).cut)
			sendto(f->fd, f->data, f->len, 0,
			    (struct sockaddr *)&f->dest, sizeof(f->dest));
		free(f);
	}
	return NULL;
}

/*
 * Finds or makes the association of a sender with a map.
 */
static struct assoc *
assoc_get(struct relay *r, const struct sockaddr_in *client)
{
	struct sockaddr_in sin = proxy_address(r->map.to, r->map.udp_port);
	uint32_t h = client->sin_addr.s_addr * 31 + client->sin_port +
		     (uint32_t)r->fd * 7919;
	struct epoll_event ev;
	struct assoc *a;

	for (a = assocs[h % BUCKETS]; a != NULL; a = a->next)
		if (a->listen_fd == r->fd &&
		    a->client.sin_addr.s_addr == client->sin_addr.s_addr &&
		    a->client.sin_port == client->sin_port)
			return a;
	if ((a = calloc(1, sizeof(*a))) == NULL)
		return NULL;
	a->client = *client;
	a->to = sin.sin_addr.s_addr;
	a->listen_fd = r->fd;
	a->fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	if (a->fd == -1 ||
	    connect(a->fd, (struct sockaddr *)&sin, sizeof(sin)) == -1) {
		if (a->fd != -1)
			close(a->fd);
		free(a);
		return NULL;
	}
	memset(&ev, 0, sizeof(ev));
	ev.events = EPOLLIN;
	ev.data.ptr = a;
	epoll_ctl(poll_fd, EPOLL_CTL_ADD, a->fd, &ev);
	a->next = assocs[h % BUCKETS];
	assocs[h % BUCKETS] = a;
	return a;
}

/*
 * Takes datagrams on one address.
 */
static void *
listen_loop(void *arg)
{
	static pthread_mutex_t assoc_lock = PTHREAD_MUTEX_INITIALIZER;
	struct relay *r = arg;
	char buf[DATAGRAM_MAX];
	struct sockaddr_in client, dest;
	struct assoc *a;
	socklen_t len;
	ssize_t n;

	dest = proxy_address(r->map.to, r->map.udp_port);
	for (;;) {
		len = sizeof(client);
		memset(&client, 0, sizeof(client));
		n = recvfrom(r->fd, buf, sizeof(buf), 0,
		    (struct sockaddr *)&client, &len);
		if (n < 0)
			continue;
		pthread_mutex_lock(&assoc_lock);
		a = assoc_get(r, &client);
		pthread_mutex_unlock(&assoc_lock);
		if (a != NULL)
			flight_add(a->fd, &dest, client.sin_addr.s_addr, a->to,
			    buf, (size_t)n);
	}
	return NULL;
}

/*
 * Takes the datagrams that come back.
 */
static void *
answer_loop(void *arg)
{
	struct epoll_event evs[EVENTS_MAX];
	char buf[DATAGRAM_MAX];
	struct assoc *a;
	ssize_t len;
	int i, n;

	(void)arg;
	for (;;) {
		n = epoll_wait(poll_fd, evs, EVENTS_MAX, -1);
		for (i = 0; i < n; i++) {
			a = evs[i].data.ptr;
			len = recv(a->fd, buf, sizeof(buf), MSG_DONTWAIT);
			if (len >= 0)
				flight_add(a->listen_fd, &a->client, a->to,
				    a->client.sin_addr.s_addr, buf,
				    (size_t)len);
		}
	}
	return NULL;
}

/*
 * Listens on the UDP port of a map.  Returns 0, or -1.
 */
int
udp_start(const struct map *m)
{
	struct sockaddr_in sin = proxy_address(m->from, m->udp_port);
	struct relay *r = calloc(1, sizeof(*r));
	pthread_t t;

	if (r == NULL)
		return -1;
	if (poll_fd == -1) {
		poll_fd = epoll_create1(EPOLL_CLOEXEC);
		pthread_cond_init(&added, NULL);
		pthread_create(&t, NULL, answer_loop, NULL);
		pthread_create(&t, NULL, flight_loop, NULL);
	}
	r->map = *m;
	r->fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	if (r->fd == -1 ||
	    bind(r->fd, (struct sockaddr *)&sin, sizeof(sin)) == -1) {
		if (r->fd != -1)
			close(r->fd);
		free(r);
		return -1;
	}
	return pthread_create(&t, NULL, listen_loop, r) == 0 ? 0 : -1;
}
