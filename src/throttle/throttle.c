#include <math.h>
#include <stdio.h>
#include <string.h>

#include "throttle/throttle.h"

#define TARGET 0.88	   /* share of the slots that is to be in use */
#define RATE_PER_S 1.0	   /* of the change that would meet the target */
#define CHANGE_PER_S 1.8   /* at most, so that one odd sample does little */
#define MIX_KEEP_PER_S 0.5 /* of what was seen of the classes before */
#define FLOOR_OF_MEAN 0.32 /* a class's least share, of the mean of all */
#define FLOOR_MIN 0.03
#define FLOOR_MAX 0.22
#define REACHES 0.05 /* calls for each run that count as reaching */
#define SLOPE_MIN 0.02

static double slope(struct throttle_service *);
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
	t->services[i].floor = FLOOR_MAX;
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
 * Returns by how much the offered load falls for each unit more of a cut, as
 * far as the classes that were seen tell, and sets the least share of a class
 * by the mean of all: none is to starve beside the others.
 */
static double
slope(struct throttle_service *s)
{
	double seen = 0, passed = 0, span = 1 - s->floor, by;
	uint32_t k, cut_class = 0;

	for (k = 0; k < THROTTLE_CLASSES; k++) {
		seen += s->mix[k];
		passed += s->mix[k] * throttle_class_share(s->cut, k, s->floor);
		if (s->cut <= span * (THROTTLE_CLASSES - k))
			cut_class = k;
	}
	if (passed <= 0 || seen <= 0)
		return 1;
	by = s->offered / passed * s->mix[cut_class] / span;
	s->floor =
	    fmax(FLOOR_MIN, fmin(FLOOR_MAX, FLOOR_OF_MEAN * passed / seen));
	return by;
}

/*
 * Adapts the cuts after so many seconds.
 */
void
throttle_step(struct throttle *t, double seconds)
{
	struct throttle_service *s;
	double by, most = CHANGE_PER_S * seconds;
	uint32_t i, k;

	for (i = 0; i < t->count; i++) {
		s = &t->services[i];
		by = -most;
		if (s->known) {
			by = (s->offered - TARGET) * RATE_PER_S * seconds;
			by /= fmax(slope(s), SLOPE_MIN);
		}
		s->cut += fmax(-most, fmin(most, by));
		s->cut =
		    fmax(0, fmin((1 - s->floor) * THROTTLE_CLASSES, s->cut));
		s->known = 0;
		for (k = 0; k < THROTTLE_CLASSES; k++)
			s->mix[k] *= pow(MIX_KEEP_PER_S, seconds);
	}
}

/*
 * Returns which share of a class a cut lets in.  The least important class is
 * cut first, to its floor, then the next one.
 */
double
throttle_class_share(double cut, uint32_t class, double floor)
{
	double span = 1 - floor, mine;

	mine = cut - span * (THROTTLE_CLASSES - 1 - class);
	if (mine <= 0)
		return 1;
	return mine >= span ? floor : 1 - mine;
}

/*
 * Returns the smallest share over a service and all that it calls, and notes
 * the class there.
 */
static double
share_below(struct throttle *t, int service, uint32_t class)
{
	struct throttle_service *s = &t->services[service];
	double share, least;
	uint32_t i;

	least = throttle_class_share(s->cut, class, s->floor);
	s->reach_done = t->walk;
	s->mix[class]++;
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
