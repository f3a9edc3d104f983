#include <string.h>

#include "quarantine/quarantine_core.h"

/*
 * Crash reports by fingerprint.  A report is a pair of a fingerprint and a
 * crash id.  Adding a report is idempotent, and a clearance overrides the
 * report of the same crash in whichever order they arrive.  Nodes that merge
 * each other's messages therefore reach the same state.
 */

#define REFUSAL_REPORTS 2
#define REFUSAL_REPORTS_AFTER_SUCCESS 3 /* with a recent successful run */

static struct quarantine_suspect *find_suspect(
    const struct quarantine_table *, const struct quarantine_fingerprint *);
static struct quarantine_suspect *allocate_suspect(
    struct quarantine_table *, const struct quarantine_fingerprint *, uint64_t);
static struct quarantine_report *find_report_slot(
    struct quarantine_suspect *, uint64_t, uint64_t);
static int is_active(const struct quarantine_report *, uint64_t);
static uint64_t count_active(const struct quarantine_suspect *, uint64_t);

/*
 * Adds a crash report, or a clearance, for a crash at crashed_ms.  Returns 1
 * if it changed the table, else 0.
 */
int
table_add_report(struct quarantine_table *t,
    const struct quarantine_fingerprint *p, uint64_t crash_id, int cleared,
    uint64_t crashed_ms, uint64_t now_ms)
{
	struct quarantine_suspect *s = find_suspect(t, p);
	struct quarantine_report *report;

	if (crash_id == 0 || now_ms >= crashed_ms + QUARANTINE_REPORT_TTL_MS)
		return 0;
	if (s == NULL)
		s = allocate_suspect(t, p, now_ms);
	s->changed_ms = now_ms;
	report = find_report_slot(s, crash_id, now_ms);
	if (report->crash_id == crash_id && (report->cleared || !cleared))
		return 0;
	if (report->crash_id != crash_id)
		report->crashed_ms = crashed_ms;
	report->crash_id = crash_id;
	report->cleared = cleared;
	return 1;
}

/*
 * Records that a request ran without a crash, which clears it of all crashes
 * known so far.  Writes the crash ids that it was not cleared of before into
 * crash_ids, which has room for QUARANTINE_CRASHES_MAX, and returns their
 * number.
 */
size_t
table_record_success(struct quarantine_table *t,
    const struct quarantine_fingerprint *p, uint64_t now_ms,
    uint64_t *crash_ids)
{
	struct quarantine_success *success =
	    &t->successes[p->hi % QUARANTINE_SUCCESSES_MAX];
	struct quarantine_suspect *s;
	size_t i, n = 0;

	success->lo = p->lo;
	success->succeeded_ms = now_ms;
	if (t->suspects == 0)
		return 0;
	s = find_suspect(t, p);
	if (s == NULL)
		return 0;
	for (i = 0; i < QUARANTINE_CRASHES_MAX; i++) {
		if (!is_active(&s->reports[i], now_ms))
			continue;
		s->reports[i].cleared = 1;
		crash_ids[n++] = s->reports[i].crash_id;
	}
	return n;
}

/*
 * Returns how a request with this fingerprint has to be treated now.
 */
enum quarantine_state
table_get_state(const struct quarantine_table *t,
    const struct quarantine_fingerprint *p, uint64_t now_ms)
{
	const struct quarantine_suspect *s;
	int has_success;
	uint64_t n;

	if (t->suspects == 0)
		return QUARANTINE_UNRESTRICTED;
	s = find_suspect(t, p);
	if (s == NULL)
		return QUARANTINE_UNRESTRICTED;
	n = count_active(s, now_ms);
	has_success = table_has_success(t, p, now_ms);
	if (n >=
	    (has_success ? REFUSAL_REPORTS_AFTER_SUCCESS : REFUSAL_REPORTS))
		return QUARANTINE_REFUSED;
	return n > 0 && !has_success ? QUARANTINE_SUSPECT
				     : QUARANTINE_UNRESTRICTED;
}

/*
 * Returns whether a request with this fingerprint ran without a crash here
 * within the last QUARANTINE_REPORT_TTL_MS.  A request that crashes its
 * server never does.
 */
int
table_has_success(const struct quarantine_table *t,
    const struct quarantine_fingerprint *p, uint64_t now_ms)
{
	const struct quarantine_success *success =
	    &t->successes[p->hi % QUARANTINE_SUCCESSES_MAX];

	return success->lo == p->lo && success->succeeded_ms != 0 &&
	       now_ms < success->succeeded_ms + QUARANTINE_REPORT_TTL_MS;
}

/*
 * Returns the suspect with this fingerprint, or NULL.
 */
static struct quarantine_suspect *
find_suspect(
    const struct quarantine_table *t, const struct quarantine_fingerprint *p)
{
	const struct quarantine_suspect *set = t->sets[p->lo % QUARANTINE_SETS];
	size_t i;

	for (i = 0; i < QUARANTINE_WAYS; i++) {
		if (set[i].changed_ms != 0 && set[i].fingerprint.lo == p->lo &&
		    set[i].fingerprint.hi == p->hi)
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
allocate_suspect(struct quarantine_table *t,
    const struct quarantine_fingerprint *p, uint64_t now_ms)
{
	struct quarantine_suspect *set = t->sets[p->lo % QUARANTINE_SETS];
	struct quarantine_suspect *s = &set[0];
	uint64_t fewest = UINT64_MAX, n;
	size_t i;

	for (i = 0; i < QUARANTINE_WAYS; i++) {
		n = set[i].changed_ms == 0 ? 0
					   : 1 + count_active(&set[i], now_ms);
		if (n < fewest ||
		    (n == fewest && set[i].changed_ms < s->changed_ms)) {
			fewest = n;
			s = &set[i];
		}
	}
	t->suspects += s->changed_ms == 0;
	memset(s, 0, sizeof(*s));
	s->fingerprint = *p;
	return s;
}

/*
 * Returns the slot of the report of this crash, or the one to store it in: a
 * free slot, that of an inactive report, or that of the oldest report.
 */
static struct quarantine_report *
find_report_slot(
    struct quarantine_suspect *s, uint64_t crash_id, uint64_t now_ms)
{
	struct quarantine_report *best = &s->reports[0], *report;
	size_t i;

	for (i = 0; i < QUARANTINE_CRASHES_MAX; i++) {
		if (s->reports[i].crash_id == crash_id)
			return &s->reports[i];
	}
	for (i = 1; i < QUARANTINE_CRASHES_MAX; i++) {
		report = &s->reports[i];
		if (!is_active(report, now_ms) != !is_active(best, now_ms)
			? !is_active(report, now_ms)
			: report->crashed_ms < best->crashed_ms)
			best = report;
	}
	return best;
}

/*
 * Returns whether a report is neither cleared nor expired.
 */
static int
is_active(const struct quarantine_report *report, uint64_t now_ms)
{
	return report->crash_id != 0 && !report->cleared &&
	       now_ms < report->crashed_ms + QUARANTINE_REPORT_TTL_MS;
}

/*
 * Returns the number of active reports of a suspect.
 */
static uint64_t
count_active(const struct quarantine_suspect *s, uint64_t now_ms)
{
	uint64_t n = 0;
	size_t i;

	for (i = 0; i < QUARANTINE_CRASHES_MAX; i++)
		n += (uint64_t)is_active(&s->reports[i], now_ms);
	return n;
}
