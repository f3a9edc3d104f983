#include <err.h>
#include <errno.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "lease/lease.h"
#include "lease/lease_internal.h"

static json_t *node_json(const struct node_id *);
static int node_parse(json_t *, struct node_id *);
static int number_parse(json_t *, uint64_t *);
static int claim_parse(json_t *, struct lease_claim *);
static int state_parse(json_t *, struct lease_state *);
static int snapshot_parse(json_t *, struct lease_record *);
static char *encode_json(json_t *);

/*
 * Encodes a node's id as text, or as null if there is no node.
 */
static json_t *
node_json(const struct node_id *id)
{
	char buf[NODE_ID_TEXT];

	if (nodeid_is_none(id))
		return json_null();
	nodeid_format(id, buf);
	return json_string(buf);
}

/*
 * Parses the result of node_json().  Returns 0, or -1 if it is malformed.
 */
static int
node_parse(json_t *j, struct node_id *id)
{
	const char *s;
	char *end;
	unsigned long v;
	int i;

	memset(id, 0, sizeof(*id));
	if (json_is_null(j))
		return 0;
	s = json_string_value(j);
	if (s == NULL)
		return -1;
	for (i = 0; i < 4; i++) {
		v = strtoul(s, &end, 10);
		if (end == s || v > UINT8_MAX || *end != (i < 3 ? '.' : ':'))
			return -1;
		id->addr = id->addr << 8 | (uint32_t)v;
		s = end + 1;
	}
	v = strtoul(s, &end, 10);
	if (end == s || v > UINT16_MAX || *end != '/')
		return -1;
	id->rpc_port = (uint16_t)v;
	s = end + 1;
	errno = 0;
	id->incarnation = strtoull(s, &end, 16);
	if (end == s || *end != '\0' || errno != 0)
		return -1;
	return nodeid_is_none(id) ? -1 : 0;
}

/*
 * Parses an integer that is not negative.  Returns 0, or -1 if it is malformed.
 */
static int
number_parse(json_t *j, uint64_t *v)
{
	if (!json_is_integer(j) || json_integer_value(j) < 0)
		return -1;
	*v = (uint64_t)json_integer_value(j);
	return 0;
}

/*
 * Parses a claim.  Returns 0, or -1 if it is malformed.
 */
static int
claim_parse(json_t *j, struct lease_claim *c)
{
	uint64_t part;

	if (number_parse(json_object_get(j, "part"), &part) == -1 ||
	    part >= LEASE_PARTS ||
	    number_parse(json_object_get(j, "prev"), &c->prev_term) == -1 ||
	    number_parse(json_object_get(j, "term"), &c->term) == -1 ||
	    c->term != c->prev_term + 1 ||
	    node_parse(json_object_get(j, "by"), &c->claimant) == -1 ||
	    node_parse(json_object_get(j, "owner"), &c->owner) == -1 ||
	    node_parse(json_object_get(j, "standby"), &c->standby) == -1)
		return -1;
	if (nodeid_is_none(&c->claimant) || nodeid_is_none(&c->owner) ||
	    nodeid_equal(&c->owner, &c->standby))
		return -1;
	c->part = (uint32_t)part;
	return 0;
}

/*
 * Parses one partition of a snapshot.  Returns 0, or -1 if it is malformed.
 */
static int
state_parse(json_t *j, struct lease_state *s)
{
	if (number_parse(json_object_get(j, "term"), &s->term) == -1 ||
	    number_parse(json_object_get(j, "tenure"), &s->tenure) == -1 ||
	    number_parse(json_object_get(j, "wait_ms"), &s->wait_ms) == -1 ||
	    node_parse(json_object_get(j, "owner"), &s->owner) == -1 ||
	    node_parse(json_object_get(j, "standby"), &s->standby) == -1)
		return -1;
	s->first = json_is_true(json_object_get(j, "first"));
	return 0;
}

/*
 * Parses a snapshot.  Returns 0, or -1 if it is malformed.
 */
static int
snapshot_parse(json_t *j, struct lease_record *r)
{
	json_t *parts = json_object_get(j, "parts");
	size_t i;

	if (number_parse(json_object_get(j, "next"), &r->next) == -1 ||
	    json_array_size(parts) != LEASE_PARTS)
		return -1;
	for (i = 0; i < LEASE_PARTS; i++)
		if (state_parse(json_array_get(parts, i), &r->state[i]) == -1)
			return -1;
	return 0;
}

/*
 * Decodes a record of the stream.  A malformed record gets the type
 * LEASE_RECORD_MALFORMED.
 */
void
lease_record_decode(struct lease_record *r, const char *data, size_t len)
{
	json_t *j = json_loadb(data, len, JSON_REJECT_DUPLICATES, NULL);

	memset(r, 0, sizeof(*r));
	if (!json_is_object(j))
		r->type = LEASE_RECORD_MALFORMED;
	else if (json_is_true(json_object_get(j, "reset")))
		r->type = LEASE_RECORD_RESET;
	else if (json_is_true(json_object_get(j, "snapshot")))
		r->type = snapshot_parse(j, r) == 0 ? LEASE_RECORD_SNAPSHOT
						    : LEASE_RECORD_MALFORMED;
	else
		r->type = claim_parse(j, &r->claim) == 0
			      ? LEASE_RECORD_CLAIM
			      : LEASE_RECORD_MALFORMED;
	json_decref(j);
}

/*
 * Encodes JSON as text and releases it; the caller frees the text.  Exits the
 * process if memory is exhausted.
 */
static char *
encode_json(json_t *j)
{
	char *s = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	if (s == NULL)
		errx(1, "lease: out of memory while encoding a record");
	return s;
}

/*
 * Encodes a claim as text; the caller frees it.
 */
char *
lease_claim_encode(const struct lease_claim *c)
{
	return encode_json(json_pack("{s:I,s:I,s:I,s:o,s:o,s:o}", "part",
	    (json_int_t)c->part, "prev", (json_int_t)c->prev_term, "term",
	    (json_int_t)c->term, "by", node_json(&c->claimant), "owner",
	    node_json(&c->owner), "standby", node_json(&c->standby)));
}

/*
 * Encodes the whole table as of now_ms as a snapshot; the caller frees the
 * text.  The table must be complete.
 */
char *
lease_snapshot_encode(const struct lease_table *t, uint64_t now_ms)
{
	const struct lease_entry *e;
	json_t *parts = json_array();
	uint64_t wait;
	int i;

	for (i = 0; i < LEASE_PARTS; i++) {
		e = &t->part[i];
		wait = e->effective_ms > now_ms ? e->effective_ms - now_ms : 0;
		json_array_append_new(parts,
		    json_pack("{s:I,s:I,s:I,s:b,s:o,s:o}", "term",
			(json_int_t)e->term, "tenure", (json_int_t)e->tenure,
			"wait_ms", (json_int_t)wait, "first", e->first, "owner",
			node_json(&e->owner), "standby",
			node_json(&e->standby)));
	}
	return encode_json(json_pack("{s:b,s:I,s:o}", "snapshot", 1, "next",
	    (json_int_t)t->next, "parts", parts));
}

/*
 * Encodes the record that resets all leases; the caller frees the text.
 */
char *
lease_reset_encode(void)
{
	return encode_json(json_pack("{s:b}", "reset", 1));
}
