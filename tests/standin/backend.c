#include <curl/curl.h>
#include <fcntl.h>
#include <getopt.h>
#include <signal.h>
#include <unistd.h>

#include "backend/backend.h"
#include "standin.h"

/*
 * Stand-in for a backend server: its settings, its announcements and the
 * control of its faults.
 */

#define ANNOUNCE_US 1000000
#define ANNOUNCE_TIMEOUT_MS 2000L
#define SPARE_THREADS 8 /* for control requests, over the connections */
#define LEAVE_WAIT_MS 20000
#define LEAVE_CHECK_US 10000

static int serve_control(struct mg_connection *, void *);
static int serve_health(struct mg_connection *, void *);
static int serve_drain(struct mg_connection *, void *);
static int conn_open(const struct mg_connection *, void **);
static void conn_closed(const struct mg_connection *);

struct backend be = {
	.address = "127.0.0.1",
	.service = "web",
	.poison = "poison-pill",
	.slots = 16,
	.connections = 64,
	.queue_max = -1,
	.service_us = 1000,
	.seed = 1,
	.cold_factor = 5,
	.check_deadline = 1,
	.echo_id = 1,
	.slow_percent = 100,
	.late_ms = 500,
	.announce = 1,
	.lock = PTHREAD_MUTEX_INITIALIZER,
	.slot_free = PTHREAD_COND_INITIALIZER,
};

static const struct {
	const char *name;
	int64_t *value;
} controls[] = {
	{ "slow_percent", &be.slow_percent },
	{ "service_us", &be.service_us },
	{ "late_ms", &be.late_ms },
	{ "lie", &be.lie },
	{ "announce", &be.announce },
	{ "drain", &be.draining },
	{ "fault_count", &be.fault_count },
	{ "inner_retries", &be.inner_retries },
	{ "check_deadline", &be.check_deadline },
	{ "echo_id", &be.echo_id },
	{ "slots", &be.slots },
	{ "queue", &be.queue_max },
};

enum opt {
	OPT_ADDRESS,
	OPT_PORT,
	OPT_INNER,
	OPT_SERVICE,
	OPT_POISON,
	OPT_HEALTH,
	OPT_RUNS_FILE,
	OPT_TEXT_MAX,
	OPT_SLOTS = OPT_TEXT_MAX,
	OPT_CONNECTIONS,
	OPT_QUEUE,
	OPT_SERVICE_US,
	OPT_FIXED,
	OPT_SETUP_US,
	OPT_SEED,
	OPT_COLD_MS,
	OPT_COLD_FACTOR,
	OPT_INNER_RETRIES,
	OPT_KEEP_HEADERS,
	OPT_MAX
};

static int64_t keep_headers = 1;
static const char *runs_file;

static const char **const texts[OPT_TEXT_MAX] = { &be.address, &be.port,
	&be.inner, &be.service, &be.poison, &be.health, &runs_file };

static int64_t *const numbers[OPT_MAX - OPT_TEXT_MAX] = { &be.slots,
	&be.connections, &be.queue_max, &be.service_us, &be.fixed, &be.setup_us,
	&be.seed, &be.cold_ms, &be.cold_factor, &be.inner_retries,
	&keep_headers };

static const struct option options[] = {
	{ "address", required_argument, NULL, OPT_ADDRESS },
	{ "port", required_argument, NULL, OPT_PORT },
	{ "inner", required_argument, NULL, OPT_INNER },
	{ "service", required_argument, NULL, OPT_SERVICE },
	{ "poison", required_argument, NULL, OPT_POISON },
	{ "health", required_argument, NULL, OPT_HEALTH },
	{ "runs-file", required_argument, NULL, OPT_RUNS_FILE },
	{ "slots", required_argument, NULL, OPT_SLOTS },
	{ "connections", required_argument, NULL, OPT_CONNECTIONS },
	{ "queue", required_argument, NULL, OPT_QUEUE },
	{ "service-us", required_argument, NULL, OPT_SERVICE_US },
	{ "fixed", required_argument, NULL, OPT_FIXED },
	{ "setup-us", required_argument, NULL, OPT_SETUP_US },
	{ "seed", required_argument, NULL, OPT_SEED },
	{ "cold-ms", required_argument, NULL, OPT_COLD_MS },
	{ "cold-factor", required_argument, NULL, OPT_COLD_FACTOR },
	{ "inner-retries", required_argument, NULL, OPT_INNER_RETRIES },
	{ "keep-headers", required_argument, NULL, OPT_KEEP_HEADERS },
	{ NULL, 0, NULL, 0 },
};

/*
 * Sends one request about this server to its node.  Returns the status, 0 if
 * there was no answer.
 */
static long
tell_node(const char *method, const char *path, const char *body)
{
	CURL *curl = curl_easy_init();
	char url[URL_MAX * 2];
	FILE *null;
	long status = 0;

	if (curl == NULL)
		return 0;
	null = fopen("/dev/null", "w");
	snprintf(url, sizeof(url), "%s%s", be.inner_url, path);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, null);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, ANNOUNCE_TIMEOUT_MS);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	if (null != NULL)
		fclose(null);
	return status;
}

/*
 * Announces this server to its node every second.
 */
static void *
announce_loop(void *arg)
{
	char body[URL_MAX], extra[URL_MAX / 2] = "";

	(void)arg;
	if (be.health != NULL)
		snprintf(extra, sizeof(extra), ",\"health\":\"%s\"", be.health);
	snprintf(body, sizeof(body),
	    "{\"service\":\"%s\",\"port\":%s,\"slots\":%lld,"
	    "\"connections\":%lld,\"incarnation\":\"%s\",\"address\":\"%s\"%s}",
	    be.service, be.port, (long long)be.slots, (long long)be.connections,
	    be.incarnation, be.address, extra);
	for (;;) {
		if (be.announce && !be.draining &&
		    tell_node("PUT", "/cyclamen/server", body) == 0) {
			standin_sleep_us(ANNOUNCE_US / 10);
			continue;
		}
		standin_sleep_us(ANNOUNCE_US);
	}
	return NULL;
}

/*
 * Counts a connection that was opened.
 */
static int
conn_open(const struct mg_connection *conn, void **data)
{
	(void)conn;
	*data = NULL;
	pthread_mutex_lock(&be.lock);
	if (++be.open_conns > be.open_conns_max)
		be.open_conns_max = be.open_conns;
	pthread_mutex_unlock(&be.lock);
	return 0;
}

/*
 * Counts a connection that was closed.
 */
static void
conn_closed(const struct mg_connection *conn)
{
	(void)conn;
	pthread_mutex_lock(&be.lock);
	be.open_conns--;
	pthread_mutex_unlock(&be.lock);
}

/*
 * Answers with everything received so far, for tests to search.
 */
static int
send_heads(struct mg_connection *conn)
{
	pthread_mutex_lock(&be.runs.lock);
	mg_printf(conn,
	    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    be.runs.head_len);
	mg_write(conn, be.runs.heads, be.runs.head_len);
	pthread_mutex_unlock(&be.runs.lock);
	return 200;
}

/*
 * Returns the counts of this server.
 */
static json_t *
counts(void)
{
	json_t *j;

	pthread_mutex_lock(&be.lock);
	j = json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "busy",
	    (json_int_t)be.busy, "waiting", (json_int_t)be.waiting, "shed",
	    (json_int_t)be.shed, "expired", (json_int_t)be.expired, "cancelled",
	    (json_int_t)be.cancelled, "open_conns", (json_int_t)be.open_conns,
	    "open_conns_max", (json_int_t)be.open_conns_max, "count",
	    (json_int_t)be.runs.count);
	pthread_mutex_unlock(&be.lock);
	return j;
}

/*
 * Applies the settings of a POST /control.
 */
static void
control(const json_t *j)
{
	const char *name = json_string_value(json_object_get(j, "fault"));
	size_t i;

	pthread_mutex_lock(&be.lock);
	for (i = 0; i < sizeof(controls) / sizeof(controls[0]); i++)
		standin_take_int(j, controls[i].name, controls[i].value);
	if (name != NULL) {
		be.fault = backend_fault(name);
		if (json_object_get(j, "fault_count") == NULL)
			be.fault_count = -1;
	}
	pthread_cond_broadcast(&be.slot_free);
	pthread_mutex_unlock(&be.lock);
	if (json_is_true(json_object_get(j, "reset")))
		runs_reset(&be.runs);
}

/*
 * Serves /control, /control/runs and /control/headers.
 */
static int
serve_control(struct mg_connection *conn, void *ctx)
{
	const char *path = mg_get_request_info(conn)->local_uri;
	json_t *j = standin_read_json(conn), *out;

	(void)ctx;
	if (j != NULL)
		control(j);
	json_decref(j);
	if (strcmp(path, "/control/headers") == 0)
		return send_heads(conn);
	out = counts();
	if (strcmp(path, "/control/runs") == 0)
		json_object_set_new(out, "runs", runs_json(&be.runs));
	return standin_answer(conn, 200, "", out);
}

/*
 * Serves the health endpoint, which may lie.
 */
static int
serve_health(struct mg_connection *conn, void *ctx)
{
	double load = (double)be.busy / (double)be.slots;

	(void)ctx;
	return standin_answer(conn, 200, "",
	    json_pack("{s:b, s:f}", "ok", 1, "load", be.lie ? 0.0 : load));
}

/*
 * Serves POST /drain: takes no new work from now on and tells the node.
 */
static int
serve_drain(struct mg_connection *conn, void *ctx)
{
	(void)ctx;
	be.draining = 1;
	tell_node("POST", "/cyclamen/drain", "");
	return standin_answer(conn, 200, "", counts());
}

/*
 * Leaves as a server should: drains, ends the work in hand, says good-bye.
 */
static void
leave(void)
{
	uint64_t end = clock_ms() + LEAVE_WAIT_MS;

	be.announce = 0;
	if (be.inner != NULL)
		tell_node("POST", "/cyclamen/drain", "");
	while (be.busy + be.waiting > 0 && clock_ms() < end)
		standin_sleep_us(LEAVE_CHECK_US);
	if (be.inner != NULL)
		tell_node("DELETE", "/cyclamen/server", "");
}

/*
 * Reads the command line.
 */
static void
settings(int argc, char **argv)
{
	int c;

	while ((c = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (c == '?') {
			fprintf(stderr, "usage: backend --port N ...\n");
			exit(2);
		}
		if (c < OPT_TEXT_MAX)
			*texts[c] = optarg;
		else
			*numbers[c - OPT_TEXT_MAX] = strtoll(optarg, NULL, 10);
	}
	if (be.port == NULL) {
		fprintf(stderr, "backend: --port is missing\n");
		exit(2);
	}
	if (be.queue_max < 0)
		be.queue_max = be.slots;
	if (be.inner != NULL && strchr(be.inner, ':') == NULL)
		snprintf(be.inner_url, sizeof(be.inner_url), "http://%s:%s",
		    be.address, be.inner);
	else if (be.inner != NULL)
		snprintf(be.inner_url, sizeof(be.inner_url), "%s%s",
		    strstr(be.inner, "://") == NULL ? "http://" : "", be.inner);
}

/*
 * Serves until SIGTERM, on which it drains and leaves.
 */
int
main(int argc, char **argv)
{
	char listen_on[128], threads[32];
	const char *opts[] = { "listening_ports", listen_on, "num_threads",
		threads, "enable_keep_alive", "yes", "keep_alive_timeout_ms",
		"60000", "tcp_nodelay", "1", "request_timeout_ms", "30000",
		NULL };
	struct mg_callbacks cb;
	struct mg_context *ctx;
	pthread_t thread;
	sigset_t set;
	int sig;

	settings(argc, argv);
	standin_raise_files();
	runs_init(&be.runs);
	be.runs.keep_heads = be.runs.keep_heads && keep_headers;
	if (runs_file != NULL)
		be.runs.file = open(
		    runs_file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0666);
	be.started = clock_ms();
	snprintf(be.incarnation, sizeof(be.incarnation), "%016llx",
	    (unsigned long long)rand_u64());
	snprintf(listen_on, sizeof(listen_on), "%s:%s", be.address, be.port);
	snprintf(threads, sizeof(threads), "%lld",
	    (long long)be.connections + SPARE_THREADS);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	memset(&cb, 0, sizeof(cb));
	cb.init_connection = conn_open;
	cb.connection_closed = conn_closed;
	mg_init_library(0);
	if ((ctx = mg_start(&cb, NULL, opts)) == NULL) {
		fprintf(stderr, "backend: cannot listen on %s\n", listen_on);
		return 1;
	}
	mg_set_request_handler(ctx, "/control", serve_control, NULL);
	mg_set_request_handler(ctx, "/health$", serve_health, NULL);
	mg_set_request_handler(ctx, "/drain$", serve_drain, NULL);
	mg_set_request_handler(ctx, "/", backend_serve, NULL);
	if (be.inner != NULL)
		pthread_create(&thread, NULL, announce_loop, NULL);
	sigwait(&set, &sig);
	leave();
	_exit(0);
}
