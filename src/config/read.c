#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/internal.h"

const struct find_msg config_msgs[CONFIG_FIND_MAX] = {
	[FIND_JSON] = { FIND_ERROR, "not valid JSON" },
	[FIND_TYPE] = { FIND_ERROR, "wrong type" },
	[FIND_MISSING] = { FIND_ERROR, "missing field" },
	[FIND_UNKNOWN] = { FIND_ERROR, "unknown field" },
	[FIND_RANGE] = { FIND_ERROR, "out of range" },
	[FIND_VALUE] = { FIND_ERROR, "invalid value" },
	[FIND_TWICE] = { FIND_ERROR, "used twice" },
	[FIND_EMPTY] = { FIND_WARNING, "nothing is routed" },
	[FIND_NO_KEYS] = { FIND_WARNING, "workspace has no key" },
	[FIND_RETRY_RISK] = { FIND_WARNING,
	    "only refusals that were not run are retried on this route" },
};

/*
 * Reads an object by a table of its fields, reporting unknown and missing
 * ones.
 */
void
read_fields(struct parse *p, const char *place, json_t *o,
    const struct field *fields, void *dst)
{
	const struct field *f;
	char sub[PLACE_BYTES];
	const char *name;
	json_t *v;

	if (!json_is_object(o)) {
		finds_add(p->finds, &config_msgs[FIND_TYPE],
		    place[0] != '\0' ? place : "/", "not an object");
		return;
	}
	for (f = fields; f->name != NULL; f++) {
		snprintf(sub, sizeof(sub), "%s/%s", place, f->name);
		v = json_object_get(o, f->name);
		if (v != NULL)
			f->read(p, sub, v, dst);
		else if (f->required)
			finds_add(p->finds, &config_msgs[FIND_MISSING], sub,
			    "%s", "");
	}
	json_object_foreach(o, name, v)
	{
		for (f = fields; f->name != NULL; f++)
			if (strcmp(f->name, name) == 0)
				break;
		if (f->name != NULL)
			continue;
		snprintf(sub, sizeof(sub), "%s/%.200s", place, name);
		finds_add(p->finds, &config_msgs[FIND_UNKNOWN], sub, "%s", "");
	}
}

/*
 * Reads a name: 1 to 63 letters, digits, dots, dashes or underscores.
 */
void
read_name(struct parse *p, const char *place, json_t *v, char *dst)
{
	static const char ok[] = "abcdefghijklmnopqrstuvwxyz"
				 "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
	const char *s = json_string_value(v);

	if (s == NULL) {
		finds_add(
		    p->finds, &config_msgs[FIND_TYPE], place, "not a string");
		return;
	}
	if (s[0] == '\0' || strlen(s) > CONFIG_NAME_MAX ||
	    json_string_length(v) != strspn(s, ok)) {
		finds_add(p->finds, &config_msgs[FIND_VALUE], place,
		    "a name is 1 to %d letters, digits, '.', '-' or '_'",
		    CONFIG_NAME_MAX);
		return;
	}
	snprintf(dst, CONFIG_NAME_MAX + 1, "%s", s);
}

/*
 * Reads a whole number within bounds.
 */
void
read_int(struct parse *p, const char *place, json_t *v, uint32_t min,
    uint32_t max, uint32_t *dst)
{
	json_int_t n = json_integer_value(v);

	if (!json_is_integer(v)) {
		finds_add(p->finds, &config_msgs[FIND_TYPE], place,
		    "not a whole number");
		return;
	}
	if (n < (json_int_t)min || n > (json_int_t)max) {
		finds_add(p->finds, &config_msgs[FIND_RANGE], place,
		    "%lld is not within %u to %u", (long long)n, min, max);
		return;
	}
	*dst = (uint32_t)n;
}

/*
 * Reads true or false.
 */
void
read_bool(struct parse *p, const char *place, json_t *v, int *dst)
{
	if (!json_is_boolean(v)) {
		finds_add(p->finds, &config_msgs[FIND_TYPE], place,
		    "not true or false");
		return;
	}
	*dst = json_is_true(v);
}

/*
 * Reads a list of objects into a table, one entry each, which grows by the
 * length of the list.
 */
void
read_list(struct parse *p, const char *place, json_t *v, const struct list *l)
{
	char sub[PLACE_BYTES], *entry;
	json_t *o;
	size_t i;

	if (!json_is_array(v)) {
		finds_add(
		    p->finds, &config_msgs[FIND_TYPE], place, "not a list");
		return;
	}
	*l->table = reallocarray(
	    *l->table, *l->count + json_array_size(v) + 1, l->size);
	if (*l->table == NULL)
		err(1, "read_list");
	json_array_foreach(v, i, o)
	{
		snprintf(sub, sizeof(sub), "%s/%zu", place, i);
		entry = (char *)*l->table + (*l->count)++ * l->size;
		memset(entry, 0, l->size);
		l->read(p, sub, o, entry);
	}
}
