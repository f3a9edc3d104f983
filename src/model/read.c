#include <stdio.h>
#include <string.h>

#include "model/model.h"

/*
 * Reads a load from JSON.  Each fault is a finding with its place.
 */

#define PLACE_BYTES 96
#define PER_THOUSAND 1000.0

enum model_find {
	FIND_TYPE,
	FIND_MISSING,
	FIND_RANGE,
	FIND_UNKNOWN,
	FIND_MANY,
	MODEL_FIND_MAX
};

static const struct find_msg msgs[MODEL_FIND_MAX] = {
	[FIND_TYPE] = { FIND_ERROR, "wrong type" },
	[FIND_MISSING] = { FIND_ERROR, "missing field" },
	[FIND_RANGE] = { FIND_ERROR, "out of range" },
	[FIND_UNKNOWN] = { FIND_ERROR, "unknown name" },
	[FIND_MANY] = { FIND_ERROR, "too many" },
};

static const char *const trouble_names[TROUBLE_MAX] = {
	[TROUBLE_SURGE] = "surge",
	[TROUBLE_SLOW] = "slow",
	[TROUBLE_SHED] = "shed",
	[TROUBLE_DOWN] = "down",
	[TROUBLE_HOT] = "hot",
	[TROUBLE_ABUSE] = "abuse",
};

/* Where a value stands, and where findings go. */
struct at {
	struct finds *finds;
	char place[PLACE_BYTES];
	json_t *object;
};

typedef void (*read_fn)(struct model_load *, struct at *, uint32_t);

static double number(struct at *, const char *, double, double, double);
static int flag(struct at *, const char *, int);
static void text(struct at *, const char *, char *);
static int find_service(const struct model_load *, const char *);
static int find_kind(const struct model_load *, const char *);
static int service_of(const struct model_load *, struct at *);
static uint32_t read_list(struct model_load *, struct finds *, json_t *,
    const char *, uint32_t, read_fn);
static void read_service(struct model_load *, struct at *, uint32_t);
static void read_kind(struct model_load *, struct at *, uint32_t);
static void read_calls(struct model_load *, struct at *, uint32_t);
static void read_space(struct model_load *, struct at *, uint32_t);
static void read_trouble(struct model_load *, struct at *, uint32_t);

/*
 * Reads a number that lies between two others; without it there is a default,
 * or a finding if that is below the range.
 */
static double
number(struct at *a, const char *name, double least, double most, double usual)
{
	json_t *v = json_object_get(a->object, name);
	double n;

	if (v == NULL) {
		if (usual < least)
			finds_add(a->finds, &msgs[FIND_MISSING], a->place, "%s",
			    name);
		return usual < least ? least : usual;
	}
	if (!json_is_number(v)) {
		finds_add(a->finds, &msgs[FIND_TYPE], a->place, "%s", name);
		return least;
	}
	n = json_number_value(v);
	if (n < least || n > most) {
		finds_add(a->finds, &msgs[FIND_RANGE], a->place, "%s", name);
		return least;
	}
	return n;
}

/*
 * Reads a field that is true or false.
 */
static int
flag(struct at *a, const char *name, int usual)
{
	json_t *v = json_object_get(a->object, name);

	if (v == NULL)
		return usual;
	if (!json_is_boolean(v))
		finds_add(a->finds, &msgs[FIND_TYPE], a->place, "%s", name);
	return json_is_true(v);
}

/*
 * Reads a name.
 */
static void
text(struct at *a, const char *name, char *dst)
{
	const char *s = json_string_value(json_object_get(a->object, name));

	if (s == NULL || s[0] == '\0' || strlen(s) >= MODEL_NAME_BYTES)
		finds_add(a->finds,
		    &msgs[s == NULL ? FIND_MISSING : FIND_RANGE], a->place,
		    "%s", name);
	else
		snprintf(dst, MODEL_NAME_BYTES, "%s", s);
}

/*
 * Returns the index of a service, or -1.
 */
static int
find_service(const struct model_load *l, const char *name)
{
	uint32_t i;

	for (i = 0; i < l->service_count; i++)
		if (strcmp(l->services[i].name, name) == 0)
			return (int)i;
	return -1;
}

/*
 * Returns the index of a kind, or -1.
 */
static int
find_kind(const struct model_load *l, const char *name)
{
	uint32_t i;

	for (i = 0; i < l->kind_count; i++)
		if (strcmp(l->kinds[i].name, name) == 0)
			return (int)i;
	return -1;
}

/*
 * Reads the field "service".  Returns its index, 0 with a finding.
 */
static int
service_of(const struct model_load *l, struct at *a)
{
	char name[MODEL_NAME_BYTES] = "";
	int i;

	text(a, "service", name);
	i = find_service(l, name);
	if (i < 0 && name[0] != '\0')
		finds_add(a->finds, &msgs[FIND_UNKNOWN], a->place, "service %s",
		    name);
	return i < 0 ? 0 : i;
}

/*
 * Reads the objects of a list.  Returns their number.
 */
static uint32_t
read_list(struct model_load *l, struct finds *f, json_t *root, const char *name,
    uint32_t most, read_fn read)
{
	json_t *list = json_object_get(root, name), *o;
	struct at a;
	size_t i;

	if (list != NULL && !json_is_array(list))
		finds_add(f, &msgs[FIND_TYPE], "/", "%s", name);
	if (json_array_size(list) > most) {
		finds_add(f, &msgs[FIND_MANY], "/", "%s", name);
		return 0;
	}
	json_array_foreach(list, i, o)
	{
		a.finds = f;
		a.object = o;
		snprintf(a.place, sizeof(a.place), "/%s/%zu", name, i);
		read(l, &a, (uint32_t)i);
	}
	return (uint32_t)json_array_size(list);
}

/*
 * Reads a service.
 */
static void
read_service(struct model_load *l, struct at *a, uint32_t i)
{
	struct model_service *s = &l->services[i];
	json_t *list = json_object_get(a->object, "speeds"), *v;
	size_t j;

	text(a, "name", s->name);
	s->servers = (uint32_t)number(a, "servers", 1, MODEL_NODES, 0);
	s->slots = (uint32_t)number(a, "slots", 1, 100000, 0);
	s->speeds[0] = 1;
	s->speed_count = 1;
	if (json_array_size(list) > MODEL_SPEEDS) {
		finds_add(a->finds, &msgs[FIND_MANY], a->place, "speeds");
		return;
	}
	json_array_foreach(list, j, v)
	{
		if (json_number_value(v) <= 0)
			finds_add(
			    a->finds, &msgs[FIND_RANGE], a->place, "speeds");
		s->speeds[j] = json_number_value(v);
		s->speed_count = (uint32_t)j + 1;
	}
}

/*
 * Reads a kind of request, but for its calls.
 */
static void
read_kind(struct model_load *l, struct at *a, uint32_t i)
{
	struct model_kind *k = &l->kinds[i];

	text(a, "name", k->name);
	k->service = service_of(l, a);
	k->class = (enum admission_class)number(
	    a, "class", 0, ADMISSION_CLASS_MAX - 1, 0);
	k->per_s = number(a, "per_s", 0, 1e6, 0);
	k->work_ms = number(a, "work_ms", 0.01, 1e6, 0);
	k->spread = number(a, "spread", 0, 1, 0.5);
	k->deadline_ms = (uint64_t)number(a, "deadline_ms", 1, 1e6, 0);
	k->target_ms =
	    (uint64_t)number(a, "target_ms", 1, 1e6, (double)k->deadline_ms);
	k->timeout_ms =
	    (uint64_t)number(a, "timeout_ms", 1, 1e6, (double)k->deadline_ms);
	k->worth = number(a, "worth", 0, 1e6, 0);
	k->late_worth = number(a, "late_worth", 0, 1e6, 0);
	k->idempotent = flag(a, "idempotent", 1);
	k->retries = (uint32_t)number(a, "retries", 0, 10, 1);
}

/*
 * Reads what runs of a kind call, once all kinds are known.
 */
static void
read_calls(struct model_load *l, struct at *a, uint32_t i)
{
	struct model_kind *k = &l->kinds[i];
	json_t *list = json_object_get(a->object, "calls"), *o;
	struct at call = *a;
	char name[MODEL_NAME_BYTES];
	size_t j;

	if (json_array_size(list) > MODEL_CALLS) {
		finds_add(a->finds, &msgs[FIND_MANY], a->place, "calls");
		return;
	}
	json_array_foreach(list, j, o)
	{
		call.object = o;
		name[0] = '\0';
		text(&call, "kind", name);
		k->calls[j].kind = find_kind(l, name);
		if (k->calls[j].kind < 0) {
			finds_add(a->finds, &msgs[FIND_UNKNOWN], a->place,
			    "calls: kind %s", name);
			return;
		}
		k->calls[j].times = (uint32_t)number(&call, "times", 1, 64, 1);
		k->calls[j].together = flag(&call, "together", 0);
		k->call_count = (uint32_t)j + 1;
	}
}

/*
 * Reads a workspace.
 */
static void
read_space(struct model_load *l, struct at *a, uint32_t i)
{
	struct model_space *w = &l->spaces[i];

	text(a, "name", w->name);
	w->share = number(a, "share", 0, 1, -1);
	w->rate = number(a, "rate", 0, 1e6, 0);
	w->burst = (uint32_t)number(a, "burst", 0, 1e6, w->rate);
}

/*
 * Reads a trouble.
 */
static void
read_trouble(struct model_load *l, struct at *a, uint32_t i)
{
	struct model_trouble *t = &l->troubles[i];
	char name[MODEL_NAME_BYTES] = "", space[MODEL_NAME_BYTES] = "";
	uint32_t k;

	text(a, "kind", name);
	for (k = 0; k < TROUBLE_MAX; k++)
		if (strcmp(trouble_names[k], name) == 0)
			break;
	if (k == TROUBLE_MAX) {
		finds_add(
		    a->finds, &msgs[FIND_UNKNOWN], a->place, "kind %s", name);
		return;
	}
	t->kind = (enum model_trouble_kind)k;
	t->at_s = number(a, "at_s", 0, MODEL_SECONDS, -1);
	t->for_s = number(a, "for_s", 0, MODEL_SECONDS, -1);
	t->x = number(a, "x", 0, 1000, 1);
	t->share = number(a, "share", 0, 1, 1);
	if (t->kind == TROUBLE_SLOW || t->kind == TROUBLE_SHED ||
	    t->kind == TROUBLE_DOWN)
		t->service = service_of(l, a);
	if (t->kind != TROUBLE_HOT)
		return;
	text(a, "workspace", space);
	for (k = 0; k < l->space_count; k++)
		if (strcmp(l->spaces[k].name, space) == 0)
			break;
	if (k == l->space_count)
		finds_add(a->finds, &msgs[FIND_UNKNOWN], a->place,
		    "workspace %s", space);
	t->space = k < l->space_count ? (int)k : 0;
}

/*
 * Reads a load.  Returns 0, or -1 with findings.
 */
int
model_read(json_t *root, struct model_load *l, struct finds *f)
{
	struct at a = { f, "/", root };
	struct at policies = { f, "/policies",
		json_object_get(root, "policies") };

	memset(l, 0, sizeof(*l));
	if (!json_is_object(root)) {
		finds_add(f, &msgs[FIND_TYPE], "/", "%s", "");
		return -1;
	}
	l->seconds = number(&a, "seconds", 1, MODEL_SECONDS, 30);
	l->beat_ms = (uint64_t)number(&a, "beat_ms", 10, 60000, 250);
	l->hop_us = (uint64_t)(number(&a, "hop_ms", 0, 1000, 1) * PER_THOUSAND);
	l->caller_us =
	    (uint64_t)(number(&a, "caller_ms", 0, 1000, 3) * PER_THOUSAND);
	l->zones = (uint32_t)number(&a, "zones", 1, 16, 3);
	l->retry_ratio = number(&a, "retry_ratio", 0, 1, 0.2);
	l->retry_slack = number(&a, "retry_slack", 0, 1e6, 49);
	l->policies.throttle = flag(&policies, "throttle", 1);
	l->policies.near_first = flag(&policies, "near_first", 1);
	l->policies.retries = flag(&policies, "retries", 1);
	l->policies.chains = flag(&policies, "chains", 1);
	l->policies.limits = flag(&policies, "limits", 1);
	l->service_count =
	    read_list(l, f, root, "services", MODEL_SERVICES, read_service);
	l->kind_count = read_list(l, f, root, "kinds", MODEL_KINDS, read_kind);
	(void)read_list(l, f, root, "kinds", MODEL_KINDS, read_calls);
	l->space_count =
	    read_list(l, f, root, "workspaces", MODEL_SPACES, read_space);
	l->trouble_count =
	    read_list(l, f, root, "troubles", MODEL_TROUBLES, read_trouble);
	if (l->service_count == 0)
		finds_add(f, &msgs[FIND_MISSING], "/", "services");
	if (l->kind_count == 0)
		finds_add(f, &msgs[FIND_MISSING], "/", "kinds");
	return f->errors > 0 ? -1 : 0;
}
