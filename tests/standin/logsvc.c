#include <getopt.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <unistd.h>

#include "base/clock.h"
#include "standin.h"

/*
 * Stand-in for the platform's append-only log service.
 */

#define STREAMS_MAX 16
#define NAME_MAX_LEN 64
#define READ_MAX_DEFAULT 100
#define WAIT_MAX_MS 30000
#define OUTAGE_CHECK_MS 50

struct record {
	uint64_t offset;
	uint64_t written;
	char *data;
	size_t len;
};

struct stream {
	char name[NAME_MAX_LEN];
	uint64_t first;
	uint64_t next;
	struct record *list;
	size_t count;
	size_t cap;
	uint64_t appends;
	uint64_t reads;
	uint64_t bytes_read;
};

static int serve_stream(struct mg_connection *, void *);
static int serve_control(struct mg_connection *, void *);
static int append(struct mg_connection *, const char *);
static int read_from(struct mg_connection *, const char *);
static struct stream *stream_get(const char *, bool);
static void stream_drop(struct stream *, size_t);
static void stream_expire(struct stream *);
static bool rate_admit(void);

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static struct stream streams[STREAMS_MAX];
static int64_t outage, slow_ms, lose_answers, append_rate;
static int64_t retain_count, retain_ms, refused;
static char lose_stream[NAME_MAX_LEN]; /* whose answers get lost, "" all */
static double rate_level;
static uint64_t rate_time;

/*
 * Finds a stream by name, making it if asked to.  The lock is held.
 */
static struct stream *
stream_get(const char *name, bool make)
{
	size_t i;

	if (strlen(name) >= NAME_MAX_LEN)
		return NULL;
	for (i = 0; i < STREAMS_MAX; i++) {
		if (strcmp(streams[i].name, name) == 0)
			return &streams[i];
		if (streams[i].name[0] != '\0')
			continue;
		if (!make)
			return NULL;
		snprintf(streams[i].name, NAME_MAX_LEN, "%s", name);
		return &streams[i];
	}
	return NULL;
}

/*
 * Forgets the oldest records of a stream.  The lock is held.
 */
static void
stream_drop(struct stream *s, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		free(s->list[i].data);
	memmove(s->list, s->list + n, (s->count - n) * sizeof(*s->list));
	s->count -= n;
	s->first += n;
}

/*
 * Forgets the records that are past the retention.  The lock is held.
 */
static void
stream_expire(struct stream *s)
{
	uint64_t now = clock_ms();
	size_t n = 0;

	if (retain_count > 0 && s->count > (size_t)retain_count)
		n = s->count - (size_t)retain_count;
	while (retain_ms > 0 && n < s->count &&
	       now - s->list[n].written > (uint64_t)retain_ms)
		n++;
	if (n > 0)
		stream_drop(s, n);
}

/*
 * Counts one append against the rate limit of all streams together.  The
 * lock is held.
 */
static bool
rate_admit(void)
{
	uint64_t now = clock_ms();

	if (append_rate <= 0)
		return true;
	rate_level += (double)(now - rate_time) * (double)append_rate / 1000.0;
	rate_time = now;
	if (rate_level > (double)append_rate)
		rate_level = (double)append_rate;
	if (rate_level < 1.0) {
		refused++;
		return false;
	}
	rate_level -= 1.0;
	return true;
}

/*
 * Adds a record to a stream.  Returns its offset, or -1.  The lock is held.
 */
static int64_t
stream_add(struct stream *s, char *data, size_t len)
{
	struct record *r;

	if (s->count == s->cap) {
		size_t cap = s->cap == 0 ? 64 : s->cap * 2;
		r = realloc(s->list, cap * sizeof(*r));
		if (r == NULL)
			return -1;
		s->list = r;
		s->cap = cap;
	}
	r = &s->list[s->count++];
	r->offset = s->next++;
	r->written = clock_ms();
	r->data = data;
	r->len = len;
	s->appends++;
	stream_expire(s);
	pthread_cond_broadcast(&changed);
	return (int64_t)s->next - 1;
}

/*
 * Ends a request without an answer.
 */
static int
hang_up(struct mg_connection *conn)
{
	int fd = standin_socket(conn);

	mg_disable_connection_keep_alive(conn);
	if (fd != -1)
		shutdown(fd, SHUT_RDWR);
	return 499;
}

/*
 * Answers with an error as JSON.
 */
static int
fail(struct mg_connection *conn, int status, const char *what)
{
	return standin_answer(
	    conn, status, "", json_pack("{s:s}", "error", what));
}

/*
 * Serves POST /streams/NAME.
 */
static int
append(struct mg_connection *conn, const char *name)
{
	struct stream *s;
	size_t len = 0;
	char *data = standin_body(conn, &len);
	json_t *probe;
	int64_t off;
	bool lost;

	if (data == NULL || len > 1024 * 1024) {
		free(data);
		mg_disable_connection_keep_alive(conn);
		return fail(conn, 413, "record too large");
	}
	if ((probe = json_stringn(data, len)) == NULL) {
		free(data);
		return fail(conn, 400, "record is not UTF-8 text");
	}
	json_decref(probe);
	pthread_mutex_lock(&lock);
	if (!rate_admit()) {
		pthread_mutex_unlock(&lock);
		free(data);
		return fail(conn, 429, "append rate");
	}
	s = stream_get(name, true);
	off = s == NULL ? -1 : stream_add(s, data, len);
	lost = off >= 0 && lose_answers > 0 &&
	       (lose_stream[0] == '\0' || strcmp(lose_stream, name) == 0);
	if (lost)
		lose_answers--;
	pthread_mutex_unlock(&lock);
	if (off < 0) {
		free(data);
		return fail(conn, 400, "no such stream can be made");
	}
	if (lost)
		return hang_up(conn);
	return standin_answer(conn, 201, "", json_pack("{s:I}", "offset", off));
}

/*
 * Reads a number from a query string.
 */
static uint64_t
query_number(const char *query, const char *key, uint64_t def)
{
	char buf[32];

	if (query == NULL ||
	    mg_get_var(query, strlen(query), key, buf, sizeof(buf)) <= 0)
		return def;
	return strtoull(buf, NULL, 10);
}

/*
 * Waits until the stream has a record at the offset, the time is over or an
 * outage begins.  The lock is held.
 */
static void
wait_for(const char *name, uint64_t from, uint64_t wait_ms)
{
	uint64_t end = clock_ms() + wait_ms;
	struct stream *s;
	struct timespec ts;

	while (!outage && clock_ms() < end) {
		s = stream_get(name, false);
		if (s != NULL && s->next > from)
			return;
		clock_gettime(CLOCK_MONOTONIC, &ts);
		ts.tv_nsec += OUTAGE_CHECK_MS * 1000000L;
		ts.tv_sec += ts.tv_nsec / 1000000000L;
		ts.tv_nsec %= 1000000000L;
		pthread_cond_timedwait(&changed, &lock, &ts);
	}
}

/*
 * Serves GET /streams/NAME?from=N&max=M&wait_ms=W.
 */
static int
read_from(struct mg_connection *conn, const char *name)
{
	const char *query = mg_get_request_info(conn)->query_string;
	uint64_t from = query_number(query, "from", 0);
	uint64_t max = query_number(query, "max", READ_MAX_DEFAULT);
	uint64_t wait_ms = query_number(query, "wait_ms", 0);
	json_t *list = json_array(), *body;
	struct stream *s;
	struct record *r;
	size_t i;

	pthread_mutex_lock(&lock);
	wait_for(name, from, wait_ms < WAIT_MAX_MS ? wait_ms : WAIT_MAX_MS);
	if (outage) {
		pthread_mutex_unlock(&lock);
		json_decref(list);
		return fail(conn, 503, "outage");
	}
	s = stream_get(name, false);
	if (s != NULL)
		stream_expire(s);
	for (i = 0; s != NULL && i < s->count; i++) {
		r = &s->list[i];
		if (r->offset < from || json_array_size(list) >= max)
			continue;
		json_array_append_new(
		    list, json_pack("{s:I, s:s%}", "offset",
			      (json_int_t)r->offset, "data", r->data, r->len));
		s->bytes_read += r->len;
	}
	if (s != NULL)
		s->reads++;
	body = json_pack("{s:I, s:I, s:o}", "first",
	    s == NULL ? (json_int_t)0 : (json_int_t)s->first, "next",
	    s == NULL ? (json_int_t)0 : (json_int_t)s->next, "records", list);
	pthread_mutex_unlock(&lock);
	return standin_answer(conn, 200, "", body);
}

/*
 * Serves /streams/NAME.
 */
static int
serve_stream(struct mg_connection *conn, void *ctx)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	const char *name = ri->local_uri + strlen("/streams/");
	bool out;

	(void)ctx;
	if (slow_ms > 0)
		standin_sleep_us((uint64_t)slow_ms * 1000);
	pthread_mutex_lock(&lock);
	out = outage != 0;
	pthread_mutex_unlock(&lock);
	if (out) {
		mg_disable_connection_keep_alive(conn);
		return fail(conn, 503, "outage");
	}
	if (strlen(name) == 0 || strchr(name, '/') != NULL)
		return fail(conn, 404, "no such stream");
	if (strcmp(ri->request_method, "POST") == 0)
		return append(conn, name);
	if (strcmp(ri->request_method, "GET") == 0)
		return read_from(conn, name);
	return fail(conn, 405, "POST or GET");
}

/*
 * Applies the settings of a POST /control.  The lock is held.
 */
static void
control(const json_t *j)
{
	const char *name = json_string_value(json_object_get(j, "truncate"));
	const char *lose = json_string_value(json_object_get(j, "lose_stream"));
	struct stream *s;

	snprintf(
	    lose_stream, sizeof(lose_stream), "%s", lose == NULL ? "" : lose);
	standin_take_int(j, "outage", &outage);
	standin_take_int(j, "slow_ms", &slow_ms);
	standin_take_int(j, "lose_answers", &lose_answers);
	standin_take_int(j, "append_rate", &append_rate);
	standin_take_int(j, "retain_count", &retain_count);
	standin_take_int(j, "retain_ms", &retain_ms);
	if (name != NULL && (s = stream_get(name, false)) != NULL)
		stream_drop(s, s->count);
	pthread_cond_broadcast(&changed);
}

/*
 * Serves /control: POST changes the faults, both answer with the counts.
 */
static int
serve_control(struct mg_connection *conn, void *ctx)
{
	json_t *j = standin_read_json(conn), *list = json_object();
	size_t i;

	(void)ctx;
	pthread_mutex_lock(&lock);
	if (j != NULL)
		control(j);
	for (i = 0; i < STREAMS_MAX && streams[i].name[0] != '\0'; i++)
		json_object_set_new(list, streams[i].name,
		    json_pack("{s:I, s:I, s:I, s:I, s:I}", "first",
			(json_int_t)streams[i].first, "next",
			(json_int_t)streams[i].next, "appends",
			(json_int_t)streams[i].appends, "reads",
			(json_int_t)streams[i].reads, "bytes_read",
			(json_int_t)streams[i].bytes_read));
	pthread_mutex_unlock(&lock);
	json_decref(j);
	return standin_answer(conn, 200, "",
	    json_pack("{s:o, s:I, s:I}", "streams", list, "refused",
		(json_int_t)refused, "lose_answers", (json_int_t)lose_answers));
}

/*
 * Prints the usage and ends the program.
 */
static void
usage(void)
{
	fprintf(stderr,
	    "usage: logsvc --port N [--address IP] [--threads N]\n"
	    "    [--append-rate N] [--retain-count N] [--retain-ms N]\n");
	exit(2);
}

static const struct option options[] = {
	{ "address", required_argument, NULL, 'a' },
	{ "port", required_argument, NULL, 'p' },
	{ "threads", required_argument, NULL, 't' },
	{ "append-rate", required_argument, NULL, 'r' },
	{ "retain-count", required_argument, NULL, 'c' },
	{ "retain-ms", required_argument, NULL, 'm' },
	{ NULL, 0, NULL, 0 },
};

/*
 * Serves the log until SIGTERM or SIGINT.
 */
int
main(int argc, char **argv)
{
	const char *address = "127.0.0.1", *port = NULL, *threads = "128";
	char listen_on[128];
	const char *opts[] = { "listening_ports", listen_on, "num_threads",
		NULL, "enable_keep_alive", "yes", "keep_alive_timeout_ms",
		"60000", "tcp_nodelay", "1", "request_timeout_ms", "30000",
		NULL };
	struct mg_callbacks cb;
	struct mg_context *ctx;
	pthread_condattr_t attr;
	sigset_t set;
	int c, sig;

	while ((c = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (c == 'a')
			address = optarg;
		else if (c == 'p')
			port = optarg;
		else if (c == 't')
			threads = optarg;
		else if (c == 'r')
			append_rate = strtoll(optarg, NULL, 10);
		else if (c == 'c')
			retain_count = strtoll(optarg, NULL, 10);
		else if (c == 'm')
			retain_ms = strtoll(optarg, NULL, 10);
		else
			usage();
	}
	if (port == NULL)
		usage();
	opts[3] = threads;
	snprintf(listen_on, sizeof(listen_on), "%s:%s", address, port);
	standin_raise_files();
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&changed, &attr);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	memset(&cb, 0, sizeof(cb));
	mg_init_library(0);
	if ((ctx = mg_start(&cb, NULL, opts)) == NULL) {
		fprintf(stderr, "logsvc: cannot listen on %s\n", listen_on);
		return 1;
	}
	mg_set_request_handler(ctx, "/streams/", serve_stream, NULL);
	mg_set_request_handler(ctx, "/control", serve_control, NULL);
	sigwait(&set, &sig);
	_exit(0);
}
