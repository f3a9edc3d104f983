#include <arpa/inet.h>
#include <ctype.h>
#include <err.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "lab.h"

#define STORE_MACHINE 250
#define RECORDS_MAX 256
#define HEARTBEAT_MS 1500
#define ACK_TIMEOUT_MS 1000
#define MS_PER_S 1000
#define NS_PER_MS 1000000

/* A record of a keyed topic. */
struct record {
	char key[64];
	char *value;
	size_t len;
};

struct topic {
	const char *name;
	struct record records[RECORDS_MAX];
	size_t count;
};

static struct topic topics[2] = { { .name = "keyed.op" },
	{ .name = "keyed.nodes" } };
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static int store_era = 1;
static volatile int store_silent;

static struct lab_node nodes[LAB_NODES_MAX];
static uint64_t start_ms;
static int net, trouble = 1, first_port;
static char folder[64];
static FILE *record_file;
static pthread_mutex_t note_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t conn_lock = PTHREAD_MUTEX_INITIALIZER;

static uint64_t
steady_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * MS_PER_S +
	       (uint64_t)ts.tv_nsec / NS_PER_MS;
}

static uint64_t
unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * MS_PER_S +
	       (uint64_t)ts.tv_nsec / NS_PER_MS;
}

/*
 * Returns the time since the start of the case.
 */
uint64_t
lab_ms(void)
{
	return steady_ms() - start_ms;
}

/*
 * Sleeps until a time since the start of the case.
 */
void
lab_sleep_until(uint64_t ms)
{
	uint64_t now = lab_ms();

	if (ms > now)
		usleep((useconds_t)((ms - now) * 1000));
}

/*
 * Returns whether the disruption of the case takes place.
 */
int
lab_trouble(void)
{
	return trouble;
}

/*
 * Writes a line to record.txt.
 */
void
lab_note(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&note_lock);
	fprintf(record_file, "%8.3f ", (double)lab_ms() / MS_PER_S);
	va_start(ap, fmt);
	vfprintf(record_file, fmt, ap);
	va_end(ap);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&note_lock);
}

/*
 * Starts a detached thread.
 */
void
lab_thread(void *(*fn)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t id;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 512 * 1024);
	if (pthread_create(&id, &attr, fn, arg) != 0)
		errx(2, "cannot create a thread");
	pthread_attr_destroy(&attr);
}

int
lab_port(enum lab_port port)
{
	return first_port + (int)port;
}

void
lab_ip(int machine, char *text, size_t size)
{
	snprintf(text, size, "127.%d.%d.1", net, machine);
}

static void
address(struct sockaddr_in *sa, int machine, int port)
{
	char ip[32];

	memset(sa, 0, sizeof(*sa));
	lab_ip(machine, ip, sizeof(ip));
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip, &sa->sin_addr);
}

static int
listen_at(int machine, int port)
{
	struct sockaddr_in sa;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	address(&sa, machine, port);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (fd == -1 || bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == -1 ||
	    listen(fd, 512) == -1) {
		if (fd != -1)
			close(fd);
		return -1;
	}
	return fd;
}

/*
 * Chooses loopback addresses and ports on which nothing listens.
 */
static void
choose_net(void)
{
	struct sockaddr_in sa;
	int i, m, p, fd, free_ports;

	for (i = 0; i < 100; i++) {
		net = 20 + (int)((unix_ms() + (uint64_t)getpid() * 7 +
				     (uint64_t)i * 13) %
				    200);
		first_port = 7100 + i * 16;
		free_ports = 1;
		for (m = 1; m <= 4 && free_ports; m++)
			for (p = 0; p < LAB_PORTS && free_ports; p++) {
				fd = socket(
				    AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
				address(&sa, m, first_port + p);
				free_ports = bind(fd, (struct sockaddr *)&sa,
						 sizeof(sa)) == 0;
				close(fd);
			}
		if (free_ports)
			return;
	}
	errx(2, "no free ports");
}

/* Connections. */

int
lab_connect(struct lab_conn *c, int machine, int port, int timeout_ms)
{
	struct sockaddr_in sa;
	struct timeval tv;
	int one = 1;

	memset(c, 0, offsetof(struct lab_conn, buf));
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (c->fd == -1)
		return -1;
	tv.tv_sec = timeout_ms / MS_PER_S;
	tv.tv_usec = timeout_ms % MS_PER_S * 1000;
	setsockopt(c->fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	address(&sa, machine, port);
	if (connect(c->fd, (struct sockaddr *)&sa, sizeof(sa)) == -1) {
		lab_close(c);
		return -1;
	}
	return 0;
}

void
lab_close(struct lab_conn *c)
{
	if (c->fd != -1)
		close(c->fd);
	c->fd = -1;
}

int
lab_write(struct lab_conn *c, const void *p, size_t n)
{
	const char *s = p;
	ssize_t k;

	while (n > 0) {
		k = send(c->fd, s, n, MSG_NOSIGNAL);
		if (k == -1 && errno == EINTR)
			continue;
		if (k <= 0)
			return -1;
		s += k;
		n -= (size_t)k;
	}
	return 0;
}

int
lab_printf(struct lab_conn *c, const char *fmt, ...)
{
	char *text;
	va_list ap;
	int n, rc;

	va_start(ap, fmt);
	n = vasprintf(&text, fmt, ap);
	va_end(ap);
	if (n == -1)
		errx(2, "out of memory");
	rc = lab_write(c, text, (size_t)n);
	free(text);
	return rc;
}

/*
 * Reads more bytes.  Returns their number, 0 at the end of the connection, or
 * -1 after an error or the timeout (-1: none).
 */
static ssize_t
fill(struct lab_conn *c, int timeout_ms)
{
	struct pollfd p = { .fd = c->fd, .events = POLLIN };
	ssize_t n;
	int rc;

	do
		rc = poll(&p, 1, timeout_ms);
	while (rc == -1 && errno == EINTR);
	if (rc <= 0) {
		errno = ETIMEDOUT;
		return -1;
	}
	n = recv(c->fd, c->buf + c->len, sizeof(c->buf) - c->len, 0);
	if (n > 0)
		c->len += (size_t)n;
	return n;
}

static void
consume(struct lab_conn *c, size_t n)
{
	memmove(c->buf, c->buf + n, c->len - n);
	c->len -= n;
}

/*
 * Reads the head of a request or response.  Returns 1, 0 if the connection has
 * ended, or -1 after an error or the timeout.
 */
int
lab_read_head(struct lab_conn *c, struct lab_msg *m, int timeout_ms)
{
	uint64_t until = steady_ms() + (uint64_t)timeout_ms, now;
	char *end;
	ssize_t n;
	size_t len;

	m->body = NULL;
	m->body_len = 0;
	for (;;) {
		end = memmem(c->buf, c->len, "\r\n\r\n", 4);
		if (end != NULL)
			break;
		now = steady_ms();
		if (timeout_ms >= 0 && now >= until)
			return -1;
		n = fill(c, timeout_ms < 0 ? -1 : (int)(until - now));
		if (n <= 0)
			return (int)n;
	}
	len = (size_t)(end - c->buf) + 4;
	if (len >= sizeof(m->head))
		return -1;
	memcpy(m->head, c->buf, len);
	m->head[len] = '\0';
	consume(c, len);
	m->method[0] = m->target[0] = '\0';
	m->status = 0;
	if (strncmp(m->head, "HTTP/1.", 7) == 0)
		m->status = atoi(m->head + 9);
	else
		sscanf(m->head, "%15s %511s", m->method, m->target);
	return 1;
}

/*
 * Copies the value of a header field.  Returns 0, or -1 if there is none.
 */
int
lab_header(const struct lab_msg *m, const char *name, char *dst, size_t size)
{
	const char *line = strstr(m->head, "\r\n"), *v, *end;
	size_t n = strlen(name);

	for (; line != NULL && line[2] != '\r' && line[2] != '\0';
	     line = strstr(line + 2, "\r\n")) {
		if (strncasecmp(line + 2, name, n) != 0 || line[2 + n] != ':')
			continue;
		v = line + 3 + n;
		while (*v == ' ')
			v++;
		end = strstr(v, "\r\n");
		n = (size_t)(end - v);
		if (n >= size)
			n = size - 1;
		memcpy(dst, v, n);
		dst[n] = '\0';
		return 0;
	}
	dst[0] = '\0';
	return -1;
}

static int
add_body(struct lab_conn *c, struct lab_msg *m, size_t want, int timeout_ms)
{
	size_t n;

	m->body = realloc(m->body, m->body_len + want + 1);
	if (m->body == NULL)
		errx(2, "out of memory");
	while (want > 0) {
		if (c->len == 0 && fill(c, timeout_ms) <= 0)
			return -1;
		n = c->len < want ? c->len : want;
		memcpy(m->body + m->body_len, c->buf, n);
		m->body_len += n;
		want -= n;
		consume(c, n);
	}
	m->body[m->body_len] = '\0';
	return 0;
}

/*
 * Reads the body of a message.  Returns 0, or -1 if it is incomplete.
 */
int
lab_read_body(struct lab_conn *c, struct lab_msg *m, int timeout_ms)
{
	char text[64], *eol;
	size_t n;

	if (lab_header(m, "Transfer-Encoding", text, sizeof(text)) == 0) {
		for (;;) {
			while ((eol = memmem(c->buf, c->len, "\r\n", 2)) ==
			       NULL)
				if (fill(c, timeout_ms) <= 0)
					return -1;
			n = strtoul(c->buf, NULL, 16);
			consume(c, (size_t)(eol - c->buf) + 2);
			if (add_body(c, m, n, timeout_ms) == -1)
				return -1;
			while (c->len < 2)
				if (fill(c, timeout_ms) <= 0)
					return -1;
			consume(c, 2);
			if (n == 0)
				return 0;
		}
	}
	if (lab_header(m, "Content-Length", text, sizeof(text)) == 0)
		return add_body(c, m, strtoul(text, NULL, 10), timeout_ms);
	return add_body(c, m, 0, timeout_ms);
}

/* The store. */

static size_t
base64(const char *p, size_t n, char *dst)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t i, k = 0;
	uint32_t v;

	for (i = 0; i < n; i += 3) {
		v = (uint32_t)(unsigned char)p[i] << 16;
		if (i + 1 < n)
			v |= (uint32_t)(unsigned char)p[i + 1] << 8;
		if (i + 2 < n)
			v |= (unsigned char)p[i + 2];
		dst[k++] = digits[v >> 18];
		dst[k++] = digits[v >> 12 & 63];
		dst[k++] = i + 1 < n ? digits[v >> 6 & 63] : '=';
		dst[k++] = i + 2 < n ? digits[v & 63] : '=';
	}
	dst[k] = '\0';
	return k;
}

static struct topic *
find_topic(const char *target)
{
	size_t i;

	for (i = 0; i < 2; i++)
		if (strstr(target, topics[i].name) != NULL)
			return &topics[i];
	return NULL;
}

static uint64_t
query(const char *target, const char *name, uint64_t value)
{
	char *p = strstr(target, name);

	return p == NULL ? value : strtoull(p + strlen(name), NULL, 10);
}

static void
append(struct topic *t, const char *key, size_t key_len, const char *value,
    size_t len)
{
	struct record *r;

	pthread_mutex_lock(&store_lock);
	if (t->count == RECORDS_MAX)
		errx(2, "the store is full");
	r = &t->records[t->count];
	snprintf(r->key, sizeof(r->key), "%.*s", (int)key_len, key);
	r->value = malloc(len + 1);
	if (r->value == NULL)
		errx(2, "out of memory");
	memcpy(r->value, value, len);
	r->value[len] = '\0';
	r->len = len;
	t->count++;
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
}

/*
 * Publishes a configuration.  It is acknowledged when the function returns.
 */
void
lab_publish(const char *config)
{
	append(&topics[0], "config", strlen("config"), config, strlen(config));
	lab_note("operator: configuration acknowledged: %s", config);
}

/*
 * Lets the store accept connections and answer nothing.
 */
void
lab_store_silence(void)
{
	store_silent = 1;
	lab_note("the store answers nothing from now on");
}

/*
 * Lets the store return from a copy that holds so many versions of the
 * configuration, in a new era.  Connections from before stay silent.
 */
void
lab_store_return(size_t versions)
{
	pthread_mutex_lock(&store_lock);
	if (topics[0].count > versions)
		topics[0].count = versions;
	store_era++;
	store_silent = 0;
	pthread_mutex_unlock(&store_lock);
	lab_note("the store returns from a copy: %zu versions, era %d",
	    versions, store_era);
}

/*
 * Waits forever on a connection that belongs to an earlier era of the store, or
 * as long as the store is silent.
 */
static void
await_silence(int era)
{
	while (store_silent || era != store_era)
		usleep(20000);
}

static void
answer_newest(struct lab_conn *c, struct topic *t)
{
	char *text = malloc(1 << 20), *item = malloc(1 << 19);
	size_t len, i, k, items = 0;

	if (text == NULL || item == NULL)
		errx(2, "out of memory");
	len = (size_t)sprintf(text, "{\"items\":[");
	pthread_mutex_lock(&store_lock);
	for (i = 0; i < t->count; i++) {
		for (k = i + 1; k < t->count; k++)
			if (strcmp(t->records[k].key, t->records[i].key) == 0)
				break;
		if (k < t->count || t->records[i].len == 0)
			continue;
		base64(t->records[i].value, t->records[i].len, item);
		len += (size_t)sprintf(text + len,
		    "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%zu}",
		    items++ > 0 ? "," : "", t->records[i].key, item, i);
	}
	len += (size_t)sprintf(
	    text + len, "],\"has_more\":false,\"end\":%zu}", t->count);
	pthread_mutex_unlock(&store_lock);
	lab_printf(c,
	    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	    "Store-Era: %d\r\nContent-Length: %zu\r\n\r\n",
	    store_era, len);
	lab_write(c, text, len);
	free(text);
	free(item);
}

static void
put_big_endian(char *p, uint64_t v, int n)
{
	while (n-- > 0) {
		p[n] = (char)(v & 255);
		v >>= 8;
	}
}

static void
answer_read(
    struct lab_conn *c, struct topic *t, const char *target, int era)
{
	uint64_t from = query(target, "from=", 0);
	uint64_t wait_ms = query(target, "wait_ms=", 0);
	struct timespec until;
	char *text = malloc(1 << 20);
	size_t len = 16, i, key_len, n;

	if (text == NULL)
		errx(2, "out of memory");
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += (time_t)(wait_ms / MS_PER_S);
	until.tv_nsec += (long)(wait_ms % MS_PER_S) * NS_PER_MS;
	if (until.tv_nsec >= 1000000000) {
		until.tv_nsec -= 1000000000;
		until.tv_sec++;
	}
	pthread_mutex_lock(&store_lock);
	if (from > t->count) {
		pthread_mutex_unlock(&store_lock);
		lab_note("store: read from %llu gets 410",
		    (unsigned long long)from);
		lab_printf(c,
		    "HTTP/1.1 410 Gone\r\nStore-Era: %d\r\n"
		    "Content-Length: 11\r\n\r\n{\"first\":0}",
		    store_era);
		free(text);
		return;
	}
	while (t->count <= from && wait_ms > 0 &&
	       pthread_cond_timedwait(&store_changed, &store_lock, &until) ==
		   0)
		;
	if (store_silent || era != store_era) {
		pthread_mutex_unlock(&store_lock);
		await_silence(era);
		pthread_mutex_lock(&store_lock);
	}
	put_big_endian(text, t->count, 8);
	put_big_endian(text + 8, 0, 8);
	for (i = from; i < t->count; i++) {
		key_len = strlen(t->records[i].key);
		n = 1 + key_len + t->records[i].len;
		put_big_endian(text + len, n, 4);
		text[len + 4] = (char)key_len;
		memcpy(text + len + 5, t->records[i].key, key_len);
		memcpy(text + len + 5 + key_len, t->records[i].value,
		    t->records[i].len);
		len += 4 + n;
	}
	pthread_mutex_unlock(&store_lock);
	lab_printf(c,
	    "HTTP/1.1 200 OK\r\nStore-Era: %d\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    store_era, len);
	lab_write(c, text, len);
	free(text);
}

static void
answer_append(struct lab_conn *c, struct topic *t, const struct lab_msg *m)
{
	const char *p = m->body, *end = p + m->body_len;
	uint32_t n;
	size_t key_len, first = t->count;
	char text[64];

	while (end - p > 4) {
		n = (uint32_t)(unsigned char)p[0] << 24 |
		    (uint32_t)(unsigned char)p[1] << 16 |
		    (uint32_t)(unsigned char)p[2] << 8 | (unsigned char)p[3];
		key_len = (unsigned char)p[4];
		append(t, p + 5, key_len, p + 5 + key_len, n - 1 - key_len);
		p += 4 + n;
	}
	snprintf(text, sizeof(text), "{\"offset\":%zu,\"end\":%zu}", first,
	    t->count);
	lab_printf(c,
	    "HTTP/1.1 200 OK\r\nStore-Era: %d\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    store_era, strlen(text), text);
}

static void *
store_conn(void *arg)
{
	struct lab_conn *c = arg;
	struct lab_msg m;
	struct topic *t;
	int era = store_era;

	while (lab_read_head(c, &m, -1) == 1 &&
	       lab_read_body(c, &m, -1) == 0) {
		await_silence(era);
		t = find_topic(m.target);
		if (t == NULL)
			lab_printf(c, "HTTP/1.1 404 Not Found\r\n"
				      "Content-Length: 0\r\n\r\n");
		else if (strstr(m.target, "log-newest") != NULL)
			answer_newest(c, t);
		else if (strstr(m.target, "log-read") != NULL)
			answer_read(c, t, m.target, era);
		else
			answer_append(c, t, &m);
		free(m.body);
	}
	lab_close(c);
	free(c);
	return NULL;
}

/* What accepts connections, and what serves them. */
struct acceptor {
	int fd;
	void *(*serve)(void *);
	struct lab_server *server;
};

/* A connection of a server. */
struct served {
	struct lab_conn conn;
	struct lab_server *server;
};

static void *
accept_loop(void *arg)
{
	struct acceptor *a = arg;
	struct served *s;
	int fd, one = 1;

	for (;;) {
		fd = accept4(a->fd, NULL, NULL, SOCK_CLOEXEC);
		if (fd == -1 && (errno == EINTR || errno == ECONNABORTED))
			continue;
		if (fd == -1)
			break;
		if (a->server != NULL && a->server->ended) {
			close(fd);
			break;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		s = calloc(1, sizeof(*s));
		if (s == NULL)
			errx(2, "out of memory");
		s->conn.fd = fd;
		s->server = a->server;
		lab_thread(a->serve, s);
	}
	free(a);
	return NULL;
}

static void
start_accepting(int fd, void *(*serve)(void *), struct lab_server *server)
{
	struct acceptor *a = calloc(1, sizeof(*a));

	if (a == NULL)
		errx(2, "out of memory");
	a->fd = fd;
	a->serve = serve;
	a->server = server;
	lab_thread(accept_loop, a);
}

/* Servers. */

/*
 * Answers a request at a server.  body is what the answer holds.
 */
void
lab_answer(struct lab_server *s, struct lab_conn *c, const struct lab_msg *m,
    int status, const char *fields, const char *body)
{
	char id[LAB_ID_BYTES];

	lab_header(m, "X-Cyclamenvale-Attempt-Id", id, sizeof(id));
	lab_printf(c,
	    "HTTP/1.1 %d %s\r\nX-Cyclamenvale-Attempt-Id: %s\r\n"
	    "X-Cyclamenvale-Server-Load: %d,0,%d\r\n%s"
	    "Content-Length: %zu\r\n\r\n%s",
	    status, status == 200 ? "OK" : "Answer", id, s->running, s->slots,
	    fields, strlen(body), body);
}

/*
 * Runs a request for some time and answers it with the id of the request and
 * that of the server, or with 504 at the deadline.
 */
void
lab_run_for(
    struct lab_server *s, struct lab_conn *c, const struct lab_msg *m, int ms)
{
	char id[LAB_ID_BYTES], left[32], fields[256], body[256];
	int deadline_ms = 60000;

	lab_header(m, "X-Cyclamenvale-Attempt-Id", id, sizeof(id));
	if (lab_header(m, "X-Cyclamenvale-Deadline-Ms", left, sizeof(left)) ==
	    0)
		deadline_ms = atoi(left);
	lab_note("server %s runs %s %s %s", s->id, id, m->method, m->target);
	snprintf(fields, sizeof(fields),
	    "X-Cyclamenvale-Response-Signature: sig.%s.%s\r\n", s->id, id);
	snprintf(body, sizeof(body), "answer of %s to %s", s->id, id);
	usleep((useconds_t)(ms < deadline_ms ? ms : deadline_ms) * 1000);
	if (s->ended)
		return;
	lab_note("server %s has run %s", s->id, id);
	if (ms < deadline_ms)
		lab_answer(s, c, m, 200, fields, body);
	else
		lab_answer(s, c, m, 504, fields, "deadline");
}

static void
answer_health(struct lab_server *s, struct lab_conn *c)
{
	lab_printf(c,
	    "HTTP/1.1 %s\r\nX-Cyclamenvale-Instance-Id: %s\r\n"
	    "X-Cyclamenvale-Server-Load: %d,0,%d\r\nContent-Length: 0\r\n\r\n",
	    s->leaving ? "503 Leaving" : "200 OK", s->id, s->running,
	    s->slots);
}

/*
 * Notes that a connection of a server is open or about to be closed.
 */
static void
track(struct lab_server *s, int fd, int is_open)
{
	if (fd < 0 || fd >= LAB_FDS_MAX)
		return;
	pthread_mutex_lock(&conn_lock);
	s->open_fds[fd] = (char)is_open;
	if (is_open && s->ended)
		shutdown(fd, SHUT_RDWR);
	pthread_mutex_unlock(&conn_lock);
}

static void *
server_conn(void *arg)
{
	struct served *sv = arg;
	struct lab_server *s = sv->server;
	struct lab_conn *c = &sv->conn;
	char expected[LAB_ID_BYTES];
	struct lab_msg m;

	track(s, c->fd, 1);
	while (!s->ended && lab_read_head(c, &m, -1) == 1) {
		if (strcmp(m.target, "/health") == 0) {
			answer_health(s, c);
			continue;
		}
		if (lab_header(&m, "X-Cyclamenvale-Expect-Instance", expected,
			sizeof(expected)) == 0 &&
		    strcmp(expected, s->id) != 0) {
			if (lab_read_body(c, &m, -1) == -1)
				break;
			lab_answer(s, c, &m, 421,
			    "X-Cyclamenvale-Not-Executed: 1\r\n", "");
			free(m.body);
			continue;
		}
		if (lab_read_body(c, &m, -1) == -1) {
			free(m.body);
			break;
		}
		__sync_fetch_and_add(&s->running, 1);
		s->run(s, c, &m);
		__sync_fetch_and_sub(&s->running, 1);
		free(m.body);
	}
	track(s, c->fd, 0);
	lab_close(c);
	free(sv);
	return NULL;
}

/*
 * Sends a call of the server to its node.  Returns the status of the answer, or
 * -1.
 */
static int
call_control(struct lab_server *s, const char *method, const char *body)
{
	struct lab_conn *c = malloc(sizeof(*c));
	struct lab_msg *m = malloc(sizeof(*m));
	int status = -1;

	if (c == NULL || m == NULL)
		errx(2, "out of memory");
	if (lab_connect(c, s->machine, lab_port(LAB_CONTROL),
		ACK_TIMEOUT_MS) == 0) {
		if (lab_printf(c,
			"%s /v1/instances/%s HTTP/1.1\r\nHost: control\r\n"
			"Content-Type: application/json\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			method, s->id, strlen(body), body) == 0 &&
		    lab_read_head(c, m, ACK_TIMEOUT_MS) == 1)
			status = m->status;
		lab_close(c);
	}
	free(c);
	free(m);
	return status;
}

/*
 * Sends the server's DELETE, without a body.
 */
int
lab_server_delete(struct lab_server *s)
{
	return call_control(s, "DELETE", "");
}

/*
 * Sends an announcement of the server with its next number.
 */
int
lab_server_beat(struct lab_server *s, const char *method, const char *state)
{
	return lab_server_beat_numbered(
	    s, method, state, __sync_add_and_fetch(&s->sequence, 1));
}

/*
 * Sends an announcement of the server with a given number.  Returns the status
 * of the answer, or -1.
 */
int
lab_server_beat_numbered(struct lab_server *s, const char *method,
    const char *state, uint64_t number)
{
	char ip[32], body[512];

	lab_ip(s->machine, ip, sizeof(ip));
	snprintf(body, sizeof(body),
	    "{\"address\":\"%s:%d\",\"info\":{\"service\":\"%s\",\"version\":"
	    "\"v1\",\"zone\":\"z%d\",\"slots\":%d},\"status\":{\"state\":"
	    "\"%s\",\"sequence\":%llu,\"cold_remaining\":\"0ms\"},"
	    "\"born\":%llu}",
	    ip, lab_port(LAB_SERVER), s->service, s->machine % 3, s->slots,
	    state,
	    (unsigned long long)number, (unsigned long long)s->born_ms);
	return call_control(s, method, body);
}

static void *
beat_loop(void *arg)
{
	struct lab_server *s = arg;
	uint64_t next = lab_ms();

	while (!s->ended && !s->leaving) {
		if (lab_ms() < next) {
			usleep(10000);
			continue;
		}
		(void)lab_server_beat(s, "PUT", "ready");
		next += HEARTBEAT_MS;
	}
	return NULL;
}

void
lab_server_init(
    struct lab_server *s, int machine, const char *service, lab_run_fn run)
{
	memset(s, 0, sizeof(*s));
	s->machine = machine;
	snprintf(s->service, sizeof(s->service), "%s", service);
	s->slots = 64;
	s->run = run;
}

/*
 * Starts a server as a new incarnation, which sends heartbeats.
 */
void
lab_server_start(struct lab_server *s)
{
	s->born_ms = unix_ms();
	snprintf(s->id, sizeof(s->id), "i-%d-%llx", s->machine,
	    (unsigned long long)s->born_ms & 0xffffff);
	s->listener = listen_at(s->machine, lab_port(LAB_SERVER));
	if (s->listener == -1)
		errx(2, "cannot listen for a server");
	start_accepting(s->listener, server_conn, s);
	lab_thread(beat_loop, s);
}

/*
 * Ends a server: its port is closed, and what it ran is lost.
 */
void
lab_server_end(struct lab_server *s)
{
	int fd;

	pthread_mutex_lock(&conn_lock);
	s->ended = 1;
	for (fd = 0; fd < LAB_FDS_MAX; fd++)
		if (s->open_fds[fd])
			shutdown(fd, SHUT_RDWR);
	pthread_mutex_unlock(&conn_lock);
	shutdown(s->listener, SHUT_RDWR);
	close(s->listener);
}

/* Nodes. */

static void
write_settings(int machine, const char *service, const char *path)
{
	char ip[32], store[32];
	FILE *f = fopen(path, "w");

	if (f == NULL)
		err(2, "%s", path);
	lab_ip(machine, ip, sizeof(ip));
	lab_ip(STORE_MACHINE, store, sizeof(store));
	fprintf(f,
	    "node = node-%d\nzone = z%d\nservice = %s\nentry = %s:%d\n"
	    "exit = %s:%d\nserver = %s:%d\ncontrol = %s:%d\nready = %s:%d\n"
	    "store = %s:%d\nfleet-port = %d\nmetrics-port = %d\n"
	    "config-apply = 2000ms\nrevoke = 5000ms\ngrace = 6s\n"
	    "quota-overage = 0.1\nquota-slack = 20\nretry-ratio = 0.2\n"
	    "retry-slack = 49\nmemory-mb = 260\ndescriptors = 4100\nend\n",
	    machine, machine % 3, service, ip, lab_port(LAB_ENTRY), ip,
	    lab_port(LAB_EXIT), ip, lab_port(LAB_SERVER), ip,
	    lab_port(LAB_CONTROL), ip, lab_port(LAB_READY), store,
	    lab_port(LAB_STORE), lab_port(LAB_FLEET), lab_port(LAB_METRICS));
	fclose(f);
}

/*
 * Starts the node of a machine with the command of the deploy file.
 */
void
lab_node_start(int machine, const char *service)
{
	struct lab_node *n = &nodes[machine];
	char path[128], arg[160], log[128];
	pid_t pid;
	int fd;

	snprintf(path, sizeof(path), "%s/node-%d.conf", folder, machine);
	snprintf(log, sizeof(log), "%s/node-%d.log", folder, machine);
	snprintf(arg, sizeof(arg), "--settings=%s", path);
	write_settings(machine, service, path);
	pid = fork();
	if (pid == -1)
		err(2, "fork");
	if (pid == 0) {
		/* The node ends with this program, however that ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		if (fd == -1 || dup2(fd, STDOUT_FILENO) == -1 ||
		    dup2(fd, STDERR_FILENO) == -1)
			_exit(127);
		execl("target/cyclamenvale-node", "target/cyclamenvale-node",
		    arg, (char *)NULL);
		_exit(127);
	}
	n->machine = machine;
	n->pid = pid;
	n->ended = 0;
	lab_note("node %d starts", machine);
}

void
lab_node_signal(int machine, int sig)
{
	if (nodes[machine].pid > 0)
		kill(nodes[machine].pid, sig);
	lab_note("node %d gets signal %d (%s)", machine, sig, strsignal(sig));
}

/*
 * Waits until the process of a node has ended.
 */
void
lab_node_wait(int machine)
{
	int status;

	if (nodes[machine].pid > 0)
		waitpid(nodes[machine].pid, &status, 0);
	nodes[machine].pid = 0;
}

/*
 * Returns whether the process of a node runs.  Notes how it ended by itself.
 */
int
lab_node_alive(int machine)
{
	struct lab_node *n = &nodes[machine];
	int status;

	if (n->pid <= 0)
		return 0;
	if (waitpid(n->pid, &status, WNOHANG) != n->pid)
		return 1;
	lab_note("node %d ended by itself: %s %d", machine,
	    WIFSIGNALED(status) ? "signal" : "exit status",
	    WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
	n->pid = 0;
	n->ended = 1;
	return 0;
}

/*
 * Waits until a node answers its readiness request with 200.  Returns 1, or 0
 * after the timeout.
 */
int
lab_wait_ready(int machine, int timeout_ms)
{
	uint64_t until = lab_ms() + (uint64_t)timeout_ms;
	struct lab_conn *c = malloc(sizeof(*c));
	struct lab_msg *m = malloc(sizeof(*m));
	int ready = 0;

	if (c == NULL || m == NULL)
		errx(2, "out of memory");
	while (!ready && lab_ms() < until) {
		if (lab_connect(c, machine, lab_port(LAB_READY), 1000) == 0) {
			lab_printf(
			    c, "GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n");
			ready = lab_read_head(c, m, 1000) == 1 &&
				m->status == 200;
			lab_close(c);
		}
		if (!ready)
			usleep(20000);
	}
	free(c);
	free(m);
	return ready;
}

static void
kill_nodes(void)
{
	int i;

	for (i = 0; i < LAB_NODES_MAX; i++)
		if (nodes[i].pid > 0)
			kill(nodes[i].pid, SIGKILL);
}

static void
on_signal(int sig)
{
	kill_nodes();
	_exit(sig == SIGALRM ? 2 : 128 + sig);
}

/*
 * Prepares a case whose folder is given, and starts the store.
 */
void
lab_init(const char *dir)
{
	const char *text = getenv("TROUBLE");
	char path[256];
	int fd;

	start_ms = steady_ms();
	trouble = text == NULL || strcmp(text, "0") != 0;
	snprintf(path, sizeof(path), "%s/record.txt", dir);
	record_file = fopen(path, "w");
	if (record_file == NULL)
		err(2, "%s", path);
	snprintf(folder, sizeof(folder), "/tmp/review-2-XXXXXX");
	if (mkdtemp(folder) == NULL)
		err(2, "mkdtemp");
	atexit(kill_nodes);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGALRM, on_signal);
	alarm(110);
	choose_net();
	fd = listen_at(STORE_MACHINE, lab_port(LAB_STORE));
	if (fd == -1)
		errx(2, "cannot listen for the store");
	start_accepting(fd, store_conn, NULL);
	lab_note("TROUBLE=%d", trouble);
}

/*
 * Ends all nodes and removes the temporary folder, unless KEEP is set.
 * Returns the exit status of the case.
 */
int
lab_finish(int status)
{
	char path[160];
	int i;

	for (i = 0; i < LAB_NODES_MAX; i++)
		(void)lab_node_alive(i);
	kill_nodes();
	for (i = 0; i < LAB_NODES_MAX; i++) {
		lab_node_wait(i);
		if (getenv("KEEP") != NULL)
			continue;
		snprintf(path, sizeof(path), "%s/node-%d.conf", folder, i);
		unlink(path);
		snprintf(path, sizeof(path), "%s/node-%d.log", folder, i);
		unlink(path);
	}
	if (getenv("KEEP") != NULL)
		fprintf(stderr, "logs of the nodes: %s\n", folder);
	else
		rmdir(folder);
	lab_note("result: %s",
	    status == 0   ? "the rule held"
	    : status == 1 ? "the rule was broken"
			  : "the case could not run");
	return status;
}
