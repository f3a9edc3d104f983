#include <ctype.h>
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "exchange/request.h"

/* CivetWeb drops fields past 64 silently; so many are refused. */
#define RAW_FIELDS_MAX 60
#define TIMEOUT_MS_MAX 600000
#define BEARER "Bearer "

typedef enum reason (*field_fn)(struct request *, const char *, const char **);

/* A field that a node reads itself. */
struct own_field {
	const char *name;
	field_fn read;
};

static enum reason field_key(struct request *, const char *, const char **);
static enum reason field_id(struct request *, const char *, const char **);
static enum reason field_token(struct request *, const char *, const char **);
static enum reason field_timeout(struct request *, const char *, const char **);
static enum reason field_context(struct request *, const char *, const char **);
static enum reason field_mac(struct request *, const char *, const char **);

static const struct own_field own_fields[] = {
	{ "Authorization", field_key },
	{ "Idempotency-Key", field_id },
	{ "Cyclamen-Token", field_token },
	{ "Cyclamen-Timeout-Ms", field_timeout },
	{ "Cyclamen-Context", field_context },
	{ "Cyclamen-Mac", field_mac },
};

/*
 * Returns a field of the request as it was received, or NULL.
 */
const char *
request_raw(const struct request *r, const char *name)
{
	return mg_get_header(r->conn, name);
}

/*
 * Readers of the fields that a node uses itself, one each.
 */
static enum reason
field_key(struct request *r, const char *v, const char **detail)
{
	if (strncasecmp(v, BEARER, sizeof(BEARER) - 1) != 0)
		return REASON_NONE;
	v += sizeof(BEARER) - 1;
	while (*v == ' ')
		v++;
	if (strlen(v) > REQUEST_KEY_MAX) {
		*detail = "the key is too long";
		return REASON_BAD_REQUEST;
	}
	snprintf(r->key, sizeof(r->key), "%s", v);
	return REASON_NONE;
}

/*
 * Reads the name that a caller gave a request.
 */
static enum reason
field_id(struct request *r, const char *v, const char **detail)
{
	size_t i, len = strlen(v);

	for (i = 0; i < len; i++)
		if (!isgraph((unsigned char)v[i]))
			break;
	if (len == 0 || len > REQUEST_ID_MAX || i < len) {
		*detail = "Idempotency-Key is 1 to 128 printable characters";
		return REASON_BAD_REQUEST;
	}
	snprintf(r->id, sizeof(r->id), "%s", v);
	return REASON_NONE;
}

/*
 * Reads the token that ties an inner call to the request it serves.
 */
static enum reason
field_token(struct request *r, const char *v, const char **detail)
{
	(void)detail;
	snprintf(r->token, sizeof(r->token), "%s", v);
	return REASON_NONE;
}

/*
 * Reads the time that the caller is prepared to wait.
 */
static enum reason
field_timeout(struct request *r, const char *v, const char **detail)
{
	int64_t n;

	if (head_length_parse(v, &n) == -1 || n < 1 || n > TIMEOUT_MS_MAX) {
		*detail = "Cyclamen-Timeout-Ms is 1 to 600000";
		return REASON_BAD_REQUEST;
	}
	r->timeout_ms = (uint32_t)n;
	return REASON_NONE;
}

/*
 * Notes a peer's context; only the peer port looks at it.
 */
static enum reason
field_context(struct request *r, const char *v, const char **detail)
{
	(void)detail;
	r->context = v;
	return REASON_NONE;
}

/*
 * Notes a peer's proof; only the peer port looks at it.
 */
static enum reason
field_mac(struct request *r, const char *v, const char **detail)
{
	(void)detail;
	r->mac = v;
	return REASON_NONE;
}

/*
 * Reads all fields: those of the node's own, those that end here, and those
 * to pass on.
 */
static enum reason
read_fields(
    struct request *r, const struct mg_request_info *ri, const char **detail)
{
	const size_t n = sizeof(own_fields) / sizeof(own_fields[0]);
	enum reason why;
	const char *name;
	size_t j;
	int i;

	for (i = 0; i < ri->num_headers; i++) {
		name = ri->http_headers[i].name;
		for (j = 0; j < n; j++)
			if (strcasecmp(own_fields[j].name, name) == 0)
				break;
		if (j < n) {
			why = own_fields[j].read(
			    r, ri->http_headers[i].value, detail);
			if (why != REASON_NONE)
				return why;
		}
		if (strcasecmp(name, "Authorization") == 0 ||
		    head_is_internal(name) || head_is_hop(name))
			continue;
		if (head_add(&r->head, name, ri->http_headers[i].value) == -1) {
			*detail = "the header is too large";
			return REASON_BAD_REQUEST;
		}
	}
	return REASON_NONE;
}

/*
 * Refuses framings that two servers could read in two ways.  Sets *len to
 * the body's length, or HEAD_LEN_CHUNKED.
 */
static enum reason
check_framing(
    const struct mg_request_info *ri, int64_t *len, const char **detail)
{
	int i, lengths = 0, codings = 0;
	const char *name, *v;

	*len = 0;
	*detail = "the length of the body is not clear";
	for (i = 0; i < ri->num_headers; i++) {
		name = ri->http_headers[i].name;
		v = ri->http_headers[i].value;
		if (strcasecmp(name, "Content-Length") == 0) {
			if (lengths++ > 0 || head_length_parse(v, len) == -1)
				return REASON_BAD_REQUEST;
		} else if (strcasecmp(name, "Transfer-Encoding") == 0) {
			if (codings++ > 0 || strcasecmp(v, "chunked") != 0)
				return REASON_BAD_REQUEST;
			*len = HEAD_LEN_CHUNKED;
		}
	}
	if (lengths > 0 && codings > 0)
		return REASON_BAD_REQUEST;
	*detail = "";
	return REASON_NONE;
}

/*
 * Takes the path and query; refuses paths with dot segments, which a
 * backend server might resolve across routes.
 */
static enum reason
read_target(
    struct request *r, const struct mg_request_info *ri, const char **detail)
{
	const char *path = ri->local_uri_raw, *q = ri->query_string;
	char *plain;
	size_t len;
	int n, dotted;

	*detail = "the path is malformed";
	if (path == NULL || path[0] != '/')
		return REASON_BAD_REQUEST;
	n = snprintf(r->target, sizeof(r->target), "%s%s%s", path,
	    q != NULL ? "?" : "", q != NULL ? q : "");
	if (n < 0 || (size_t)n >= sizeof(r->target))
		return REASON_BAD_REQUEST;
	/* On the heap: a thread's stack stays resident once it was used. */
	len = strlen(path);
	plain = malloc(len + 2);
	if (plain == NULL)
		err(1, "read_target");
	n = mg_url_decode(path, (int)len, plain, (int)len + 1, 0);
	if (n >= 0)
		memcpy(plain + n, "/", 2);
	dotted = n < 0 || strstr(plain, "/../") != NULL ||
		 strstr(plain, "/./") != NULL;
	free(plain);
	if (dotted)
		return REASON_BAD_REQUEST;
	for (n = 0; r->target[n] != '\0'; n++)
		if (r->target[n] <= ' ' || r->target[n] == 127)
			return REASON_BAD_REQUEST;
	*detail = "";
	return REASON_NONE;
}

/*
 * Reads a body of known length or in chunks, up to a bound.
 */
static enum reason
read_body(struct request *r, int64_t len, size_t max, const char **detail)
{
	size_t cap = len >= 0 ? (size_t)len : 4096, got = 0;
	const char *expect = request_raw(r, "Expect");
	char *p;
	int n = 0;

	if (len > (int64_t)max)
		return REASON_TOO_LARGE;
	if (len == 0)
		return REASON_NONE;
	if (expect != NULL && strcasecmp(expect, "100-continue") == 0)
		mg_printf(r->conn, "HTTP/1.1 100 Continue\r\n\r\n");
	r->body = malloc(cap + 1);
	if (r->body == NULL)
		err(1, "read_body");
	for (;;) {
		if (got == cap && len >= 0)
			break;
		if (got == cap) {
			if (cap >= max)
				return REASON_TOO_LARGE;
			cap = cap * 2 > max ? max : cap * 2;
			p = realloc(r->body, cap + 1);
			if (p == NULL)
				err(1, "read_body");
			r->body = p;
		}
		n = mg_read(r->conn, r->body + got, cap - got);
		if (n <= 0)
			break;
		got += (size_t)n;
	}
	r->body_len = got;
	if (n < 0 || (len >= 0 && (int64_t)got != len)) {
		*detail = "the body was cut short";
		return REASON_BAD_REQUEST;
	}
	return REASON_NONE;
}

/*
 * Reads and checks a request from a connection.  On any reason but
 * REASON_NONE the connection is closed after the refusal, since what
 * follows on it can't be told apart from the body.
 */
enum reason
request_init(struct request *r, struct mg_connection *conn,
    const atomic_int *closing, size_t body_max, const char **detail)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	enum reason why;
	int64_t len;

	r->conn = conn;
	r->closing = closing;
	r->key[0] = r->id[0] = r->token[0] = r->target[0] = '\0';
	r->context = r->mac = NULL;
	r->timeout_ms = 0;
	r->body = NULL;
	r->body_len = 0;
	head_init(&r->head, 0);
	*detail = "";
	snprintf(r->method, sizeof(r->method), "%s", ri->request_method);
	r->http10 = strcmp(ri->http_version, "1.0") == 0;
	why = check_framing(ri, &len, detail);
	if (why == REASON_NONE && ri->num_headers > RAW_FIELDS_MAX) {
		*detail = "too many header fields";
		why = REASON_BAD_REQUEST;
	}
	if (why == REASON_NONE)
		why = read_target(r, ri, detail);
	if (why == REASON_NONE)
		why = read_fields(r, ri, detail);
	if (why == REASON_NONE)
		why = read_body(r, len, body_max, detail);
	if (why != REASON_NONE)
		mg_disable_connection_keep_alive(conn);
	return why;
}

/*
 * Frees what a request holds.
 */
void
request_finish(struct request *r)
{
	free(r->body);
	r->body = NULL;
}
