#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "lab.h"

#define HEARTBEAT_S 1.5
#define RECORDS_MAX 512
#define TOPICS 4
#define PORTS 7

struct record {
	char *key;
	char *value;
	size_t value_len;
};

struct topic {
	char name[64];
	struct record records[RECORDS_MAX];
	uint64_t end;
};

struct lab_machine lab_machines[LAB_MACHINES_MAX];
int lab_count;
int lab_trouble;

static struct topic topics[TOPICS];
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t machine_lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *record_file;
static char store_ip[32], folder[256];
static struct timespec began;

/*
 * Returns the seconds since the start.
 */
double
lab_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)(ts.tv_sec - began.tv_sec) +
	       (double)(ts.tv_nsec - began.tv_nsec) / 1e9;
}

void
lab_sleep_until(double at_s)
{
	double left = at_s - lab_now();
	struct timespec ts;

	if (left <= 0)
		return;
	ts.tv_sec = (time_t)left;
	ts.tv_nsec = (long)((left - (double)ts.tv_sec) * 1e9);
	nanosleep(&ts, NULL);
}

/*
 * Writes a line to record.txt.
 */
void
lab_record(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%9.4f ", lab_now());
	va_start(ap, fmt);
	vfprintf(record_file, fmt, ap);
	va_end(ap);
	fputc('\n', record_file);
	pthread_mutex_unlock(&record_lock);
}

/*
 * Ends the case because it couldn't run.
 */
void
lab_fail_setup(const char *fmt, ...)
{
	char text[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	lab_record("the case couldn't run: %s", text);
	fprintf(stderr, "the case couldn't run: %s\n", text);
	exit(lab_finish(2));
}

void
lab_thread(void *(*fn)(void *), void *arg)
{
	pthread_attr_t a;
	pthread_t t;

	pthread_attr_init(&a);
	pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&a, 512 * 1024);
	if (pthread_create(&t, &a, fn, arg) != 0)
		lab_fail_setup("no thread");
	pthread_attr_destroy(&a);
}

static void
fill_address(struct sockaddr_in *sa, const char *ip, int port)
{
	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip, &sa->sin_addr);
}

/*
 * Opens a listener.  Returns its descriptor, or -1.
 */
int
lab_listen(const char *ip, int port)
{
	struct sockaddr_in sa;
	int fd, on = 1;

	fill_address(&sa, ip, port);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == -1 ||
	    listen(fd, 1024) == -1) {
		close(fd);
		return -1;
	}
	return fd;
}

/*
 * Connects within a second.  receive_bytes and mss bound the receive buffer and
 * the segments (0: the usual ones); a read waits for wait_s.  Returns a
 * descriptor, or -1.
 */
int
lab_connect(const char *ip, int port, int receive_bytes, int mss, double wait_s)
{
	struct timeval tv = { 1, 0 };
	struct sockaddr_in sa;
	int fd, on = 1;

	fill_address(&sa, ip, port);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (receive_bytes > 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
		    sizeof(receive_bytes));
	if (mss > 0)
		setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &mss, sizeof(mss));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == -1) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	tv.tv_sec = (time_t)wait_s;
	tv.tv_usec = (suseconds_t)((wait_s - (double)tv.tv_sec) * 1e6);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	return fd;
}

/*
 * Sends all bytes.  Returns 0 or -1.
 */
int
lab_send(int fd, const void *p, size_t n)
{
	const char *c = p;
	ssize_t sent;

	while (n > 0) {
		sent = send(fd, c, n, MSG_NOSIGNAL);
		if (sent <= 0)
			return -1;
		c += sent;
		n -= (size_t)sent;
	}
	return 0;
}

/*
 * Reads up to n bytes, from the buffer first.
 */
ssize_t
lab_read(struct lab_conn *c, void *p, size_t n)
{
	size_t have = c->len - c->pos;

	if (have == 0)
		return recv(c->fd, p, n, 0);
	if (have > n)
		have = n;
	memcpy(p, c->buf + c->pos, have);
	c->pos += have;
	return (ssize_t)have;
}

/*
 * Reads a head with its empty line.  Returns 0, -1 at the end of the
 * connection or after a time-out.
 */
int
lab_read_head(struct lab_conn *c, char *head, size_t size)
{
	size_t n = 0;
	ssize_t got;

	for (;;) {
		if (c->pos == c->len) {
			got = recv(c->fd, c->buf, sizeof(c->buf), 0);
			if (got <= 0)
				return -1;
			c->pos = 0;
			c->len = (size_t)got;
		}
		if (n + 1 >= size)
			return -1;
		head[n++] = c->buf[c->pos++];
		if (n >= 4 && memcmp(head + n - 4, "\r\n\r\n", 4) == 0) {
			head[n] = '\0';
			return 0;
		}
	}
}

/*
 * Copies the value of a field.  Returns 1, or 0 if there is none.
 */
int
lab_field(const char *head, const char *name, char *value, size_t size)
{
	const char *p = strstr(head, "\r\n");
	size_t n = strlen(name), len;

	value[0] = '\0';
	for (; p != NULL && p[2] != '\r'; p = strstr(p + 2, "\r\n")) {
		if (strncasecmp(p + 2, name, n) != 0 || p[2 + n] != ':')
			continue;
		p += 2 + n + 1;
		p += strspn(p, " ");
		len = strcspn(p, "\r");
		if (len >= size)
			len = size - 1;
		memcpy(value, p, len);
		value[len] = '\0';
		return 1;
	}
	return 0;
}

static int
read_exactly(struct lab_conn *c, char *p, size_t n)
{
	ssize_t got;

	while (n > 0) {
		got = lab_read(c, p, n);
		if (got <= 0)
			return -1;
		p += got;
		n -= (size_t)got;
	}
	return 0;
}

static int
read_line(struct lab_conn *c, char *line, size_t size)
{
	size_t n = 0;

	while (n + 1 < size) {
		if (read_exactly(c, &line[n], 1) == -1)
			return -1;
		n++;
		if (n >= 2 && memcmp(line + n - 2, "\r\n", 2) == 0) {
			line[n - 2] = '\0';
			return 0;
		}
	}
	return -1;
}

/*
 * Reads the body that belongs to a head.  Returns 0 or -1; what was read
 * before a failure is kept.
 */
int
lab_read_body(struct lab_conn *c, const char *head, char **body, size_t *len)
{
	char text[64], line[64];
	size_t n;
	ssize_t got;

	*body = NULL;
	*len = 0;
	if (lab_field(head, "Transfer-Encoding", text, sizeof(text)) &&
	    strcasecmp(text, "chunked") == 0) {
		for (;;) {
			if (read_line(c, line, sizeof(line)) == -1)
				return -1;
			n = strtoul(line, NULL, 16);
			*body = realloc(*body, *len + n + 1);
			if (read_exactly(c, *body + *len, n) == -1)
				return -1;
			*len += n;
			if (read_line(c, line, sizeof(line)) == -1)
				return -1;
			if (n == 0)
				return 0;
		}
	}
	if (!lab_field(head, "Content-Length", text, sizeof(text)))
		return 0;
	n = strtoul(text, NULL, 10);
	*body = malloc(n + 1);
	while (*len < n) {
		got = lab_read(c, *body + *len, n - *len);
		if (got <= 0)
			return -1;
		*len += (size_t)got;
	}
	return 0;
}

/*
 * Sends an answer of a server with its id, signature and load.
 */
int
lab_reply(struct lab_conn *c, const struct lab_machine *m,
    const struct lab_request *r, int status, const char *fields,
    const void *body, size_t n)
{
	char head[2048];
	int len;

	len = snprintf(head, sizeof(head),
	    "HTTP/1.1 %d X\r\nX-Cyclamenvale-Attempt-Id: %s\r\n"
	    "X-Cyclamenvale-Response-Signature: s.%s\r\n"
	    "X-Cyclamenvale-Server-Load: %d,0,%d\r\n%sContent-Length: %zu\r\n"
	    "\r\n",
	    status, r->id, r->id, m->running, m->slots, fields, n);
	if (lab_send(c->fd, head, (size_t)len) == -1)
		return -1;
	return n > 0 ? lab_send(c->fd, body, n) : 0;
}

/*
 * Answers a health request of the node.
 */
static int
answer_health(struct lab_machine *m, struct lab_conn *c)
{
	char text[512];
	int len;

	len = snprintf(text, sizeof(text),
	    "HTTP/1.1 %s\r\nX-Cyclamenvale-Instance-Id: %s\r\n"
	    "X-Cyclamenvale-Server-Load: %d,0,%d\r\nContent-Length: 0\r\n\r\n",
	    m->leaving ? "503 Leaving" : "200 OK", m->id, m->running, m->slots);
	return lab_send(c->fd, text, (size_t)len);
}

struct accepted {
	struct lab_machine *machine; /* NULL: the store */
	int fd;
};

static void
request_parse(struct lab_request *r)
{
	sscanf(r->head, "%15s %511s", r->method, r->path);
	lab_field(r->head, "X-Cyclamenvale-Attempt-Id", r->id, sizeof(r->id));
	r->received_s = lab_now();
}

static void *
serve_machine(void *arg)
{
	struct accepted *a = arg;
	struct lab_machine *m = a->machine;
	struct lab_conn *c = calloc(1, sizeof(*c));
	struct lab_request *r = calloc(1, sizeof(*r));
	char expected[64], reject[512];
	int rc = 0, len;

	c->fd = a->fd;
	c->opened_s = lab_now();
	free(a);
	while (rc == 0) {
		memset(r, 0, sizeof(*r));
		if (lab_read_head(c, r->head, sizeof(r->head)) == -1)
			break;
		request_parse(r);
		if (strcmp(r->path, "/health") == 0) {
			rc = answer_health(m, c);
			continue;
		}
		if (lab_field(r->head, "X-Cyclamenvale-Expect-Instance",
			expected, sizeof(expected)) &&
		    strcmp(expected, m->id) != 0) {
			if (lab_read_body(c, r->head, &r->body, &r->body_len) ==
			    -1)
				break;
			len = snprintf(reject, sizeof(reject),
			    "HTTP/1.1 421 X\r\nX-Cyclamenvale-Attempt-Id: "
			    "%s\r\nX-Cyclamenvale-Not-Executed: 1\r\n"
			    "Content-Length: 0\r\n\r\n",
			    r->id);
			rc = lab_send(c->fd, reject, (size_t)len);
			free(r->body);
			continue;
		}
		if (!m->early &&
		    lab_read_body(c, r->head, &r->body, &r->body_len) == -1) {
			free(r->body);
			break;
		}
		__atomic_add_fetch(&m->running, 1, __ATOMIC_SEQ_CST);
		rc = m->handler(m, c, r);
		__atomic_sub_fetch(&m->running, 1, __ATOMIC_SEQ_CST);
		free(r->body);
		if (m->ended)
			break;
	}
	close(c->fd);
	free(c);
	free(r);
	return NULL;
}

static struct topic *
find_topic(const char *name)
{
	int i;

	for (i = 0; i < TOPICS; i++) {
		if (topics[i].name[0] == '\0')
			snprintf(topics[i].name, sizeof(topics[i].name), "%s",
			    name);
		if (strcmp(topics[i].name, name) == 0)
			return &topics[i];
	}
	lab_fail_setup("too many topics");
	return NULL;
}

static int
query(const char *path, const char *name, char *value, size_t size)
{
	const char *p = strchr(path, '?');
	size_t n = strlen(name), len;

	while (p != NULL) {
		p++;
		if (strncmp(p, name, n) == 0 && p[n] == '=') {
			p += n + 1;
			len = strcspn(p, "&");
			if (len >= size)
				len = size - 1;
			memcpy(value, p, len);
			value[len] = '\0';
			return 1;
		}
		p = strchr(p, '&');
	}
	value[0] = '\0';
	return 0;
}

/*
 * Adds a record and returns its offset.
 */
static uint64_t
append(struct topic *t, const char *key, size_t key_len, const char *value,
    size_t value_len)
{
	struct record *r;
	uint64_t offset;

	pthread_mutex_lock(&store_lock);
	if (t->end == RECORDS_MAX)
		lab_fail_setup("the store is full");
	offset = t->end;
	r = &t->records[t->end++];
	r->key = strndup(key, key_len);
	r->value = malloc(value_len + 1);
	memcpy(r->value, value, value_len);
	r->value[value_len] = '\0';
	r->value_len = value_len;
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
	return offset;
}

static size_t
base64(char *out, const unsigned char *p, size_t n)
{
	static const char set[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrs"
				  "tuvwxyz0123456789+/";
	size_t o = 0, i;
	uint32_t v;

	for (i = 0; i < n; i += 3) {
		v = (uint32_t)p[i] << 16 | (i + 1 < n ? p[i + 1] << 8 : 0) |
		    (i + 2 < n ? p[i + 2] : 0);
		out[o++] = set[v >> 18];
		out[o++] = set[v >> 12 & 63];
		out[o++] = i + 1 < n ? set[v >> 6 & 63] : '=';
		out[o++] = i + 2 < n ? set[v & 63] : '=';
	}
	out[o] = '\0';
	return o;
}

static int
store_send(int fd, int status, const char *type, const void *body, size_t n)
{
	char head[256];
	int len;

	len = snprintf(head, sizeof(head),
	    "HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %zu\r\n\r\n",
	    status, type, n);
	return lab_send(fd, head, (size_t)len) == -1 ||
		       lab_send(fd, body, n) == -1
		   ? -1
		   : 0;
}

static void
put_number(char *p, uint64_t v, int bytes)
{
	int i;

	for (i = 0; i < bytes; i++)
		p[i] = (char)(v >> (bytes - 1 - i) * 8);
}

/*
 * Answers a read once there is a record, or after wait_ms.
 */
static int
store_read(int fd, struct topic *t, uint64_t from, uint64_t wait_ms)
{
	struct timespec until;
	size_t len = 16, cap = 16, klen;
	char *out;
	uint64_t i;
	int rc;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += (time_t)(wait_ms / 1000);
	until.tv_nsec += (long)(wait_ms % 1000) * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_nsec -= 1000000000;
		until.tv_sec++;
	}
	pthread_mutex_lock(&store_lock);
	while (t->end <= from && wait_ms > 0 &&
	       pthread_cond_timedwait(&store_changed, &store_lock, &until) == 0)
		;
	for (i = from; i < t->end; i++)
		cap += 5 + strlen(t->records[i].key) + t->records[i].value_len;
	out = malloc(cap);
	put_number(out, t->end, 8);
	put_number(out + 8, 0, 8);
	for (i = from; i < t->end; i++) {
		klen = strlen(t->records[i].key);
		put_number(out + len, 1 + klen + t->records[i].value_len, 4);
		out[len + 4] = (char)klen;
		memcpy(out + len + 5, t->records[i].key, klen);
		memcpy(out + len + 5 + klen, t->records[i].value,
		    t->records[i].value_len);
		len += 5 + klen + t->records[i].value_len;
	}
	pthread_mutex_unlock(&store_lock);
	rc = store_send(fd, 200, "application/octet-stream", out, len);
	free(out);
	return rc;
}

static int
store_newest(int fd, struct topic *t)
{
	size_t cap = 256, len;
	uint64_t i, j;
	char *out;
	int rc, first = 1;

	pthread_mutex_lock(&store_lock);
	for (i = 0; i < t->end; i++)
		cap += 256 + t->records[i].value_len * 2;
	out = malloc(cap);
	len = (size_t)sprintf(out, "{\"items\":[");
	for (i = 0; i < t->end; i++) {
		for (j = i + 1; j < t->end; j++)
			if (strcmp(t->records[i].key, t->records[j].key) == 0)
				break;
		if (j < t->end || t->records[i].value_len == 0)
			continue;
		len += (size_t)sprintf(out + len, "%s{\"key\":\"%s\",\"value\":\"",
		    first ? "" : ",", t->records[i].key);
		len += base64(out + len,
		    (const unsigned char *)t->records[i].value,
		    t->records[i].value_len);
		len += (size_t)sprintf(
		    out + len, "\",\"offset\":%llu}", (unsigned long long)i);
		first = 0;
	}
	len += (size_t)sprintf(out + len, "],\"has_more\":false,\"end\":%llu}",
	    (unsigned long long)t->end);
	pthread_mutex_unlock(&store_lock);
	rc = store_send(fd, 200, "application/json", out, len);
	free(out);
	return rc;
}

static int
store_append(int fd, struct topic *t, const struct lab_request *r)
{
	uint64_t first = 0, offset = 0;
	size_t at = 0, n, klen;
	char text[96];
	int count = 0, len;

	while (at + 4 <= r->body_len) {
		n = (size_t)(unsigned char)r->body[at] << 24 |
		    (size_t)(unsigned char)r->body[at + 1] << 16 |
		    (size_t)(unsigned char)r->body[at + 2] << 8 |
		    (unsigned char)r->body[at + 3];
		at += 4;
		if (n == 0 || at + n > r->body_len)
			break;
		klen = (unsigned char)r->body[at];
		offset = append(t, r->body + at + 1, klen,
		    r->body + at + 1 + klen, n - 1 - klen);
		if (count++ == 0)
			first = offset;
		at += n;
	}
	len = snprintf(text, sizeof(text), "{\"offset\":%llu,\"end\":%llu}",
	    (unsigned long long)first, (unsigned long long)offset + 1);
	return store_send(fd, 200, "application/json", text, (size_t)len);
}

static void *
serve_store(void *arg)
{
	struct accepted *a = arg;
	struct lab_conn *c = calloc(1, sizeof(*c));
	struct lab_request *r = calloc(1, sizeof(*r));
	char name[64], from[32], wait[32];
	struct topic *t;
	int rc = 0;

	c->fd = a->fd;
	free(a);
	while (rc == 0) {
		memset(r, 0, sizeof(*r));
		if (lab_read_head(c, r->head, sizeof(r->head)) == -1)
			break;
		request_parse(r);
		if (lab_read_body(c, r->head, &r->body, &r->body_len) == -1)
			break;
		query(r->path, "topic", name, sizeof(name));
		pthread_mutex_lock(&machine_lock);
		t = find_topic(name);
		pthread_mutex_unlock(&machine_lock);
		if (strncmp(r->path, "/v1/log-read", 12) == 0) {
			query(r->path, "from", from, sizeof(from));
			query(r->path, "wait_ms", wait, sizeof(wait));
			rc = store_read(c->fd, t, strtoull(from, NULL, 10),
			    strtoull(wait, NULL, 10));
		} else if (strncmp(r->path, "/v1/log-newest", 14) == 0) {
			rc = store_newest(c->fd, t);
		} else if (strncmp(r->path, "/v1/log-append", 14) == 0) {
			rc = store_append(c->fd, t, r);
		} else {
			rc = store_send(c->fd, 404, "application/json", "{}", 2);
		}
		free(r->body);
	}
	close(c->fd);
	free(c);
	free(r);
	return NULL;
}

struct listener {
	int fd;
	struct lab_machine *machine;
};

static void *
accept_all(void *arg)
{
	struct listener *l = arg;
	struct accepted *a;
	int fd, on = 1;

	for (;;) {
		fd = accept4(l->fd, NULL, NULL, SOCK_CLOEXEC);
		if (fd == -1) {
			if (errno == EBADF || errno == EINVAL)
				break;
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		a = malloc(sizeof(*a));
		a->fd = fd;
		a->machine = l->machine;
		lab_thread(l->machine != NULL ? serve_machine : serve_store, a);
	}
	free(l);
	return NULL;
}

static void
accept_on(int fd, struct lab_machine *m)
{
	struct listener *l = malloc(sizeof(*l));

	l->fd = fd;
	l->machine = m;
	lab_thread(accept_all, l);
}

/*
 * Writes a configuration as the operator does.  Returns once the store has it.
 */
void
lab_publish(const char *json)
{
	append(find_topic("keyed.op"), "config", 6, json, strlen(json));
	lab_record("operator: the store has acknowledged a configuration: %s",
	    json);
}

/*
 * Sends a heartbeat (PUT) or a goodbye (DELETE) of a server to the node beside
 * it.  Returns 1 if it was acknowledged.
 */
int
lab_announce(struct lab_machine *m, const char *method, const char *state)
{
	struct lab_conn *c = calloc(1, sizeof(*c));
	char body[768], text[1280], *answer = NULL;
	int status = 0, len;
	size_t n;

	snprintf(body, sizeof(body),
	    "{\"address\":\"%s:%d\",\"info\":{\"service\":\"%s\",\"version\":"
	    "\"v1\",\"zone\":\"%s\",\"slots\":%d},\"status\":{\"state\":\"%s\","
	    "\"sequence\":%llu,\"cold_remaining\":\"0ms\"},\"born\":%llu}",
	    m->ip, LAB_APP, m->service, m->zone, m->slots, state,
	    (unsigned long long)__atomic_add_fetch(
		&m->sequence, 1, __ATOMIC_SEQ_CST),
	    (unsigned long long)m->born_ms);
	len = snprintf(text, sizeof(text),
	    "%s /v1/instances/%s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: "
	    "application/json\r\nContent-Length: %zu\r\n\r\n%s",
	    method, m->id, m->ip, LAB_CONTROL, strlen(body), body);
	c->fd = lab_connect(m->ip, LAB_CONTROL, 0, 0, 1.0);
	if (c->fd != -1) {
		if (lab_send(c->fd, text, (size_t)len) == 0 &&
		    lab_read_head(c, text, sizeof(text)) == 0) {
			sscanf(text, "HTTP/1.1 %d", &status);
			lab_read_body(c, text, &answer, &n);
			free(answer);
		}
		close(c->fd);
	}
	free(c);
	if (status / 100 == 2 && strcmp(method, "PUT") == 0)
		m->beat_s = lab_now();
	return status / 100 == 2;
}

static void *
send_heartbeats(void *arg)
{
	struct lab_machine *m = arg;
	double next = lab_now();

	for (;;) {
		if (m->heartbeats && !m->leaving)
			(void)lab_announce(m, "PUT", "ready");
		next += HEARTBEAT_S;
		lab_sleep_until(next);
	}
	return NULL;
}

/*
 * Ends a server: its port refuses connections from now on.
 */
void
lab_server_end(struct lab_machine *m)
{
	m->ended = 1;
	m->heartbeats = 0;
	shutdown(m->listener, SHUT_RDWR);
	close(m->listener);
}

static int
can_use(const char *ip, int port)
{
	struct sockaddr_in sa;
	int fd = lab_listen(ip, port), udp, rc;

	if (fd == -1)
		return 0;
	close(fd);
	fill_address(&sa, ip, port);
	udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	rc = bind(udp, (struct sockaddr *)&sa, sizeof(sa));
	close(udp);
	return rc == 0;
}

/*
 * Chooses loopback addresses of which all ports are free.
 */
static int
choose_addresses(int second, int third)
{
	static const int ports[PORTS] = { LAB_READY, LAB_INBOUND, LAB_OUTBOUND,
		LAB_CONTROL, LAB_APP, LAB_FLEET, LAB_METRICS };
	int i, k;

	snprintf(store_ip, sizeof(store_ip), "127.%d.%d.1", second, third);
	if (!can_use(store_ip, LAB_STORE))
		return 0;
	for (i = 0; i < lab_count; i++) {
		snprintf(lab_machines[i].ip, sizeof(lab_machines[i].ip),
		    "127.%d.%d.%d", second, third, 10 + i);
		for (k = 0; k < PORTS; k++)
			if (!can_use(lab_machines[i].ip, ports[k]))
				return 0;
	}
	return 1;
}

/*
 * Prepares machines with these services.  CASE names the folder of the case and
 * LAB_TMP a temporary folder.
 */
void
lab_init(int count, const char *const *services)
{
	const char *place = getenv("CASE"), *tmp = getenv("LAB_TMP");
	const char *trouble = getenv("TROUBLE");
	struct lab_machine *m;
	struct timespec ts;
	char path[512];
	int i, tries = 0, on_store;

	signal(SIGPIPE, SIG_IGN);
	clock_gettime(CLOCK_MONOTONIC, &began);
	lab_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	snprintf(path, sizeof(path), "%s/record.txt", place != NULL ? place : ".");
	record_file = fopen(path, "w");
	if (record_file == NULL || tmp == NULL) {
		fprintf(stderr, "no record.txt or no LAB_TMP\n");
		exit(2);
	}
	snprintf(folder, sizeof(folder), "%s", tmp);
	lab_count = count;
	clock_gettime(CLOCK_REALTIME, &ts);
	for (i = 0; i < count; i++) {
		m = &lab_machines[i];
		m->index = i;
		snprintf(m->name, sizeof(m->name), "sidecar-%c-1", 'a' + i);
		snprintf(m->zone, sizeof(m->zone), "zone-%c", 'a' + i % 3);
		snprintf(m->service, sizeof(m->service), "%s", services[i]);
		snprintf(m->id, sizeof(m->id), "i-%d%06lx", i,
		    (unsigned long)(ts.tv_nsec / 100 % 0xffffff));
		m->born_ms = (uint64_t)ts.tv_sec * 1000 +
			     (uint64_t)ts.tv_nsec / 1000000;
		m->slots = 100;
		m->heartbeats = 1;
	}
	while (!choose_addresses(
	    64 + (getpid() + tries) % 128, (getpid() / 128 + tries) % 250))
		if (++tries == 50)
			lab_fail_setup("no free addresses");
	on_store = lab_listen(store_ip, LAB_STORE);
	if (on_store == -1)
		lab_fail_setup("the store's port isn't free");
	accept_on(on_store, NULL);
	lab_record("case begins, trouble=%d", lab_trouble);
}

/*
 * Opens the servers and starts their heartbeats.  Their handlers must be set.
 */
void
lab_servers_start(void)
{
	int i;

	for (i = 0; i < lab_count; i++) {
		lab_machines[i].listener =
		    lab_listen(lab_machines[i].ip, LAB_APP);
		if (lab_machines[i].listener == -1)
			lab_fail_setup("a server's port isn't free");
		accept_on(lab_machines[i].listener, &lab_machines[i]);
		lab_thread(send_heartbeats, &lab_machines[i]);
	}
}

static void
fill_in(char *text, size_t size, const char *name, const char *value)
{
	char *p, rest[8192];

	while ((p = strstr(text, name)) != NULL) {
		snprintf(rest, sizeof(rest), "%s", p + strlen(name));
		snprintf(p, size - (size_t)(p - text), "%s%s", value, rest);
	}
}

/*
 * Fills in the template of the deploy file.
 */
static void
write_settings(const struct lab_machine *m, const char *path)
{
	static const char *const fixed[][2] = { { "{{port_range.0}}", "7000" },
		{ "{{bounds.revoke}}", "5000ms" }, { "{{bounds.grace}}", "6s" },
		{ "{{bounds.quota_overage}}", "0.1" },
		{ "{{bounds.quota_slack}}", "20" },
		{ "{{bounds.retry_budget_ratio}}", "0.2" },
		{ "{{bounds.budget_slack}}", "49" },
		{ "{{limits.memory_mb}}", "260" },
		{ "{{limits.max_fds}}", "4100" } };
	static const struct {
		const char *name;
		int port;
	} addresses[] = { { "{{listen.outbound}}", LAB_OUTBOUND },
		{ "{{listen.inbound}}", LAB_INBOUND }, { "{{app_addr}}", LAB_APP },
		{ "{{listen.control}}", LAB_CONTROL },
		{ "{{listen.ready}}", LAB_READY } };
	char text[8192], value[64];
	size_t n, i;
	FILE *f = fopen("deploy/node.conf", "r");

	if (f == NULL)
		lab_fail_setup("no deploy/node.conf; run from the root");
	n = fread(text, 1, sizeof(text) / 2, f);
	text[n] = '\0';
	fclose(f);
	fill_in(text, sizeof(text), "{{node_id}}", m->name);
	fill_in(text, sizeof(text), "{{zone}}", m->zone);
	fill_in(text, sizeof(text), "{{service}}", m->service);
	for (i = 0; i < sizeof(fixed) / sizeof(fixed[0]); i++)
		fill_in(text, sizeof(text), fixed[i][0], fixed[i][1]);
	for (i = 0; i < sizeof(addresses) / sizeof(addresses[0]); i++) {
		snprintf(value, sizeof(value), "%s:%d", m->ip,
		    addresses[i].port);
		fill_in(text, sizeof(text), addresses[i].name, value);
	}
	snprintf(value, sizeof(value), "%s:%d", store_ip, LAB_STORE);
	fill_in(text, sizeof(text), "{{platform.address}}", value);
	if (strstr(text, "{{") != NULL)
		lab_fail_setup("deploy/node.conf has an unknown placeholder");
	f = fopen(path, "w");
	if (f == NULL)
		lab_fail_setup("can't write settings");
	fputs(text, f);
	fclose(f);
}

/*
 * Starts the node of a machine as the deploy file says.
 */
void
lab_node_start(int i)
{
	struct lab_machine *m = &lab_machines[i];
	char settings[512], option[600], log[512];
	pid_t pid;
	int fd;

	snprintf(settings, sizeof(settings), "%s/%s.conf", folder, m->name);
	snprintf(option, sizeof(option), "--settings=%s", settings);
	snprintf(log, sizeof(log), "%s/%s.log", folder, m->name);
	write_settings(m, settings);
	pid = fork();
	if (pid == -1)
		lab_fail_setup("no process");
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(fd, 1);
		dup2(fd, 2);
		execl("target/cyclamenvale-node", "target/cyclamenvale-node",
		    option, (char *)NULL);
		_exit(127);
	}
	m->pid = pid;
	lab_record("node %s started (%s)", m->name, m->ip);
}

void
lab_node_signal(int i, int signal_number)
{
	if (lab_machines[i].pid > 0)
		kill(lab_machines[i].pid, signal_number);
	lab_record("node %s gets signal %d", lab_machines[i].name,
	    signal_number);
}

/*
 * Returns 1 if the node's process has ended.
 */
int
lab_node_ended(int i)
{
	int status;

	if (lab_machines[i].pid <= 0)
		return 1;
	if (waitpid(lab_machines[i].pid, &status, WNOHANG) !=
	    lab_machines[i].pid)
		return 0;
	lab_machines[i].pid = 0;
	lab_record("node %s has ended, status %d", lab_machines[i].name, status);
	return 1;
}

/*
 * Waits until a node has ended.
 */
void
lab_node_reap(int i)
{
	while (!lab_node_ended(i))
		usleep(2000);
}

/*
 * Waits until all nodes say that they are ready, then settle_s more.
 */
void
lab_await_ready(double settle_s)
{
	struct lab_conn *c = calloc(1, sizeof(*c));
	char head[2048];
	int i, ready;

	while (lab_now() < 20) {
		for (i = 0, ready = 0; i < lab_count; i++) {
			c->fd = lab_connect(
			    lab_machines[i].ip, LAB_READY, 0, 0, 1.0);
			c->pos = c->len = 0;
			if (c->fd == -1)
				continue;
			if (lab_send(c->fd,
				"GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n",
				38) == 0 &&
			    lab_read_head(c, head, sizeof(head)) == 0)
				ready += strncmp(head, "HTTP/1.1 200", 12) == 0;
			close(c->fd);
		}
		if (ready == lab_count) {
			lab_record("all nodes are ready");
			free(c);
			lab_sleep_until(lab_now() + settle_s);
			return;
		}
		usleep(100000);
	}
	lab_fail_setup("the nodes don't become ready");
}

/*
 * Ends all nodes and closes the record.  Returns the exit status.
 */
int
lab_finish(int status)
{
	int i;

	for (i = 0; i < lab_count; i++)
		if (lab_machines[i].pid > 0) {
			kill(lab_machines[i].pid, SIGKILL);
			waitpid(lab_machines[i].pid, NULL, 0);
			lab_machines[i].pid = 0;
		}
	lab_record("exit status %d", status);
	fflush(record_file);
	return status;
}

void
lab_answer_free(struct lab_answer *a)
{
	free(a->body);
	a->body = NULL;
}

/*
 * Reads an answer until until_s.  status is 0 if no head came; complete is 1
 * once the whole body has come.  Returns 0, or -1 if the connection ended or
 * the time was over first.
 */
int
lab_read_answer(struct lab_conn *c, struct lab_answer *a, double until_s)
{
	struct timeval tv;
	char text[64];
	double left = until_s - lab_now();

	memset(a, 0, sizeof(*a));
	if (left < 0.001)
		left = 0.001;
	tv.tv_sec = (time_t)left;
	tv.tv_usec = (suseconds_t)((left - (double)tv.tv_sec) * 1e6);
	setsockopt(c->fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	do {
		if (lab_read_head(c, a->head, sizeof(a->head)) == -1)
			return -1;
		sscanf(a->head, "HTTP/1.1 %d", &a->status);
	} while (a->status / 100 == 1);
	lab_field(
	    a->head, "X-Cyclamenvale-Attempt-Id", a->id, sizeof(a->id));
	if (lab_field(a->head, "Retry-After", text, sizeof(text)))
		a->retry_after_s = strtod(text, NULL);
	a->closes = lab_field(a->head, "Connection", text, sizeof(text)) &&
		    strcasecmp(text, "close") == 0;
	if (lab_field(a->head, "Content-Length", text, sizeof(text)))
		a->length = strtoul(text, NULL, 10);
	if (lab_read_body(c, a->head, &a->body, &a->body_len) == -1)
		return -1;
	a->complete = 1;
	return 0;
}

/*
 * Sends one request to a public route through a machine's node and expects
 * that it is served: until then a node sends few requests to its server.
 */
void
lab_first_request(int machine, const char *path, const char *host)
{
	struct lab_conn *c = calloc(1, sizeof(*c));
	struct lab_answer *a = calloc(1, sizeof(*a));
	char text[512];
	int len;

	len = snprintf(text, sizeof(text),
	    "GET %s HTTP/1.1\r\nHost: %s\r\n"
	    "X-Cyclamenvale-Attempt-Id: first\r\n"
	    "X-Cyclamenvale-Deadline-Ms: 3000\r\n\r\n",
	    path, host);
	c->fd = lab_connect(
	    lab_machines[machine].ip, LAB_OUTBOUND, 0, 0, 3.0);
	if (c->fd == -1 || lab_send(c->fd, text, (size_t)len) == -1 ||
	    lab_read_answer(c, a, lab_now() + 3.0) == -1 || a->status != 200)
		lab_fail_setup("the first request wasn't served");
	close(c->fd);
	lab_answer_free(a);
	free(a);
	free(c);
}
