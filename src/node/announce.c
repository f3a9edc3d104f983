#include <err.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "node/node.h"

#define SERVER_TARGET "/cyclamen/server"
#define DRAIN_TARGET "/cyclamen/drain"

typedef void (*announce_fn)(struct node *, struct request *);

static void serve_put(struct node *, struct request *);
static void serve_delete(struct node *, struct request *);
static void serve_drain(struct node *, struct request *);

/* What a backend server may tell its node. */
static const struct announce_row {
	const char *method;
	const char *target;
	announce_fn serve;
} announce_rows[] = {
	{ "PUT", SERVER_TARGET, serve_put },
	{ "DELETE", SERVER_TARGET, serve_delete },
	{ "POST", DRAIN_TARGET, serve_drain },
};

/*
 * Answers a server with a status and a JSON body.
 */
static void
reply(struct request *r, int status, const char *text)
{
	mg_printf(r->conn,
	    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    status, mg_get_response_code_text(r->conn, status), strlen(text),
	    text);
}

/*
 * Answers a malformed announcement with all findings.
 */
static void
reply_findings(struct request *r, const struct finds *fs)
{
	json_t *list = json_array();
	char *text;
	size_t i;

	for (i = 0; i < fs->count; i++)
		json_array_append_new(
		    list, json_pack("{s:s,s:s,s:s}", "place", fs->list[i].place,
			      "finding", fs->list[i].text, "detail",
			      fs->list[i].detail));
	list = json_pack("{s:o}", "findings", list);
	text = json_dumps(list, JSON_COMPACT);
	json_decref(list);
	if (text == NULL)
		err(1, "reply_findings");
	reply(r, 400, text);
	free(text);
}

/*
 * Lets admission and membership know the server's present state.
 */
void
server_check(struct node *n, uint64_t now)
{
	struct member_announce a;

	server_get(&n->server, now, &a);
	if (atomic_load(&n->stopping) && a.server.state == MEMBER_SERVER_UP)
		a.server.state = MEMBER_SERVER_DRAINING;
	member_set_server(&n->member, &a.server);
}

/*
 * Takes an announcement.
 */
static void
serve_put(struct node *n, struct request *r)
{
	struct member_announce a;
	struct finds fs;
	enum server_change change;

	finds_init(&fs);
	if (member_announce_parse(
		r->body != NULL ? r->body : "", r->body_len, &a, &fs) == -1) {
		reply_findings(r, &fs);
		finds_finish(&fs);
		return;
	}
	finds_finish(&fs);
	if (a.addr == 0)
		a.addr = n->settings.address;
	pthread_mutex_lock(&n->death_lock);
	change = server_announced(&n->server, &a, clock_ms());
	if (change == SERVER_REPLACED)
		quarantine_report_crash(
		    &n->quarantine, rand_u64() | 1, clock_ms());
	pthread_mutex_unlock(&n->death_lock);
	if (change == SERVER_NEW || change == SERVER_REPLACED) {
		logline(LOG_NOTICE, "server-announced",
		    "service=%s slots=%u incarnation=%" PRIx64,
		    a.server.service, a.server.slots, a.server.incarnation);
		if (a.server.slots >= n->settings.inner_connections)
			logline(LOG_WARNING, "inner-connections-few",
			    "slots=%u inner_connections=%u", a.server.slots,
			    n->settings.inner_connections);
		client_forget(n->servers, a.addr, a.port);
		admission_server_reset(&n->admission, a.server.slots);
	} else if (change == SERVER_CHANGED) {
		admission_set_slots(&n->admission, a.server.slots);
	}
	server_check(n, clock_ms());
	reply(r, 200, "{}");
}

/*
 * Notes that the server has gone.
 */
static void
serve_delete(struct node *n, struct request *r)
{
	logline(LOG_NOTICE, "server-gone", "source=server");
	server_gone(&n->server);
	server_check(n, clock_ms());
	reply(r, 200, "{}");
}

/*
 * Notes that the server takes no new work; what it has is let end.
 */
static void
serve_drain(struct node *n, struct request *r)
{
	logline(LOG_NOTICE, "server-draining", "source=server");
	server_drain(&n->server);
	admission_drain(&n->admission);
	server_check(n, clock_ms());
	reply(r, 200, "{}");
}

/*
 * Serves a request of the inner port that concerns the server itself.
 * Returns 0 where it is something else.
 */
int
announce_serve(struct node *n, struct request *r)
{
	const size_t rows = sizeof(announce_rows) / sizeof(announce_rows[0]);
	size_t i;

	if (strncmp(r->target, "/cyclamen/", 10) != 0)
		return 0;
	for (i = 0; i < rows; i++) {
		if (strcmp(announce_rows[i].target, r->target) != 0 ||
		    strcmp(announce_rows[i].method, r->method) != 0)
			continue;
		announce_rows[i].serve(n, r);
		return 1;
	}
	reply(r, 404,
	    "{\"findings\":[{\"place\":\"/\",\"finding\":"
	    "\"no such operation\"}]}");
	return 1;
}
