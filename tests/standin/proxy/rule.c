#include <arpa/inet.h>

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "../content.h"
#include "../standin.h"
#include "proxy.h"

/*
 * The faults of each way between two groups of addresses.
 */

#define RULES_MAX 128
#define GROUPS_MAX 256

struct member {
	uint32_t addr;
	char name[NAME_BYTES];
};

static bool matches(const char *, uint32_t);
static struct rule *find(uint32_t, uint32_t);

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct rule rules[RULES_MAX];
static size_t rule_count;
static struct member members[GROUPS_MAX];
static size_t member_count;
static uint64_t draws;

/*
 * Returns the next number of a fixed sequence.
 */
uint64_t
proxy_random(void)
{
	return content_mix(__atomic_add_fetch(&draws, 1, __ATOMIC_RELAXED));
}

/*
 * Makes a socket address from text and a port.
 */
struct sockaddr_in
proxy_address(const char *text, int port)
{
	struct sockaddr_in sin;

	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, text, &sin.sin_addr);
	return sin;
}

/*
 * Puts an address into a group.  Called before any traffic.
 */
void
rule_group(const char *addr, const char *name)
{
	struct member *m = &members[member_count];

	if (member_count == GROUPS_MAX)
		return;
	inet_pton(AF_INET, addr, &m->addr);
	snprintf(m->name, sizeof(m->name), "%s", name);
	member_count++;
}

/*
 * Tells whether an address is meant by the name in a rule.
 */
static bool
matches(const char *name, uint32_t addr)
{
	char text[INET_ADDRSTRLEN];
	struct in_addr in = { addr };
	size_t i;

	if (strcmp(name, "*") == 0)
		return true;
	if (inet_ntop(AF_INET, &in, text, sizeof(text)) != NULL &&
	    strcmp(text, name) == 0)
		return true;
	for (i = 0; i < member_count; i++)
		if (members[i].addr == addr &&
		    strcmp(members[i].name, name) == 0)
			return true;
	return false;
}

/*
 * Finds the latest rule for a way, or NULL.  The lock is held.
 */
static struct rule *
find(uint32_t from, uint32_t to)
{
	size_t i;

	for (i = rule_count; i > 0; i--)
		if (matches(rules[i - 1].from, from) &&
		    matches(rules[i - 1].to, to))
			return &rules[i - 1];
	return NULL;
}

/*
 * Adds a rule, in place of an older one with the same ends.  An object
 * without "from" lifts all rules.
 */
void
rule_set(const json_t *j)
{
	const char *from = json_string_value(json_object_get(j, "from"));
	const char *to = json_string_value(json_object_get(j, "to"));
	struct rule r;
	size_t i, n = 0;

	memset(&r, 0, sizeof(r));
	pthread_mutex_lock(&lock);
	if (from == NULL || to == NULL) {
		rule_count = 0;
		pthread_cond_broadcast(&changed);
		pthread_mutex_unlock(&lock);
		return;
	}
	snprintf(r.from, sizeof(r.from), "%s", from);
	snprintf(r.to, sizeof(r.to), "%s", to);
	standin_take_int(j, "delay_us", &r.delay_us);
	standin_take_int(j, "cut", &r.cut);
	standin_take_int(j, "reset", &r.reset);
	standin_take_int(j, "cut_after", &r.cut_after);
	standin_take_int(j, "garbage", &r.garbage);
	standin_take_int(j, "lose_answer", &r.lose_answer);
	standin_take_int(j, "loss", &r.loss);
	standin_take_int(j, "twice", &r.twice);
	for (i = 0; i < rule_count; i++)
		if (strcmp(rules[i].from, r.from) != 0 ||
		    strcmp(rules[i].to, r.to) != 0)
			rules[n++] = rules[i];
	if (n < RULES_MAX)
		rules[n++] = r;
	rule_count = n;
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}

/*
 * Returns the rule in force for a way.
 */
struct rule
rule_get(uint32_t from, uint32_t to)
{
	struct rule r, *found;

	memset(&r, 0, sizeof(r));
	pthread_mutex_lock(&lock);
	if ((found = find(from, to)) != NULL)
		r = *found;
	pthread_mutex_unlock(&lock);
	return r;
}

/*
 * Takes one of the answers that are to be lost on a way, if any is left.
 */
bool
rule_lose_answer(uint32_t from, uint32_t to)
{
	struct rule *r;
	bool lose;

	pthread_mutex_lock(&lock);
	r = find(from, to);
	lose = r != NULL && r->lose_answer > 0;
	if (lose)
		r->lose_answer--;
	pthread_mutex_unlock(&lock);
	return lose;
}

/*
 * Waits while a way is cut.
 */
void
rule_hold(uint32_t from, uint32_t to)
{
	struct rule *r;

	pthread_mutex_lock(&lock);
	while ((r = find(from, to)) != NULL && r->cut)
		pthread_cond_wait(&changed, &lock);
	pthread_mutex_unlock(&lock);
}
