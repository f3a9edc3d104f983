#include <stdio.h>
#include <string.h>

#include "throttle/throttle.h"

#define TARGET 0.88	  /* share of the slots that is to be in use */
#define GAIN_PER_S 0.9	  /* of the cut for each unit above the target */
#define RISE_PER_S 1.6	  /* at most, so that one odd sample does little */
#define FALL_GAIN_PER_S 2.0 /* below the target */
#define FALL_PER_S 1.2
#define CLASS_FLOOR 0.22  /* of a class that is let in whatever happens */
#define REACHES 0.05	  /* calls for each run that count as reaching */
#define CUT_MAX ((1 - CLASS_FLOOR) * THROTTLE_CLASSES)

static double share_below(struct throttle *, int, uint32_t);

/*
 * Prepares a throttle that knows no service.
 */
void
throttle_init(struct throttle *t)
{
	memset(t, 0, sizeof(*t));
}

/*
 * Returns the handle of a service, or -1 if there are too many.
 */
int
throttle_service(struct throttle *t, const char *name)
{
	uint32_t i;

	for (i = 0; i < t->count; i++)
		if (strcmp(t->services[i].name, name) == 0)
			return (int)i;
	if (t->count == THROTTLE_SERVICES)
		return -1;
	memset(&t->services[i], 0, sizeof(t->services[i]));
	snprintf(t->services[i].name, THROTTLE_NAME_BYTES, "%s", name);
	t->count++;
	return (int)i;
}

/*
 * Notes that a run at one service makes so many calls to another.
 */
void
throttle_calls(struct throttle *t, int from, int to, double per_run)
{
	struct throttle_service *s = &t->services[from];
	uint32_t i;

	for (i = 0; i < s->call_count; i++)
		if (s->calls[i].service == to)
			break;
	if (i == THROTTLE_CALLS)
		return;
	if (i == s->call_count)
		s->call_count++;
	s->calls[i].service = to;
	s->calls[i].per_run = per_run;
}

/*
 * Notes how much work arrives at a service, as a share of its slots.
 */
void
throttle_offered(struct throttle *t, int service, double offered)
{
	t->services[service].offered = offered;
	t->services[service].known = 1;
}

/*
 * Adapts the cuts after so many seconds.
 */
void
throttle_step(struct throttle *t, double seconds)
{
	struct throttle_service *s;
	double by;
	uint32_t i;

	for (i = 0; i < t->count; i++) {
		s = &t->services[i];
		by = s->known ? s->offered - TARGET : -1;
		by *= by > 0 ? GAIN_PER_S : FALL_GAIN_PER_S;
		if (by > RISE_PER_S)
			by = RISE_PER_S;
		if (by < -FALL_PER_S)
			by = -FALL_PER_S;
		s->cut += by * seconds;
		if (s->cut < 0)
			s->cut = 0;
		if (s->cut > CUT_MAX)
			s->cut = CUT_MAX;
		s->known = 0;
	}
}

/*
 * Returns which share of a class a cut lets in.  The least important class is
 * cut first, to its floor, then the next one.
 */
double
throttle_class_share(double cut, uint32_t class)
{
	double span = 1 - CLASS_FLOOR, mine;

	mine = cut - span * (THROTTLE_CLASSES - 1 - class);
	if (mine <= 0)
		return 1;
	return mine >= span ? CLASS_FLOOR : 1 - mine;
}

/*
 * Returns the smallest share over a service and all that it calls.
 */
static double
share_below(struct throttle *t, int service, uint32_t class)
{
	struct throttle_service *s = &t->services[service];
	double share, least = throttle_class_share(s->cut, class);
	uint32_t i;

	s->reach_done = t->walk;
	for (i = 0; i < s->call_count; i++) {
		if (s->calls[i].per_run < REACHES ||
		    t->services[s->calls[i].service].reach_done == t->walk)
			continue;
		share = share_below(t, s->calls[i].service, class);
		if (share < least)
			least = share;
	}
	return least;
}

/*
 * Returns which share of a class of root requests to a service is let in.
 */
double
throttle_share(struct throttle *t, int service, uint32_t class)
{
	t->walk++;
	return share_below(t, service, class);
}
