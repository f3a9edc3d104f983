#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
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

#define RECORDS_MAX 4096
#define TOPICS 2
#define BEAT_MS 1500
#define RUN_MAX_MS 110000

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t started_ms;
static char folder[256];
static int net_a, net_b;
static char ips[NODES_MAX][32], store_ip[32];
static pid_t pids[NODES_MAX];
static int ended[NODES_MAX];

/* The store: two topics with one partition each. */
struct record {
	char *key, *value;
	size_t value_len;
};
static struct record records[TOPICS][RECORDS_MAX];
static size_t ends[TOPICS];
static int store_era = 1;
static volatile int store_away;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_grown = PTHREAD_COND_INITIALIZER;

uint64_t
lab_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

uint64_t
lab_unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

void
lab_sleep(uint64_t ms)
{
	struct timespec ts = { (time_t)(ms / 1000), (long)(ms % 1000) * 1000000 };

	while (nanosleep(&ts, &ts) == -1 && errno == EINTR)
		;
}

uint64_t
lab_random(void)
{
	static _Thread_local uint64_t x;

	if (x == 0)
		x = lab_unix_ms() * 2654435761u + (uint64_t)(uintptr_t)&x;
	x ^= x << 13;
	x ^= x >> 7;
	x ^= x << 17;
	return x;
}

/* Returns whether the run has its disruption: not with TROUBLE=0. */
int
lab_trouble(void)
{
	const char *s = getenv("TROUBLE");

	return s == NULL || strcmp(s, "0") != 0;
}

void
lab_record(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f ", (double)(lab_ms() - started_ms) / 1000);
	va_start(ap, fmt);
	vfprintf(record_file, fmt, ap);
	va_end(ap);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

/* Ends the nodes and removes the temporary folder, unless KEEP is set. */
static void
clean_up(void)
{
	char path[512];
	int i;

	for (i = 0; i < NODES_MAX; i++) {
		if (pids[i] <= 0 || ended[i])
			continue;
		kill(pids[i], SIGCONT);
		kill(pids[i], SIGKILL);
		waitpid(pids[i], NULL, 0);
		ended[i] = 1;
	}
	for (i = 0; i < NODES_MAX && getenv("KEEP") == NULL; i++) {
		snprintf(path, sizeof(path), "%s/node-%d.conf", folder, i);
		unlink(path);
		snprintf(path, sizeof(path), "%s/node-%d.log", folder, i);
		unlink(path);
	}
	rmdir(folder);
}

/* Ends the run: the case couldn't be played. */
void
lab_die(const char *fmt, ...)
{
	char text[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	lab_record("could not run: %s", text);
	fprintf(stderr, "could not run: %s\n", text);
	clean_up();
	_exit(2);
}

/* Ends all processes.  Exits with 1 if the rule was broken, else 0. */
int
lab_finish(int broken)
{
	lab_record("verdict: the rule %s", broken ? "was broken" : "held");
	printf("%s\n", broken ? "broken" : "held");
	fflush(stdout);
	clean_up();
	fclose(record_file);
	_exit(broken ? 1 : 0);
}

static void
on_overtime(int sig)
{
	(void)sig;
	clean_up();
	_exit(2);
}

static int
listen_on(const char *ip, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };
	int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip, &a.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) == -1 ||
	    listen(fd, 1024) == -1) {
		close(fd);
		return -1;
	}
	return fd;
}

/*
 * Opens the record, makes a temporary folder for settings files and logs, and
 * picks loopback addresses on which nobody listens.
 */
void
lab_init(const char *record)
{
	const char *tmp = getenv("TMPDIR");
	int fd, i, tries;

	started_ms = lab_ms();
	record_file = fopen(record, "w");
	if (record_file == NULL)
		exit(2);
	snprintf(folder, sizeof(folder), "%s/review-3-XXXXXX",
	    tmp != NULL ? tmp : "/tmp");
	if (mkdtemp(folder) == NULL)
		exit(2);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_overtime);
	signal(SIGTERM, on_overtime);
	signal(SIGINT, on_overtime);
	alarm(RUN_MAX_MS / 1000);
	for (tries = 0; tries < 50; tries++) {
		net_a = 20 + (int)(lab_random() % 200);
		net_b = 1 + (int)(lab_random() % 250);
		snprintf(store_ip, sizeof(store_ip), "127.%d.%d.250", net_a,
		    net_b);
		fd = listen_on(store_ip, PORT_STORE);
		if (fd == -1)
			continue;
		close(fd);
		break;
	}
	if (tries == 50)
		lab_die("no free address");
	for (i = 0; i < NODES_MAX; i++)
		snprintf(ips[i], sizeof(ips[i]), "127.%d.%d.%d", net_a, net_b,
		    i + 1);
	lab_record("disruption: %s", lab_trouble() ? "yes" : "no (TROUBLE=0)");
}

const char *
lab_ip(int node)
{
	return ips[node];
}

void
lab_thread(void *(*fn)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t t;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 512 * 1024);
	if (pthread_create(&t, &attr, fn, arg) != 0)
		lab_die("no thread");
	pthread_attr_destroy(&attr);
}

int
lab_connect(const char *ip, int port, int rcvbuf)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };
	int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (rcvbuf > 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &rcvbuf, sizeof(rcvbuf));
	inet_pton(AF_INET, ip, &a.sin_addr);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == -1) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

int
lab_write(int fd, const void *p, size_t n)
{
	const char *s = p;
	ssize_t w;

	while (n > 0) {
		w = send(fd, s, n, MSG_NOSIGNAL);
		if (w <= 0)
			return -1;
		s += w;
		n -= (size_t)w;
	}
	return 0;
}

/* Reads some bytes before a time.  Returns their number, 0 at the end, or -1. */
static ssize_t
read_some(int fd, void *buf, size_t n, uint64_t until)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	uint64_t now = lab_ms();

	if (now >= until || poll(&p, 1, (int)(until - now)) != 1)
		return -1;
	return recv(fd, buf, n, 0);
}

const char *
lab_field(const struct msg *m, const char *name, char *buf, size_t size)
{
	const char *line = m->head;
	size_t n = strlen(name), len;

	while ((line = strstr(line, "\r\n")) != NULL) {
		line += 2;
		if (strncasecmp(line, name, n) != 0 || line[n] != ':')
			continue;
		line += n + 1;
		line += strspn(line, " ");
		len = strcspn(line, "\r");
		if (len >= size)
			len = size - 1;
		memcpy(buf, line, len);
		buf[len] = '\0';
		return buf;
	}
	return NULL;
}

/*
 * Reads a head, byte by byte so that nothing of the body is taken.  Returns 0,
 * or -1 at the end of the connection or after a time.
 */
int
lab_read_head(int fd, struct msg *m, uint64_t until)
{
	char peeked[4096], *end, v[64];
	size_t len = 0;
	ssize_t n;

	memset(m->method, 0, sizeof(m->method));
	m->status = 0;
	m->complete = 0;
	m->body_len = 0;
	m->head[0] = m->id[0] = m->target[0] = '\0';
	for (;;) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		uint64_t now = lab_ms();

		if (now >= until || poll(&p, 1, (int)(until - now)) != 1)
			return -1;
		n = recv(fd, peeked, sizeof(peeked), MSG_PEEK);
		if (n <= 0 || len + (size_t)n >= sizeof(m->head))
			return -1;
		memcpy(m->head + len, peeked, (size_t)n);
		m->head[len + (size_t)n] = '\0';
		end = strstr(m->head, "\r\n\r\n");
		if (end == NULL) {
			if (recv(fd, peeked, (size_t)n, 0) != n)
				return -1;
			len += (size_t)n;
			continue;
		}
		n = (ssize_t)(end + 4 - m->head) - (ssize_t)len;
		if (recv(fd, peeked, (size_t)n, 0) != n)
			return -1;
		end[4] = '\0';
		break;
	}
	if (strncmp(m->head, "HTTP/1.1 ", 9) == 0)
		m->status = atoi(m->head + 9);
	else
		sscanf(m->head, "%15s %511s", m->method, m->target);
	m->keep_alive = lab_field(m, "Connection", v, sizeof(v)) == NULL ||
			strcasecmp(v, "close") != 0;
	lab_field(m, "X-Cyclamenvale-Attempt-Id", m->id, sizeof(m->id));
	return 0;
}

static int
read_bytes(int fd, struct msg *m, uint64_t n, uint64_t until)
{
	static _Thread_local char buf[65536];
	ssize_t got;
	size_t room;

	while (n > 0) {
		got = read_some(fd, buf, n < sizeof(buf) ? n : sizeof(buf),
		    until);
		if (got <= 0)
			return -1;
		room = sizeof(m->body) - 1;
		if (m->body_len < room) {
			room -= m->body_len;
			if (room > (size_t)got)
				room = (size_t)got;
			memcpy(m->body + m->body_len, buf, room);
			m->body[m->body_len + room] = '\0';
		}
		m->body_len += (uint64_t)got;
		n -= (uint64_t)got;
	}
	return 0;
}

static int
read_line(int fd, char *line, size_t size, uint64_t until)
{
	size_t n = 0;

	while (n + 1 < size && read_some(fd, line + n, 1, until) == 1) {
		if (line[n] == '\n') {
			line[n] = '\0';
			return 0;
		}
		n++;
	}
	return -1;
}

/*
 * Reads a head and its body.  Returns 0 if the head was received; complete says
 * whether the body was.
 */
int
lab_read_message(int fd, struct msg *m, uint64_t until)
{
	if (lab_read_head(fd, m, until) == -1)
		return -1;
	return lab_read_body(fd, m, until);
}

/* Reads the body that follows a head.  complete says whether all came. */
int
lab_read_body(int fd, struct msg *m, uint64_t until)
{
	char v[64];
	uint64_t n;

	m->body[0] = '\0';
	if (lab_field(m, "Transfer-Encoding", v, sizeof(v)) != NULL) {
		for (;;) {
			if (read_line(fd, v, sizeof(v), until) == -1)
				return 0;
			n = strtoull(v, NULL, 16);
			if (n > 0 && read_bytes(fd, m, n, until) == -1)
				return 0;
			if (read_line(fd, v, sizeof(v), until) == -1)
				return 0;
			if (n == 0)
				break;
		}
		m->complete = 1;
		return 0;
	}
	n = lab_field(m, "Content-Length", v, sizeof(v)) != NULL
		? strtoull(v, NULL, 10)
		: 0;
	m->complete = read_bytes(fd, m, n, until) == 0;
	return 0;
}

int
lab_answer(int fd, const struct msg *m, int status, const char *fields,
    const void *body, size_t n)
{
	char head[1024];
	int len = snprintf(head, sizeof(head),
	    "HTTP/1.1 %d X\r\nX-Cyclamenvale-Attempt-Id: %s\r\n"
	    "Content-Length: %zu\r\n%s\r\n",
	    status, m->id, n, fields);

	if (lab_write(fd, head, (size_t)len) == -1)
		return -1;
	return n > 0 ? lab_write(fd, body, n) : 0;
}

void
lab_new_id(char *id, size_t size)
{
	snprintf(id, size, "%016llx", (unsigned long long)lab_random());
}

/* The store. */

static int
topic_of(const char *target)
{
	return strstr(target, "topic=keyed.op") != NULL ? 0 : 1;
}

static uint64_t
query_of(const char *target, const char *name)
{
	const char *p = strstr(target, name);

	return p == NULL ? 0 : strtoull(p + strlen(name), NULL, 10);
}

static void
append(int topic, const char *key, size_t key_len, const char *value, size_t n)
{
	struct record *r;

	pthread_mutex_lock(&store_lock);
	if (ends[topic] == RECORDS_MAX)
		lab_die("the store is full");
	r = &records[topic][ends[topic]];
	r->key = strndup(key, key_len);
	r->value = malloc(n + 1);
	memcpy(r->value, value, n);
	r->value[n] = '\0';
	r->value_len = n;
	ends[topic]++;
	pthread_cond_broadcast(&store_grown);
	pthread_mutex_unlock(&store_lock);
}

void
lab_publish(const char *config)
{
	append(0, "config", 6, config, strlen(config));
	lab_record("the operator's configuration is acknowledged: %s", config);
}

static size_t
put_base64(char *out, const char *p, size_t n)
{
	static const char digits[] =
	    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t i, len = 0;
	uint32_t v;

	for (i = 0; i < n; i += 3) {
		v = (uint32_t)(unsigned char)p[i] << 16;
		if (i + 1 < n)
			v |= (uint32_t)(unsigned char)p[i + 1] << 8;
		if (i + 2 < n)
			v |= (unsigned char)p[i + 2];
		out[len++] = digits[v >> 18];
		out[len++] = digits[v >> 12 & 63];
		out[len++] = i + 1 < n ? digits[v >> 6 & 63] : '=';
		out[len++] = i + 2 < n ? digits[v & 63] : '=';
	}
	return len;
}

static size_t
put_number(char *out, uint64_t v, int bytes)
{
	int i;

	for (i = 0; i < bytes; i++)
		out[i] = (char)(v >> 8 * (bytes - 1 - i));
	return (size_t)bytes;
}

static const char *
era_field(char field[32])
{
	snprintf(field, 32, "Store-Era: %d\r\n", store_era);
	return field;
}

static void
serve_newest(int fd, const struct msg *m, int topic)
{
	char field[32];
	char *out = malloc(4 << 20);
	size_t len = 0, i, j;
	int first = 1;

	pthread_mutex_lock(&store_lock);
	len += (size_t)sprintf(out, "{\"items\":[");
	for (i = 0; i < ends[topic]; i++) {
		for (j = i + 1; j < ends[topic]; j++)
			if (strcmp(records[topic][i].key,
				records[topic][j].key) == 0)
				break;
		if (j < ends[topic] || records[topic][i].value_len == 0)
			continue;
		len += (size_t)sprintf(out + len, "%s{\"key\":\"%s\",\"value\":\"",
		    first ? "" : ",", records[topic][i].key);
		len += put_base64(out + len, records[topic][i].value,
		    records[topic][i].value_len);
		len += (size_t)sprintf(out + len, "\",\"offset\":%zu}", i);
		first = 0;
	}
	len += (size_t)sprintf(out + len, "],\"has_more\":false,\"end\":%zu}",
	    ends[topic]);
	pthread_mutex_unlock(&store_lock);
	lab_answer(fd, m, 200, era_field(field), out, len);
	free(out);
}

static void
serve_read(int fd, const struct msg *m, int topic)
{
	uint64_t from = query_of(m->target, "from=");
	uint64_t until = lab_ms() + query_of(m->target, "wait_ms=");
	char *out = malloc(4 << 20), field[32];
	struct timespec ts;
	size_t len, i, key_len;

	pthread_mutex_lock(&store_lock);
	while (from >= ends[topic] && lab_ms() < until && !store_away) {
		clock_gettime(CLOCK_REALTIME, &ts);
		ts.tv_nsec += 5000000;
		if (ts.tv_nsec >= 1000000000) {
			ts.tv_nsec -= 1000000000;
			ts.tv_sec++;
		}
		pthread_cond_timedwait(&store_grown, &store_lock, &ts);
	}
	if (store_away) {
		pthread_mutex_unlock(&store_lock);
		shutdown(fd, SHUT_RDWR);
		free(out);
		return;
	}
	if (from > ends[topic]) {
		pthread_mutex_unlock(&store_lock);
		lab_answer(fd, m, 410, era_field(field), "{\"first\":0}", 11);
		free(out);
		return;
	}
	len = put_number(out, ends[topic], 8);
	len += put_number(out + len, 0, 8);
	for (i = from; i < ends[topic]; i++) {
		key_len = strlen(records[topic][i].key);
		len += put_number(out + len,
		    1 + key_len + records[topic][i].value_len, 4);
		len += put_number(out + len, key_len, 1);
		memcpy(out + len, records[topic][i].key, key_len);
		len += key_len;
		memcpy(out + len, records[topic][i].value,
		    records[topic][i].value_len);
		len += records[topic][i].value_len;
	}
	pthread_mutex_unlock(&store_lock);
	lab_answer(fd, m, 200, era_field(field), out, len);
	free(out);
}

static void *
store_conn(void *arg)
{
	int fd = (int)(intptr_t)arg, topic;
	struct msg *m = malloc(sizeof(*m));
	char field[32];
	size_t key_len, len;

	while (lab_read_message(fd, m, lab_ms() + RUN_MAX_MS) == 0 &&
	       m->complete) {
		if (store_away)
			break;
		topic = topic_of(m->target);
		if (strstr(m->target, "/v1/log-newest") != NULL) {
			serve_newest(fd, m, topic);
		} else if (strstr(m->target, "/v1/log-read") != NULL) {
			serve_read(fd, m, topic);
		} else if (strstr(m->target, "/v1/log-append") != NULL &&
			   topic == 1 && m->body_len >= 5) {
			len = ntohl(*(uint32_t *)(void *)m->body);
			key_len = (unsigned char)m->body[4];
			append(topic, m->body + 5, key_len,
			    m->body + 5 + key_len, len - 1 - key_len);
			lab_answer(fd, m, 200, era_field(field), "{}", 2);
		} else {
			lab_answer(fd, m, 403, era_field(field), "", 0);
		}
	}
	close(fd);
	free(m);
	return NULL;
}

/*
 * Lets the store go away for some milliseconds and come back from a copy that
 * lacks the newest records of the operator.
 */
void
lab_store_restore(uint64_t away_ms, size_t lost)
{
	lab_record("the store goes away");
	pthread_mutex_lock(&store_lock);
	store_away = 1;
	pthread_mutex_unlock(&store_lock);
	lab_sleep(away_ms);
	pthread_mutex_lock(&store_lock);
	ends[0] -= lost;
	store_era++;
	store_away = 0;
	pthread_mutex_unlock(&store_lock);
	lab_record("the store is back without its newest %zu records, era %d",
	    lost, store_era);
}

struct acceptor {
	int fd;
	struct server *server;
};

static void *
store_accept(void *arg)
{
	int listener = (int)(intptr_t)arg, fd;

	while ((fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
		lab_thread(store_conn, (void *)(intptr_t)fd);
	return NULL;
}

void
lab_store_start(void)
{
	int fd = listen_on(store_ip, PORT_STORE);

	if (fd == -1)
		lab_die("the store's port is in use");
	lab_thread(store_accept, (void *)(intptr_t)fd);
}

/* Nodes. */

/*
 * Starts a node as the deploy file says, with settings as its template gives
 * them.
 */
void
lab_node_start(int i, const char *service, const char *zone)
{
	char path[512], log[512], option[600];
	FILE *f;
	int fd;

	snprintf(path, sizeof(path), "%s/node-%d.conf", folder, i);
	snprintf(log, sizeof(log), "%s/node-%d.log", folder, i);
	f = fopen(path, "w");
	if (f == NULL)
		lab_die("%s", path);
	fprintf(f,
	    "node = sidecar-%s-%d\nzone = %s\nservice = %s\n"
	    "entry = %s:%d\nexit = %s:%d\nserver = %s:%d\ncontrol = %s:%d\n"
	    "ready = %s:%d\nstore = %s:%d\nfleet-port = %d\n"
	    "metrics-port = %d\nconfig-apply = 2000ms\nrevoke = 5000ms\n"
	    "grace = 6s\nquota-overage = 0.1\nquota-slack = 20\n"
	    "retry-ratio = 0.2\nretry-slack = 49\nmemory-mb = 260\n"
	    "descriptors = 4100\nend\n",
	    zone, i + 1, zone, service, ips[i], PORT_ENTRY, ips[i], PORT_EXIT,
	    ips[i], PORT_SERVER, ips[i], PORT_CONTROL, ips[i], PORT_READY,
	    store_ip, PORT_STORE, PORT_FLEET, PORT_METRICS);
	fclose(f);
	snprintf(option, sizeof(option), "--settings=%s", path);
	pids[i] = fork();
	if (pids[i] == 0) {
		/* Nodes end with this process, however that ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(fd, 1);
		dup2(fd, 2);
		signal(SIGPIPE, SIG_DFL);
		execl("target/cyclamenvale-node", "cyclamenvale-node", option,
		    (char *)NULL);
		_exit(127);
	}
	if (pids[i] < 0)
		lab_die("fork");
	ended[i] = 0;
	lab_record("node %d (%s, service %s) starts", i + 1, ips[i], service);
}

void
lab_node_signal(int i, int sig)
{
	if (pids[i] <= 0 || ended[i])
		return;
	lab_record("node %d gets signal %d", i + 1, sig);
	kill(pids[i], sig);
}

/* Waits up to ms for a node to end.  Returns 1 once it has ended. */
int
lab_node_ended(int i, int ms)
{
	uint64_t until = lab_ms() + (uint64_t)ms;
	int status;

	do {
		if (ended[i])
			return 1;
		if (waitpid(pids[i], &status, WNOHANG) == pids[i]) {
			ended[i] = 1;
			lab_record("node %d has ended: %s %d", i + 1,
			    WIFSIGNALED(status) ? "signal" : "exit",
			    WIFSIGNALED(status) ? WTERMSIG(status)
						: WEXITSTATUS(status));
			return 1;
		}
		lab_sleep(10);
	} while (lab_ms() < until);
	return 0;
}

/* Asks a node whether it is ready.  Returns 1 if so. */
int
lab_ready(int i, int ms)
{
	static const char request[] =
	    "GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
	struct msg *m = malloc(sizeof(*m));
	int fd = lab_connect(ips[i], PORT_READY, 0), ready = 0;

	if (fd >= 0 && lab_write(fd, request, strlen(request)) == 0 &&
	    lab_read_message(fd, m, lab_ms() + (uint64_t)ms) == 0)
		ready = m->status == 200;
	if (fd >= 0)
		close(fd);
	free(m);
	return ready;
}

/* Waits until the nodes from first to last are ready. */
void
lab_wait_ready(int first, int last)
{
	uint64_t until = lab_ms() + 10000;
	int i;

	for (i = first; i <= last; i++)
		while (!lab_ready(i, 500)) {
			if (lab_ms() > until)
				lab_die("node %d isn't ready", i + 1);
			lab_sleep(50);
		}
}

/* Servers. */

static void *
server_conn(void *arg)
{
	struct acceptor *a = arg;
	struct server *s = a->server;
	struct msg *m = malloc(sizeof(*m));
	char fields[256];
	int fd = a->fd, one = 1;

	free(a);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	while (lab_read_head(fd, m, lab_ms() + RUN_MAX_MS) == 0) {
		if (strcmp(m->target, "/health") == 0) {
			snprintf(fields, sizeof(fields),
			    "X-Cyclamenvale-Instance-Id: %s\r\n"
			    "X-Cyclamenvale-Server-Load: %d,0,%d\r\n",
			    s->id, s->running, s->slots);
			if (lab_answer(fd, m,
				s->draining ? 503
				: s->health ? s->health
					    : 200,
				fields, "", 0) == -1)
				break;
			continue;
		}
		__sync_fetch_and_add(&s->running, 1);
		one = s->serve(s, fd, m);
		__sync_fetch_and_sub(&s->running, 1);
		if (one == 0)
			break;
	}
	close(fd);
	free(m);
	return NULL;
}

static void *
server_accept(void *arg)
{
	struct acceptor *a = arg, *c;
	int fd;

	while ((fd = accept4(a->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		c = malloc(sizeof(*c));
		c->fd = fd;
		c->server = a->server;
		lab_thread(server_conn, c);
	}
	return NULL;
}

/* Sends one message about a server to its node.  Returns the status or -1. */
static int
control(struct server *s, const char *method, const char *body)
{
	struct msg *m = malloc(sizeof(*m));
	char head[512];
	int fd = lab_connect(ips[s->node], PORT_CONTROL, 0), status = -1, len;

	len = snprintf(head, sizeof(head),
	    "%s /v1/instances/%s HTTP/1.1\r\nHost: node\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
	    method, s->id, strlen(body));
	if (fd >= 0 && lab_write(fd, head, (size_t)len) == 0 &&
	    lab_write(fd, body, strlen(body)) == 0 &&
	    lab_read_message(fd, m, lab_ms() + 1000) == 0)
		status = m->status;
	if (fd >= 0)
		close(fd);
	free(m);
	return status;
}

/* Sends a heartbeat with a state and sequence number. */
int
lab_beat(struct server *s, const char *state, unsigned int sequence)
{
	char body[512];

	snprintf(body, sizeof(body),
	    "{\"address\":\"%s:%d\",\"born\":%llu,\"info\":{\"service\":\"%s\","
	    "\"version\":\"v1\",\"zone\":\"a\",\"slots\":%d},\"status\":{"
	    "\"state\":\"%s\",\"sequence\":%u,\"cold_remaining\":\"0ms\"}}",
	    ips[s->node], PORT_SERVER, (unsigned long long)s->born_ms,
	    s->service, s->slots, state, sequence);
	return control(s, "PUT", body);
}

/* Announces that a server ends. */
int
lab_leave(struct server *s)
{
	char body[64];

	snprintf(body, sizeof(body), "{\"born\":%llu}",
	    (unsigned long long)s->born_ms);
	return control(s, "DELETE", body);
}

static void *
beat_loop(void *arg)
{
	struct server *s = arg;

	for (;;) {
		if (!s->silent)
			(void)lab_beat(s, s->draining ? "draining" : "ready",
			    ++s->sequence);
		lab_sleep(BEAT_MS);
	}
	return NULL;
}

/* Starts a server beside its node, and its heartbeats. */
void
lab_server_start(struct server *s)
{
	struct acceptor *a = malloc(sizeof(*a));

	if (s->id[0] == '\0')
		snprintf(s->id, sizeof(s->id), "i-%08llx",
		    (unsigned long long)(lab_random() & 0xffffffff));
	s->born_ms = lab_unix_ms();
	a->server = s;
	a->fd = listen_on(ips[s->node], PORT_SERVER);
	if (a->fd == -1)
		lab_die("the port of server %d is in use", s->node + 1);
	lab_thread(server_accept, a);
	lab_thread(beat_loop, s);
}
