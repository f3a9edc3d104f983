#ifndef STANDIN_RUNS_H
#define STANDIN_RUNS_H

#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

/*
 * The record of what a backend server was asked to run.
 */

#define RUNS_MAX 400000
#define RUNS_TEXT 72
#define RUNS_HEAD_BYTES (8 * 1024 * 1024)

struct run {
	char path[RUNS_TEXT];
	char id[RUNS_TEXT];
	char workspace[32];
	char attempt[RUNS_TEXT]; /* what the caller wrote in X-Attempt */
	uint64_t start_us;
	uint64_t end_us;
	int status;
};

struct runs {
	pthread_mutex_t lock;
	struct run *list;
	size_t count;
	size_t cap;
	char *heads;
	size_t head_len;
	int keep_heads;
	int file; /* outlives the process, -1 without */
};

/*
 * Makes an empty record.
 */
static inline void
runs_init(struct runs *rs)
{
	memset(rs, 0, sizeof(*rs));
	pthread_mutex_init(&rs->lock, NULL);
	rs->heads = malloc(RUNS_HEAD_BYTES);
	rs->keep_heads = rs->heads != NULL;
	rs->file = -1;
}

/*
 * Keeps bytes that were received, as long as there is room.  The lock is
 * held.
 */
static inline void
runs_keep(struct runs *rs, const char *text, size_t len)
{
	if (!rs->keep_heads || rs->head_len + len + 1 > RUNS_HEAD_BYTES)
		return;
	memcpy(rs->heads + rs->head_len, text, len);
	rs->head_len += len;
	rs->heads[rs->head_len++] = '\n';
}

/*
 * Keeps the first line, the headers and the body of a request.
 */
static inline void
runs_keep_request(struct runs *rs, const struct mg_request_info *ri,
    const char *body, size_t len)
{
	int i;

	if (!rs->keep_heads)
		return;
	pthread_mutex_lock(&rs->lock);
	runs_keep(rs, ri->request_method, strlen(ri->request_method));
	runs_keep(rs, ri->request_uri, strlen(ri->request_uri));
	if (ri->query_string != NULL)
		runs_keep(rs, ri->query_string, strlen(ri->query_string));
	for (i = 0; i < ri->num_headers; i++) {
		runs_keep(rs, ri->http_headers[i].name,
		    strlen(ri->http_headers[i].name));
		runs_keep(rs, ri->http_headers[i].value,
		    strlen(ri->http_headers[i].value));
	}
	runs_keep(rs, body, len);
	pthread_mutex_unlock(&rs->lock);
}

/*
 * Records that a request begins to run.  Returns its number, or -1 if the
 * record is full.
 */
static inline long
runs_begin(struct runs *rs, const char *path, const char *id,
    const char *workspace, const char *attempt)
{
	struct run *r;
	long n = -1;

	pthread_mutex_lock(&rs->lock);
	if (rs->count == rs->cap && rs->cap < RUNS_MAX) {
		size_t cap = rs->cap == 0 ? 1024 : rs->cap * 2;
		r = realloc(rs->list, cap * sizeof(*r));
		if (r != NULL) {
			rs->list = r;
			rs->cap = cap;
		}
	}
	if (rs->count < rs->cap) {
		n = (long)rs->count++;
		r = &rs->list[n];
		memset(r, 0, sizeof(*r));
		strncpy(r->path, path, sizeof(r->path) - 1);
		strncpy(r->id, id, sizeof(r->id) - 1);
		strncpy(r->workspace, workspace, sizeof(r->workspace) - 1);
		strncpy(r->attempt, attempt, sizeof(r->attempt) - 1);
		r->start_us = clock_us();
	}
	if (n >= 0 && rs->file != -1)
		dprintf(rs->file, "%llu %s %s %s %s\n",
		    (unsigned long long)r->start_us, r->path,
		    r->workspace[0] == '\0' ? "-" : r->workspace,
		    r->id[0] == '\0' ? "-" : r->id,
		    r->attempt[0] == '\0' ? "-" : r->attempt);
	pthread_mutex_unlock(&rs->lock);
	return n;
}

/*
 * Records how a run ended.
 */
static inline void
runs_end(struct runs *rs, long n, int status)
{
	if (n < 0)
		return;
	pthread_mutex_lock(&rs->lock);
	rs->list[n].end_us = clock_us();
	rs->list[n].status = status;
	pthread_mutex_unlock(&rs->lock);
}

/*
 * Returns the runs as a JSON array.
 */
static inline json_t *
runs_json(struct runs *rs)
{
	json_t *list = json_array();
	struct run *r;
	size_t i;

	pthread_mutex_lock(&rs->lock);
	for (i = 0; i < rs->count; i++) {
		r = &rs->list[i];
		json_array_append_new(
		    list, json_pack("{s:s, s:s, s:s, s:I, s:I, s:i}", "path",
			      r->path, "id", r->id, "workspace", r->workspace,
			      "start_us", (json_int_t)r->start_us, "end_us",
			      (json_int_t)r->end_us, "status", r->status));
	}
	pthread_mutex_unlock(&rs->lock);
	return list;
}

/*
 * Forgets all runs and all bytes received.
 */
static inline void
runs_reset(struct runs *rs)
{
	pthread_mutex_lock(&rs->lock);
	rs->count = 0;
	rs->head_len = 0;
	pthread_mutex_unlock(&rs->lock);
}

#endif
