#include <curl/curl.h>
#include <math.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "../content.h"
#include "../standin.h"
#include "backend.h"

/*
 * How a backend server works: slots, queue, service time and inner calls.
 */

#define DEATH_STATUS 70 /* exit status after a poisonous request */

static _Thread_local CURL *curl;

/*
 * Tells whether a piece of text holds the mark of a poisonous request.
 */
static bool
is_poison(const char *text, size_t len)
{
	return text != NULL &&
	       memmem(text, len, be.poison, strlen(be.poison)) != NULL;
}

/*
 * Draws the service time of the next request, in microseconds: from an
 * exponential distribution, the same for all, or from half to one and a half
 * times the mean.
 */
static uint64_t
draw_service(void)
{
	double u, t = (double)be.service_us;
	uint64_t n;

	n = __atomic_add_fetch(&be.draws, 1, __ATOMIC_RELAXED);
	u = (double)(content_mix((uint64_t)be.seed * 1000003 + n) >> 11) /
	    9007199254740992.0;
	if (be.fixed == 0)
		t = -log(1.0 - u) * t;
	else if (be.fixed == 2)
		t *= 0.5 + u;
	t = t * (double)be.slow_percent / 100.0;
	if (clock_ms() - be.started < (uint64_t)be.cold_ms)
		t *= (double)be.cold_factor;
	return (uint64_t)t;
}

/*
 * Takes a slot, waiting in the queue if there is room in it.  Returns false
 * if the request is shed or its deadline passes first.
 */
static bool
slot_take(const struct request *rq)
{
	struct timespec ts;
	bool ok = true;

	pthread_mutex_lock(&be.lock);
	if (be.busy >= be.slots && be.waiting >= be.queue_max) {
		be.shed++;
		pthread_mutex_unlock(&be.lock);
		return false;
	}
	be.waiting++;
	while (be.busy >= be.slots && ok) {
		clock_gettime(CLOCK_REALTIME, &ts);
		ts.tv_sec++;
		pthread_cond_timedwait(&be.slot_free, &be.lock, &ts);
		ok = rq->deadline == 0 || clock_us() < rq->deadline;
	}
	be.waiting--;
	if (ok && rq->deadline != 0 && clock_us() >= rq->deadline)
		ok = false;
	if (ok)
		be.busy++;
	else {
		be.expired++;
		pthread_cond_signal(&be.slot_free);
	}
	pthread_mutex_unlock(&be.lock);
	return ok;
}

/*
 * Gives a slot back.
 */
static void
slot_give(void)
{
	pthread_mutex_lock(&be.lock);
	be.busy--;
	pthread_cond_signal(&be.slot_free);
	pthread_mutex_unlock(&be.lock);
}

/*
 * Works on a request: passes the time, unless the caller goes away or the
 * deadline passes.  Returns false if the work was given up.
 */
static bool
work(const struct request *rq)
{
	uint64_t now = clock_us(), end = now + draw_service();
	bool late = rq->deadline != 0 && end > rq->deadline;
	struct pollfd pfd = { .fd = rq->fd, .events = POLLRDHUP };
	struct timespec ts;

	if (late)
		end = rq->deadline;
	while ((now = clock_us()) < end) {
		ts.tv_sec = (time_t)((end - now) / 1000000);
		ts.tv_nsec = (long)((end - now) % 1000000) * 1000;
		if (ppoll(&pfd, 1, &ts, NULL) > 0) {
			__atomic_add_fetch(&be.cancelled, 1, __ATOMIC_RELAXED);
			return false;
		}
	}
	if (late)
		__atomic_add_fetch(&be.expired, 1, __ATOMIC_RELAXED);
	return !late;
}

/*
 * Throws away the body of an answer to an inner call.
 */
static size_t
discard(char *p, size_t size, size_t n, void *ctx)
{
	(void)p;
	(void)ctx;
	return size * n;
}

/*
 * Sends one inner call through the node.  Returns its status, 0 if none.
 */
static long
inner_send(const char *url, const char *token)
{
	struct curl_slist *hdrs = NULL;
	char line[URL_MAX];
	long status = 0;

	if (curl == NULL && (curl = curl_easy_init()) == NULL)
		return 0;
	snprintf(line, sizeof(line), "Cyclamen-Token: %s", token);
	hdrs = curl_slist_append(hdrs, line);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, hdrs);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 10000L);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(hdrs);
	return status;
}

/*
 * Makes the inner call that the query asks for, with the rest of the list
 * passed on, and retries it as often as the settings say.
 */
static bool
call_inner(struct request *rq)
{
	const char *token = mg_get_header(rq->conn, "Cyclamen-Token");
	char url[URL_MAX * 3], *rest;
	int64_t i;

	if (rq->call[0] == '\0' || be.inner == NULL)
		return true;
	if ((rest = strchr(rq->call, ',')) != NULL)
		*rest++ = '\0';
	snprintf(url, sizeof(url), "%s%s%s%s", be.inner_url, rq->call,
	    rest == NULL ? "" : "?call=", rest == NULL ? "" : rest);
	for (i = 0; i <= be.inner_retries; i++)
		if (inner_send(url, token == NULL ? "" : token) == 200)
			return true;
	return false;
}

/*
 * Runs a request that has its slot.
 */
static int
run(struct request *rq)
{
	const char *id = mg_get_header(rq->conn, "Idempotency-Key");
	const char *ws = mg_get_header(rq->conn, "Cyclamen-Workspace");
	const char *attempt = mg_get_header(rq->conn, "X-Attempt");
	const char *query = rq->info->query_string;
	int status;
	long n;

	if (is_poison(rq->path, strlen(rq->path)) ||
	    (query != NULL && is_poison(query, strlen(query))) ||
	    is_poison(rq->body, rq->body_len))
		_exit(DEATH_STATUS);
	n = runs_begin(&be.runs, rq->path, id == NULL ? "" : id,
	    ws == NULL ? "" : ws, attempt == NULL ? "" : attempt);
	if (!work(rq))
		status = backend_hang_up(rq);
	else if (!call_inner(rq))
		status = backend_fail(rq, 502);
	else
		status = backend_answer(rq);
	runs_end(&be.runs, n, status);
	return status;
}

/*
 * Finds the socket of a connection once and pays for its set-up.
 */
static int
conn_socket(struct mg_connection *conn)
{
	intptr_t fd = (intptr_t)mg_get_user_connection_data(conn);

	if (fd != 0)
		return (int)fd - 1;
	fd = standin_socket(conn);
	mg_set_user_connection_data(conn, (void *)(fd + 1));
	if (be.setup_us > 0)
		standin_sleep_us((uint64_t)be.setup_us);
	return (int)fd;
}

/*
 * Serves any request that is not for control.
 */
int
backend_serve(struct mg_connection *conn, void *ctx)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	struct request rq = { .conn = conn, .info = ri, .path = ri->local_uri };
	const char *deadline = mg_get_header(conn, "Cyclamen-Deadline-Ms");
	int status;

	(void)ctx;
	rq.fd = conn_socket(conn);
	rq.arrival = clock_us();
	if (deadline != NULL && be.check_deadline)
		rq.deadline = rq.arrival + strtoull(deadline, NULL, 10) * 1000;
	if ((rq.body = standin_body(conn, &rq.body_len)) == NULL) {
		mg_disable_connection_keep_alive(conn);
		return standin_answer(conn, 413, "", json_object());
	}
	if (ri->query_string != NULL)
		mg_get_var(ri->query_string, strlen(ri->query_string), "call",
		    rq.call, sizeof(rq.call));
	runs_keep_request(&be.runs, ri, rq.body, rq.body_len);
	if (be.draining || !slot_take(&rq))
		status = backend_refuse(&rq);
	else {
		status = run(&rq);
		slot_give();
	}
	free(rq.body);
	return status;
}
