#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "node/server.h"

enum event {
	ANNOUNCED,
	DRAINED,
	GONE,
	DIED,
	ANSWERED
};

struct step {
	uint64_t at_ms;
	enum event event;
	uint64_t incarnation;
	int result;			/* of an announcement or a death */
	enum member_server_state state; /* afterwards */
};

/*
 * Drives one server's state through steps and checks it after each.
 */
static void
drive(const struct step *st, size_t n)
{
	struct member_announce a = { .addr = 1, .port = 2 };
	struct member_announce got;
	struct server s;
	size_t i;
	int r;

	snprintf(a.server.service, sizeof(a.server.service), "web");
	a.server.slots = 4;
	server_init(&s);
	for (i = 0; i < n; i++) {
		r = st[i].result;
		a.server.incarnation = st[i].incarnation;
		if (st[i].event == ANNOUNCED)
			r = (int)server_announced(&s, &a, st[i].at_ms);
		else if (st[i].event == DRAINED)
			server_drain(&s);
		else if (st[i].event == GONE)
			server_gone(&s);
		else if (st[i].event == DIED)
			r = server_died(&s, st[i].incarnation);
		else
			server_heard(&s, st[i].incarnation, st[i].at_ms);
		server_get(&s, st[i].at_ms, &got);
		if (r != st[i].result || got.server.state != st[i].state)
			fail_msg("step %zu: result %d, state %d", i, r,
			    (int)got.server.state);
	}
	server_finish(&s);
}

/*
 * Silence ends an announcement, but a server that answers is alive.
 */
static void
test_answers_keep_a_server(void **state)
{
	static const struct step steps[] = {
		{ 1000, ANNOUNCED, 7, SERVER_NEW, MEMBER_SERVER_UP },
		{ 5000, ANSWERED, 7, 0, MEMBER_SERVER_UP },
		{ 9000, ANSWERED, 7, 0, MEMBER_SERVER_UP },
		{ 13000, ANSWERED, 6, 0, MEMBER_SERVER_UP },
		{ 15000, ANSWERED, 6, 0, MEMBER_SERVER_NONE },
		{ 15100, ANSWERED, 7, 0, MEMBER_SERVER_NONE },
		{ 15200, ANNOUNCED, 7, SERVER_NEW, MEMBER_SERVER_UP },
	};

	(void)state;
	drive(steps, sizeof(steps) / sizeof(steps[0]));
}

/*
 * A late announcement of a dead process changes nothing; another process
 * takes its place, and a death counts once.
 */
static void
test_the_dead_stay_dead(void **state)
{
	static const struct step steps[] = {
		{ 1000, ANNOUNCED, 7, SERVER_NEW, MEMBER_SERVER_UP },
		{ 1100, DIED, 6, 0, MEMBER_SERVER_UP },
		{ 1200, DIED, 7, 1, MEMBER_SERVER_NONE },
		{ 1300, DIED, 7, 0, MEMBER_SERVER_NONE },
		{ 1400, ANNOUNCED, 7, SERVER_SAME, MEMBER_SERVER_NONE },
		{ 1500, ANNOUNCED, 8, SERVER_NEW, MEMBER_SERVER_UP },
		{ 1600, ANNOUNCED, 9, SERVER_REPLACED, MEMBER_SERVER_UP },
	};

	(void)state;
	drive(steps, sizeof(steps) / sizeof(steps[0]));
}

/*
 * A time taken just before another thread noted an answer is no silence.
 */
static void
test_answer_noted_meanwhile(void **state)
{
	struct member_announce a = { .addr = 1, .port = 2 }, got;
	struct server s;

	(void)state;
	snprintf(a.server.service, sizeof(a.server.service), "web");
	a.server.slots = 4;
	a.server.incarnation = 7;
	server_init(&s);
	server_announced(&s, &a, 1000);
	server_heard(&s, 7, 2001);
	server_get(&s, 2000, &got);
	assert_int_equal(got.server.state, MEMBER_SERVER_UP);
	server_finish(&s);
}

/*
 * Draining lasts until another process announces itself.
 */
static void
test_draining_lasts(void **state)
{
	static const struct step steps[] = {
		{ 1000, ANNOUNCED, 7, SERVER_NEW, MEMBER_SERVER_UP },
		{ 1100, DRAINED, 7, 0, MEMBER_SERVER_DRAINING },
		{ 1200, ANNOUNCED, 7, SERVER_SAME, MEMBER_SERVER_DRAINING },
		{ 1300, GONE, 7, 0, MEMBER_SERVER_NONE },
		{ 1400, ANNOUNCED, 8, SERVER_NEW, MEMBER_SERVER_UP },
	};

	(void)state;
	drive(steps, sizeof(steps) / sizeof(steps[0]));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_answers_keep_a_server),
		cmocka_unit_test(test_the_dead_stay_dead),
		cmocka_unit_test(test_answer_noted_meanwhile),
		cmocka_unit_test(test_draining_lasts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
