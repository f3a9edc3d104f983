#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "publish/publish.h"

#define RECORDS_MAX 32
#define RECORD_BYTES 1024
#define STEPS_MAX 4
#define TIMEOUT_MS 5000
#define CORRUPT_ROUNDS 50
#define CORRUPT_SEED 1
#define ID_A "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define ID_B "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

#define HASH0                              \
	"00000000000000000000000000000000" \
	"00000000000000000000000000000000"

static const char config_json[] =
    "{\"routes\":[],\"workspaces\":[{\"name\":\"w\",\"rate\":1,\"burst\":1,"
    "\"keys\":[{\"id\":\"k\",\"hash\":\"" HASH0 "\"}]}]}";

/* Behavior of the log at one append. */
enum step {
	STEP_OK,
	STEP_REFUSED,
	STEP_UNAVAILABLE,
	STEP_ANSWER_LOST,  /* written, no reply */
	STEP_REQUEST_LOST, /* not written, no reply */
	STEP_LATE,	   /* no reply, written before the next append */
	STEP_RACE,	   /* a competing publication is written first */
	STEP_RACE_LOST,	   /* the same, no reply */
	STEP_MAX
};

struct fake_log {
	char records[RECORDS_MAX][RECORD_BYTES];
	uint64_t first;
	uint64_t next;
	const enum step *steps;
	size_t step;
	int outage_after;	 /* appends before reads fail; 0 is never */
	int reads_fail;		 /* number of reads that fail */
	char late[RECORD_BYTES]; /* delayed record; empty if none */
	uint64_t now;
};

/*
 * Writes a record to the log.
 */
static void
fake_write(struct fake_log *f, const char *data)
{
	assert_true(f->next < RECORDS_MAX);
	assert_true(strlen(data) < RECORD_BYTES);
	memcpy(f->records[f->next++], data, strlen(data) + 1);
}

/*
 * Writes a publication of another operator.
 */
static void
fake_write_competing(struct fake_log *f, uint64_t base)
{
	char *rec = config_publication(config_json, base, ID_B, "rival");

	fake_write(f, rec);
	free(rec);
}

/*
 * Appends a record, or fails, as the next step defines.
 */
static enum logsvc_status
fake_append(void *ctx, const char *stream, const char *data, size_t len,
    uint32_t timeout, uint64_t *offset)
{
	struct fake_log *f = ctx;
	enum step s =
	    f->steps[f->step < STEPS_MAX - 1 ? f->step : STEPS_MAX - 1];

	(void)len;
	(void)timeout;
	assert_string_equal(stream, "config");
	f->step++;
	if (f->late[0] != '\0') {
		fake_write(f, f->late);
		f->late[0] = '\0';
	}
	if (s == STEP_REFUSED)
		return LOGSVC_REFUSED;
	if (s == STEP_UNAVAILABLE)
		return LOGSVC_UNAVAILABLE;
	if (s == STEP_REQUEST_LOST)
		return LOGSVC_UNKNOWN;
	if (s == STEP_LATE) {
		snprintf(f->late, RECORD_BYTES, "%s", data);
		return LOGSVC_UNKNOWN;
	}
	if (s == STEP_RACE || s == STEP_RACE_LOST)
		fake_write_competing(f, 0);
	fake_write(f, data);
	*offset = f->next - 1;
	if (s == STEP_ANSWER_LOST || s == STEP_RACE_LOST)
		return LOGSVC_UNKNOWN;
	return LOGSVC_OK;
}

/*
 * Returns at most two records, to make a stream take several reads.
 */
static enum logsvc_status
fake_read(void *ctx, const char *stream, uint64_t from, uint32_t max,
    uint32_t wait, uint32_t timeout, struct logsvc_batch *b)
{
	struct fake_log *f = ctx;
	uint64_t i;

	(void)stream;
	(void)max;
	(void)wait;
	(void)timeout;
	if (f->outage_after > 0 && f->step >= (size_t)f->outage_after &&
	    f->reads_fail > 0) {
		f->reads_fail--;
		return LOGSVC_UNKNOWN;
	}
	memset(b, 0, sizeof(*b));
	b->first = f->first;
	b->next = f->next;
	b->list = calloc(2, sizeof(*b->list));
	for (i = from > f->first ? from : f->first; i < f->next && b->count < 2;
	     i++) {
		b->list[b->count].offset = i;
		b->list[b->count].data = strdup(f->records[i]);
		b->list[b->count++].len = strlen(f->records[i]);
	}
	return LOGSVC_OK;
}

static uint64_t
fake_now(void *ctx)
{
	return ((struct fake_log *)ctx)->now;
}

static void
fake_sleep(void *ctx, uint32_t ms)
{
	((struct fake_log *)ctx)->now += ms;
}

/*
 * Initializes a log with a number of publications, of which the oldest are
 * deleted.
 */
static void
fake_init(struct fake_log *f, struct publish_env *env, const enum step *steps,
    uint64_t versions, uint64_t dropped)
{
	uint64_t v;

	memset(f, 0, sizeof(*f));
	f->steps = steps;
	for (v = 0; v < versions; v++)
		fake_write_competing(f, v);
	f->first = dropped;
	env->log.append = fake_append;
	env->log.read = fake_read;
	env->log.ctx = f;
	env->now_ms = fake_now;
	env->sleep_ms = fake_sleep;
	env->ctx = f;
}

static const struct {
	const char *name;
	enum step steps[STEPS_MAX];
	uint64_t versions;
	uint64_t dropped;
	uint64_t base;
	int outage_after;
	int reads_fail;
	enum publish_status status;
	uint64_t version;
	uint64_t next; /* records in the log at the end */
} cases[] = {
	{ "first", { STEP_OK }, 0, 0, 0, 0, 0, PUBLISH_ACCEPTED, 1, 1 },
	{ "fourth", { STEP_OK }, 3, 0, 3, 0, 0, PUBLISH_ACCEPTED, 4, 4 },
	{ "stale base", { STEP_OK }, 3, 0, 2, 0, 0, PUBLISH_CONFLICT, 3, 3 },
	{ "future base", { STEP_OK }, 3, 0, 4, 0, 0, PUBLISH_CONFLICT, 3, 3 },
	{ "answer lost", { STEP_ANSWER_LOST }, 0, 0, 0, 0, 0, PUBLISH_ACCEPTED,
	    1, 1 },
	{ "request lost", { STEP_REQUEST_LOST, STEP_OK }, 0, 0, 0, 0, 0,
	    PUBLISH_ACCEPTED, 1, 1 },
	{ "written late, twice", { STEP_LATE, STEP_OK }, 0, 0, 0, 0, 0,
	    PUBLISH_ACCEPTED, 1, 2 },
	{ "race", { STEP_RACE }, 0, 0, 0, 0, 0, PUBLISH_CONFLICT, 1, 2 },
	{ "race, answer lost", { STEP_RACE_LOST }, 0, 0, 0, 0, 0,
	    PUBLISH_CONFLICT, 1, 2 },
	{ "refused at first", { STEP_REFUSED, STEP_UNAVAILABLE, STEP_OK }, 0, 0,
	    0, 0, 0, PUBLISH_ACCEPTED, 1, 1 },
	{ "refused for long",
	    { STEP_REFUSED, STEP_REFUSED, STEP_REFUSED, STEP_REFUSED }, 0, 0, 0,
	    0, 0, PUBLISH_UNAVAILABLE, 0, 0 },
	{ "reads fail at first", { STEP_OK }, 0, 0, 0, 1, 3, PUBLISH_ACCEPTED,
	    1, 1 },
	{ "answer lost, reads fail", { STEP_ANSWER_LOST }, 0, 0, 0, 1, 3,
	    PUBLISH_ACCEPTED, 1, 1 },
	{ "answer lost, then an outage", { STEP_ANSWER_LOST }, 0, 0, 0, 1, 1000,
	    PUBLISH_UNKNOWN, 0, 1 },
	{ "no snapshot yet", { STEP_OK }, 3, 2, 3, 0, 0, PUBLISH_UNSYNCED, 0,
	    3 },
};

/*
 * Whichever appends and reads of the log fail, the publisher reports the
 * outcome of its publication correctly, and at most one copy is accepted.  A
 * second run with the same id reports the same outcome.
 */
static void
test_publish_outcomes(void **state)
{
	struct publication p = { config_json, "test", 0, TIMEOUT_MS };
	struct publish_reader r, retry;
	struct publish_env env;
	enum publish_status st;
	struct fake_log f;
	uint64_t version;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		fake_init(&f, &env, cases[i].steps, cases[i].versions,
		    cases[i].dropped);
		f.outage_after = cases[i].outage_after;
		f.reads_fail = cases[i].reads_fail;
		publish_reader_init(&r, &env, ID_A);
		p.base_version = cases[i].base;
		version = 0;
		st = publish_config(&r, &p, &version);
		if (st != cases[i].status || f.next != cases[i].next)
			print_error("case %s\n", cases[i].name);
		assert_int_equal(st, cases[i].status);
		assert_int_equal(version, cases[i].version);
		assert_int_equal(f.next, cases[i].next);
		f.reads_fail = 0;
		publish_reader_init(&retry, &env, ID_A);
		if (st == PUBLISH_ACCEPTED || st == PUBLISH_CONFLICT) {
			assert_int_equal(
			    publish_config(&retry, &p, &version), st);
			assert_int_equal(version, cases[i].version);
			assert_int_equal(f.next, cases[i].next);
		}
		publish_reader_finish(&retry);
		publish_reader_finish(&r);
	}
}

/*
 * Where old records were deleted, the version in force comes from a snapshot.
 * Whether an old publication was accepted can then no longer be determined.
 */
static void
test_publish_after_snapshot(void **state)
{
	static const enum step steps[STEPS_MAX] = { STEP_OK };
	struct publication p = { config_json, "test", 2, TIMEOUT_MS };
	struct publish_reader r;
	struct publish_env env;
	struct fake_log f;
	uint64_t version = 0;
	char *snapshot;

	(void)state;
	fake_init(&f, &env, steps, 3, 0);
	publish_reader_init(&r, &env, ID_A);
	assert_int_equal(publish_catch_up(&r, TIMEOUT_MS), LOGSVC_OK);
	assert_int_equal(publish_current_version(&r), 3);
	snapshot = config_snapshot(r.state.cur, ID_B);
	fake_write(&f, snapshot);
	free(snapshot);
	publish_reader_finish(&r);
	f.first = 3;
	publish_reader_init(&r, &env, ID_A);
	assert_int_equal(publish_config(&r, &p, &version), PUBLISH_UNKNOWN);
	assert_int_equal(version, 3);
	p.base_version = 3;
	assert_int_equal(publish_config(&r, &p, &version), PUBLISH_ACCEPTED);
	assert_int_equal(version, 4);
	publish_reader_finish(&r);
}

/*
 * Returns the next number of a linear congruential generator, to make a run
 * repeatable.
 */
static uint32_t
rand_next(uint32_t *seed)
{
	*seed = *seed * 1664525 + 1013904223;
	return *seed >> 8;
}

/*
 * Corrupt records in the stream do not stop the reader, and a publication
 * based on the version in force is accepted.
 */
static void
test_publish_among_corrupt_records(void **state)
{
	static const enum step steps[STEPS_MAX] = { STEP_OK };
	struct publication p = { config_json, "test", 0, TIMEOUT_MS };
	char *valid = config_publication(config_json, 0, ID_B, "rival");
	struct publish_reader r;
	struct publish_env env;
	uint32_t seed, round, i, changes;
	uint64_t version;
	struct fake_log f;
	size_t len = strlen(valid);

	(void)state;
	for (round = 0; round < CORRUPT_ROUNDS; round++) {
		seed = CORRUPT_SEED + round;
		fake_init(&f, &env, steps, 0, 0);
		for (i = 0; i < RECORDS_MAX - 1; i++) {
			fake_write(&f, valid);
			for (changes = rand_next(&seed) % 4 + 1; changes > 0;
			     changes--)
				f.records[i][rand_next(&seed) % len] =
				    (char)(rand_next(&seed) % 96 + 32);
			if (rand_next(&seed) % 3 == 0)
				f.records[i][rand_next(&seed) % len] = '\0';
		}
		publish_reader_init(&r, &env, ID_A);
		assert_int_equal(publish_catch_up(&r, TIMEOUT_MS), LOGSVC_OK);
		p.base_version = publish_current_version(&r);
		assert_int_equal(
		    publish_config(&r, &p, &version), PUBLISH_ACCEPTED);
		assert_int_equal(version, p.base_version + 1);
		publish_reader_finish(&r);
	}
	free(valid);
}

static const struct {
	const char *ws;
	const char *id;
	int withdraw;
	size_t errors;
	size_t keys; /* after the edit */
} edits[] = {
	{ "w", "k2", 0, 0, 2 },
	{ "w", "k", 0, 1, 0 },
	{ "x", "k", 0, 1, 0 },
	{ "w", "k", 1, 0, 0 },
	{ "w", "k2", 1, 1, 0 },
	{ "x", "k", 1, 1, 0 },
};

/*
 * Adds keys to a valid configuration and removes them.
 */
static void
test_key_edits(void **state)
{
	const char *hash = "11111111111111111111111111111111"
			   "11111111111111111111111111111111";
	struct config *c;
	struct finds findings;
	char *text;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(edits) / sizeof(edits[0]); i++) {
		finds_init(&findings);
		if (edits[i].withdraw)
			text = publish_remove_key(
			    config_json, edits[i].ws, edits[i].id, &findings);
		else
			text = publish_add_key(config_json, edits[i].ws,
			    edits[i].id, hash, &findings);
		assert_int_equal(findings.errors, edits[i].errors);
		assert_int_equal(text == NULL, edits[i].errors > 0);
		if (text != NULL) {
			c = config_new(text, strlen(text), 1, &findings);
			assert_non_null(c);
			assert_int_equal(c->key_count, edits[i].keys);
			config_free(c);
		}
		free(text);
		finds_finish(&findings);
	}
}

/*
 * All keys that share an id are removed together.
 */
static void
test_withdraw_removes_duplicates(void **state)
{
	struct finds findings;
	char *text;

	(void)state;
	finds_init(&findings);
	text = publish_remove_key("{\"workspaces\":[{\"name\":\"w\",\"keys\":"
				  "[{\"id\":\"k\"},{\"id\":\"k\"}]}]}",
	    "w", "k", &findings);
	assert_string_equal(
	    text, "{\"workspaces\":[{\"name\":\"w\",\"keys\":[]}]}");
	free(text);
	finds_finish(&findings);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_publish_outcomes),
		cmocka_unit_test(test_publish_after_snapshot),
		cmocka_unit_test(test_publish_among_corrupt_records),
		cmocka_unit_test(test_key_edits),
		cmocka_unit_test(test_withdraw_removes_duplicates),
	};

	if (sodium_init() == -1)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
