#include <arpa/inet.h>
#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#include "base/age.h"
#include "member/member_int.h"

#define SLOTS_MAX 100000
#define ANNOUNCE_BYTES_MAX 8192

enum announce_msg {
	MSG_NOT_JSON,
	MSG_NOT_OBJECT,
	MSG_MISSING,
	MSG_TYPE,
	MSG_RANGE,
	MSG_TEXT,
	MSG_ADDRESS,
	MSG_UNKNOWN,
	MSG_MAX
};

enum announce_field {
	FIELD_SERVICE,
	FIELD_PORT,
	FIELD_SLOTS,
	FIELD_CONNECTIONS,
	FIELD_INCARNATION,
	FIELD_ADDRESS,
	FIELD_HEALTH,
	FIELD_LOAD,
	FIELD_MAX
};

struct field_rule {
	const char *name;
	int required;
	json_type type;
	json_int_t min, max; /* bounds of an integer */
	size_t size;	     /* of a string, with the terminator */
};

static void add_finding(
    struct finds *, enum announce_msg, const char *, const char *);
static int is_printable(const char *);
static int check_field(
    const json_t *, const struct field_rule *, struct finds *);
static void check_unknown(json_t *, struct finds *);
static void parse_fields(
    const json_t *, struct member_announce *, struct finds *);

static const struct find_msg finding_msgs[MSG_MAX] = {
	[MSG_NOT_JSON] = { FIND_ERROR, "not JSON" },
	[MSG_NOT_OBJECT] = { FIND_ERROR, "not an object" },
	[MSG_MISSING] = { FIND_ERROR, "missing" },
	[MSG_TYPE] = { FIND_ERROR, "wrong type" },
	[MSG_RANGE] = { FIND_ERROR, "out of range" },
	[MSG_TEXT] = { FIND_ERROR, "empty, too long or not printable" },
	[MSG_ADDRESS] = { FIND_ERROR, "not an IPv4 address" },
	[MSG_UNKNOWN] = { FIND_WARNING, "unknown field" },
};

static const struct field_rule field_rules[FIELD_MAX] = {
	[FIELD_SERVICE] = { "service", 1, JSON_STRING, 0, 0,
	    MEMBER_SERVICE_TEXT },
	[FIELD_PORT] = { "port", 1, JSON_INTEGER, 1, UINT16_MAX, 0 },
	[FIELD_SLOTS] = { "slots", 1, JSON_INTEGER, 1, SLOTS_MAX, 0 },
	[FIELD_CONNECTIONS] = { "connections", 1, JSON_INTEGER, 1, SLOTS_MAX,
	    0 },
	[FIELD_INCARNATION] = { "incarnation", 1, JSON_STRING, 0, 0, 129 },
	[FIELD_ADDRESS] = { "address", 0, JSON_STRING, 0, 0, INET_ADDRSTRLEN },
	[FIELD_HEALTH] = { "health", 0, JSON_STRING, 0, 0, MEMBER_HEALTH_TEXT },
	[FIELD_LOAD] = { "load", 0, JSON_INTEGER, 0, 1000, 0 },
};

/*
 * Adds a finding about a field.
 */
static void
add_finding(struct finds *fs, enum announce_msg msg, const char *field,
    const char *detail)
{
	char place[64];

	g_snprintf(place, sizeof(place), "/%s", field);
	finds_add(fs, &finding_msgs[msg], place, "%s", detail);
}

/*
 * Returns whether a string consists of printable ASCII characters other
 * than the space.
 */
static int
is_printable(const char *s)
{
	for (; *s != '\0'; s++) {
		if (!g_ascii_isgraph(*s))
			return 0;
	}
	return 1;
}

/*
 * Checks one field against its rule.  Returns -1 if it is absent or invalid.
 */
static int
check_field(const json_t *o, const struct field_rule *rule, struct finds *fs)
{
	const json_t *v = json_object_get(o, rule->name);
	const char *s;

	if (v == NULL) {
		if (rule->required)
			add_finding(fs, MSG_MISSING, rule->name, "");
		return -1;
	}
	if (json_typeof(v) != rule->type) {
		add_finding(fs, MSG_TYPE, rule->name, "");
		return -1;
	}
	if (rule->type == JSON_INTEGER &&
	    (json_integer_value(v) < rule->min ||
		json_integer_value(v) > rule->max)) {
		add_finding(fs, MSG_RANGE, rule->name, "");
		return -1;
	}
	if (rule->type != JSON_STRING)
		return 0;
	s = json_string_value(v);
	if (json_string_length(v) != strlen(s) || s[0] == '\0' ||
	    strlen(s) >= rule->size || !is_printable(s)) {
		add_finding(fs, MSG_TEXT, rule->name, "");
		return -1;
	}
	return 0;
}

/*
 * Adds a warning for every field that has no rule.
 */
static void
check_unknown(json_t *o, struct finds *fs)
{
	const char *name;
	json_t *v;
	int i;

	json_object_foreach(o, name, v)
	{
		for (i = 0; i < FIELD_MAX; i++) {
			if (strcmp(field_rules[i].name, name) == 0)
				break;
		}
		if (i == FIELD_MAX)
			add_finding(fs, MSG_UNKNOWN, name, "");
	}
}

/*
 * Checks all fields and stores the valid ones in the announcement.
 */
static void
parse_fields(const json_t *o, struct member_announce *a, struct finds *fs)
{
	const char *strings[FIELD_MAX] = { NULL };
	json_int_t integers[FIELD_MAX] = { 0 };
	struct in_addr in = { 0 };
	const json_t *v;
	int i;

	for (i = 0; i < FIELD_MAX; i++) {
		if (check_field(o, &field_rules[i], fs) == -1)
			continue;
		v = json_object_get(o, field_rules[i].name);
		strings[i] = json_string_value(v);
		integers[i] = json_integer_value(v);
	}
	if (strings[FIELD_ADDRESS] != NULL &&
	    inet_pton(AF_INET, strings[FIELD_ADDRESS], &in) != 1)
		add_finding(fs, MSG_ADDRESS, field_rules[FIELD_ADDRESS].name,
		    strings[FIELD_ADDRESS]);
	a->addr = ntohl(in.s_addr);
	a->port = (uint16_t)integers[FIELD_PORT];
	a->server.slots = (uint32_t)integers[FIELD_SLOTS];
	a->server.connections = (uint32_t)integers[FIELD_CONNECTIONS];
	a->server.load = (uint32_t)integers[FIELD_LOAD];
	if (strings[FIELD_SERVICE] != NULL)
		g_strlcpy(a->server.service, strings[FIELD_SERVICE],
		    MEMBER_SERVICE_TEXT);
	if (strings[FIELD_HEALTH] != NULL)
		g_strlcpy(a->health, strings[FIELD_HEALTH], MEMBER_HEALTH_TEXT);
	if (strings[FIELD_INCARNATION] != NULL)
		a->server.incarnation = XXH3_64bits(strings[FIELD_INCARNATION],
		    strlen(strings[FIELD_INCARNATION]));
}

/*
 * Parses a backend server's announcement and adds all findings.  Returns -1
 * if the findings include an error; the announcement must not be used then.
 * The server's incarnation is the hash of the announced incarnation text.
 */
int
member_announce_parse(
    const char *text, size_t len, struct member_announce *a, struct finds *fs)
{
	json_error_t err;
	json_t *o;

	memset(a, 0, sizeof(*a));
	o = len > ANNOUNCE_BYTES_MAX
		? NULL
		: json_loadb(text, len, JSON_REJECT_DUPLICATES, &err);
	if (len > ANNOUNCE_BYTES_MAX) {
		finds_add(fs, &finding_msgs[MSG_RANGE], "/", "%zu bytes", len);
	} else if (o == NULL) {
		finds_add(fs, &finding_msgs[MSG_NOT_JSON], "/", "line %d: %s",
		    err.line, err.text);
	} else if (!json_is_object(o)) {
		finds_add(fs, &finding_msgs[MSG_NOT_OBJECT], "/", "%s", "");
	} else {
		parse_fields(o, a, fs);
		check_unknown(o, fs);
	}
	json_decref(o);
	a->server.service_hash = member_service_hash(a->server.service);
	a->server.state = MEMBER_SERVER_UP;
	return fs->errors == 0 ? 0 : -1;
}

/*
 * Returns whether an announcement that was last received at last_ms is still
 * valid at now_ms.  0 for last_ms means that none was received.
 */
int
member_announce_live(uint64_t last_ms, uint64_t now_ms)
{
	return last_ms != 0 &&
	       age_at(now_ms, last_ms) < MEMBER_ANNOUNCE_TIMEOUT_MS;
}
