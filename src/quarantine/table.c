#include <string.h>

#include "quarantine/quarantine_core.h"

/*
 * Crash reports by fingerprint.  A report is a pair of a fingerprint and a
 * crash id.  Adding a report is idempotent, and a clearance overrides the
 * report of the same crash in whichever order they arrive.  Nodes that merge
 * each other's messages therefore reach the same state.
 */

#define STRIKES_REFUSE 2
#define STRIKES_REFUSE_PROVEN 3 /* with a recent successful run */

static struct quarantine_suspect *find(
    const struct quarantine_table *, const struct quarantine_print *);
static struct quarantine_suspect *make(
    struct quarantine_table *, const struct quarantine_print *, uint64_t);
static struct quarantine_strike *place_for(
    struct quarantine_suspect *, uint64_t, uint64_t);
static int counts(const struct quarantine_strike *, uint64_t);
static uint64_t weigh(const struct quarantine_suspect *, uint64_t);

/*
 * Adds a crash report, or a clearance, for a crash at at_ms.  Returns 1 if
 * it changed the table, else 0.
 */
int
table_strike(struct quarantine_table *t, const struct quarantine_print *p,
    uint64_t death, int acquitted, uint64_t at_ms, uint64_t now_ms)
{
	struct quarantine_suspect *s = find(t, p);
	struct quarantine_strike *k;

	if (death == 0 || now_ms >= at_ms + QUARANTINE_MS)
		return 0;
	if (s == NULL)
		s = make(t, p, now_ms);
	s->touched_ms = now_ms;
	k = place_for(s, death, now_ms);
	if (k->death == death && (k->acquitted || !acquitted))
		return 0;
	if (k->death != death)
		k->at_ms = at_ms;
	k->death = death;
	k->acquitted = acquitted;
	return 1;
}

/*
 * Records that a request ran without a crash, which clears it of all crashes
 * known so far.  Writes the crash ids that it was not cleared of before into
 * deaths, which has room for QUARANTINE_DEATHS, and returns their number.
 */
size_t
table_succeed(struct quarantine_table *t, const struct quarantine_print *p,
    uint64_t now_ms, uint64_t *deaths)
{
	struct quarantine_proof *proof = &t->proven[p->hi % QUARANTINE_PROVEN];
	struct quarantine_suspect *s;
	size_t i, n = 0;

	proof->lo = p->lo;
	proof->at_ms = now_ms;
	if (t->suspects == 0)
		return 0;
	s = find(t, p);
	if (s == NULL)
		return 0;
	for (i = 0; i < QUARANTINE_DEATHS; i++) {
		if (!counts(&s->strikes[i], now_ms))
			continue;
		s->strikes[i].acquitted = 1;
		deaths[n++] = s->strikes[i].death;
	}
	return n;
}

/*
 * Returns how a request with this fingerprint has to be treated now.
 */
enum quarantine_state
table_state(const struct quarantine_table *t, const struct quarantine_print *p,
    uint64_t now_ms)
{
	const struct quarantine_suspect *s;
	int proven;
	uint64_t n;

	if (t->suspects == 0)
		return QUARANTINE_FREE;
	s = find(t, p);
	if (s == NULL)
		return QUARANTINE_FREE;
	n = weigh(s, now_ms);
	proven = table_proven(t, p, now_ms);
	if (n >= (proven ? STRIKES_REFUSE_PROVEN : STRIKES_REFUSE))
		return QUARANTINE_REFUSED;
	return n > 0 && !proven ? QUARANTINE_STRUCK : QUARANTINE_FREE;
}

/*
 * Returns whether a request with this fingerprint ran without a crash here
 * within the last QUARANTINE_MS.  A request that crashes its server never
 * does.
 */
int
table_proven(const struct quarantine_table *t, const struct quarantine_print *p,
    uint64_t now_ms)
{
	const struct quarantine_proof *proof =
	    &t->proven[p->hi % QUARANTINE_PROVEN];

	return proof->lo == p->lo && proof->at_ms != 0 &&
	       now_ms < proof->at_ms + QUARANTINE_MS;
}

/*
 * Returns the suspect with this fingerprint, or NULL.
 */
static struct quarantine_suspect *
find(const struct quarantine_table *t, const struct quarantine_print *p)
{
	const struct quarantine_suspect *set = t->sets[p->lo % QUARANTINE_SETS];
	size_t i;

	for (i = 0; i < QUARANTINE_WAYS; i++) {
		if (set[i].touched_ms != 0 && set[i].print.lo == p->lo &&
		    set[i].print.hi == p->hi)
			return (struct quarantine_suspect *)&set[i];
	}
	return NULL;
}

/*
 * Allocates a slot for a new suspect.  Takes a free slot, or else replaces
 * the suspect with the fewest active reports; of several, the least recently
 * changed one.
 */
static struct quarantine_suspect *
make(struct quarantine_table *t, const struct quarantine_print *p,
    uint64_t now_ms)
{
	struct quarantine_suspect *set = t->sets[p->lo % QUARANTINE_SETS];
	struct quarantine_suspect *s = &set[0];
	uint64_t least = UINT64_MAX, n;
	size_t i;

	for (i = 0; i < QUARANTINE_WAYS; i++) {
		n = set[i].touched_ms == 0 ? 0 : 1 + weigh(&set[i], now_ms);
		if (n < least ||
		    (n == least && set[i].touched_ms < s->touched_ms)) {
			least = n;
			s = &set[i];
		}
	}
	t->suspects += s->touched_ms == 0;
	memset(s, 0, sizeof(*s));
	s->print = *p;
	return s;
}

/*
 * Returns the slot of the report of this crash, or the one to store it in: a
 * free slot, that of an inactive report, or that of the oldest report.
 */
static struct quarantine_strike *
place_for(struct quarantine_suspect *s, uint64_t death, uint64_t now_ms)
{
	struct quarantine_strike *best = &s->strikes[0], *k;
	size_t i;

	for (i = 0; i < QUARANTINE_DEATHS; i++) {
		if (s->strikes[i].death == death)
			return &s->strikes[i];
	}
	for (i = 1; i < QUARANTINE_DEATHS; i++) {
		k = &s->strikes[i];
		if (!counts(k, now_ms) != !counts(best, now_ms)
			? !counts(k, now_ms)
			: k->at_ms < best->at_ms)
			best = k;
	}
	return best;
}

/*
 * Returns whether a report is neither cleared nor expired.
 */
static int
counts(const struct quarantine_strike *k, uint64_t now_ms)
{
	return k->death != 0 && !k->acquitted &&
	       now_ms < k->at_ms + QUARANTINE_MS;
}

/*
 * Returns the number of active reports of a suspect.
 */
static uint64_t
weigh(const struct quarantine_suspect *s, uint64_t now_ms)
{
	uint64_t n = 0;
	size_t i;

	for (i = 0; i < QUARANTINE_DEATHS; i++)
		n += (uint64_t)counts(&s->strikes[i], now_ms);
	return n;
}
