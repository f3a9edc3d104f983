#ifndef STANDIN_STANDIN_H
#define STANDIN_STANDIN_H

#include <arpa/inet.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <civetweb.h>
#include <jansson.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define STANDIN_FD_MAX 8192
#define STANDIN_BODY_MAX (2 * 1024 * 1024)

/*
 * Returns the socket of a connection, found by its peer's port, or -1.
 */
static inline int
standin_socket(const struct mg_connection *conn)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	struct sockaddr_in sin;
	socklen_t len;
	int fd;

	for (fd = 3; fd < STANDIN_FD_MAX; fd++) {
		len = sizeof(sin);
		memset(&sin, 0, sizeof(sin));
		if (getpeername(fd, (struct sockaddr *)&sin, &len) == -1 ||
		    sin.sin_family != AF_INET ||
		    ntohs(sin.sin_port) != ri->remote_port)
			continue;
		len = sizeof(sin);
		if (getsockname(fd, (struct sockaddr *)&sin, &len) == 0 &&
		    ntohs(sin.sin_port) == ri->server_port)
			return fd;
	}
	return -1;
}

/*
 * Sleeps for a number of microseconds.
 */
static inline void
standin_sleep_us(uint64_t us)
{
	struct timespec ts;

	ts.tv_sec = (time_t)(us / 1000000);
	ts.tv_nsec = (long)(us % 1000000) * 1000;
	while (nanosleep(&ts, &ts) == -1)
		continue;
}

/*
 * Reads the whole body of a request into fresh memory, ended by a zero byte.
 * Returns NULL if it is too long.
 */
static inline char *
standin_body(struct mg_connection *conn, size_t *len)
{
	size_t cap = 4096, n = 0;
	char *buf, *bigger;
	int r;

	if ((buf = malloc(cap + 1)) == NULL)
		return NULL;
	while ((r = mg_read(conn, buf + n, cap - n)) > 0) {
		n += (size_t)r;
		if (n < cap)
			continue;
		cap *= 2;
		bigger = n >= STANDIN_BODY_MAX ? NULL : realloc(buf, cap + 1);
		if (bigger == NULL) {
			free(buf);
			return NULL;
		}
		buf = bigger;
	}
	buf[n] = '\0';
	*len = n;
	return buf;
}

/*
 * Sends an answer with a JSON body and takes the reference of the body.
 * The extra header lines end in CRLF each.  Returns the status.
 */
static inline int
standin_answer(
    struct mg_connection *conn, int status, const char *extra, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	if (text == NULL)
		text = strdup("{}");
	mg_printf(conn,
	    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n%s\r\n",
	    status, mg_get_response_code_text(conn, status), strlen(text),
	    extra);
	mg_write(conn, text, strlen(text));
	free(text);
	return status;
}

/*
 * Reads a JSON object from a request's body, or returns NULL.
 */
static inline json_t *
standin_read_json(struct mg_connection *conn)
{
	size_t len = 0;
	char *text = standin_body(conn, &len);
	json_t *j;

	if (text == NULL)
		return NULL;
	j = json_loadb(text, len, 0, NULL);
	free(text);
	return j;
}

/*
 * Takes an integer, or a boolean as 0 or 1, from a JSON object if present.
 */
static inline void
standin_take_int(const json_t *j, const char *key, int64_t *val)
{
	const json_t *v = json_object_get(j, key);

	if (json_is_integer(v))
		*val = json_integer_value(v);
	else if (json_is_boolean(v))
		*val = json_is_true(v);
}

/*
 * Raises the number of files that may be open to the hard limit.
 */
static inline void
standin_raise_files(void)
{
	struct rlimit rl;

	if (getrlimit(RLIMIT_NOFILE, &rl) == 0) {
		rl.rlim_cur =
		    rl.rlim_max < STANDIN_FD_MAX ? rl.rlim_max : STANDIN_FD_MAX;
		setrlimit(RLIMIT_NOFILE, &rl);
	}
}

#endif
