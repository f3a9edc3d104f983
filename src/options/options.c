#include <arpa/inet.h>
#include <ctype.h>
#include <getopt.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/duration.h"
#include "options/options.h"

#define FRESH_SHARE 0.85   /* of the time after which a withdrawn key is dead */
#define LEAVE_MS 2600	   /* two questions for readiness, and some slack */
#define END_MARGIN_MS 1000 /* before SIGKILL, for a machine that is slowed */
#define LAST_RUN_MS 1500   /* nearly all requests take less (p99 1.4 s) */
#define MEGABYTE (1ULL << 20)
#define VARIABLE "CYCLAMENVALE_NODE_" /* then the option in capitals */
#define VARIABLE_BYTES 64

enum setting_kind {
	KIND_NAME,
	KIND_ADDRESS,
	KIND_IP,
	KIND_KEY,
	KIND_PORT, /* on the address of the exit */
	KIND_TIME,
	KIND_NUMBER, /* with fractions */
	KIND_MEGABYTES,
	KIND_COUNT
};

struct setting {
	const char *name;
	enum setting_kind kind;
	int required;
	size_t at; /* in struct node_options */
	const char *help;
};

enum settings_find {
	FIND_OPTION,
	FIND_VARIABLE,
	FIND_REQUIRED,
	FIND_NAME,
	FIND_ADDRESS,
	FIND_IP,
	FIND_KEY,
	FIND_OTHER_KEY,
	FIND_NUMBER,
	FIND_TIME,
	SETTINGS_FIND_MAX
};

#define AT(field) offsetof(struct node_options, field)

static int read_address(const char *, struct sockaddr_in *);
static void read_value(struct node_options *, const struct setting *,
    const char *, struct finds *);
static void variable_name(const struct setting *, char *);
static void read_variables(
    struct node_options *, char *const *, int *, struct finds *);

static const struct find_msg msgs[SETTINGS_FIND_MAX] = {
	[FIND_OPTION] = { FIND_ERROR, "unknown option" },
	[FIND_VARIABLE] = { FIND_ERROR, "unknown variable" },
	[FIND_REQUIRED] = { FIND_ERROR, "missing option" },
	[FIND_NAME] = { FIND_ERROR, "not a name of 1 to 63 characters" },
	[FIND_ADDRESS] = { FIND_ERROR, "not an IPv4 address and port" },
	[FIND_IP] = { FIND_ERROR, "not an IPv4 address" },
	[FIND_KEY] = { FIND_ERROR, "not a key of 16 to 64 characters" },
	[FIND_OTHER_KEY] = { FIND_ERROR, "needs --fleet-key" },
	[FIND_NUMBER] = { FIND_ERROR, "not a number" },
	[FIND_TIME] = { FIND_ERROR, "not a time in ms or s" },
};

static const struct setting settings[] = {
	{ "node", KIND_NAME, 1, AT(relay.node), "name of this node" },
	{ "zone", KIND_NAME, 1, AT(relay.zone), "failure domain" },
	{ "service", KIND_NAME, 1, AT(relay.service),
	    "service of the server beside this node" },
	{ "entry", KIND_ADDRESS, 1, AT(relay.entry),
	    "where callers beside this node come" },
	{ "exit", KIND_ADDRESS, 1, AT(relay.exit), "where other nodes come" },
	{ "advertise", KIND_IP, 0, AT(relay.advertised),
	    "address told to other nodes, if not that of the exit" },
	{ "server", KIND_ADDRESS, 1, AT(relay.server),
	    "the backend server beside this node" },
	{ "control", KIND_ADDRESS, 1, AT(control),
	    "where the server announces itself" },
	{ "ready", KIND_ADDRESS, 1, AT(ready), "where readiness is asked for" },
	{ "store", KIND_ADDRESS, 1, AT(store), "the platform's store" },
	{ "fleet-port", KIND_PORT, 1, AT(relay.fleet),
	    "port for datagrams between nodes" },
	{ "fleet-key", KIND_KEY, 0, AT(relay.fleet_key),
	    "known to all nodes, which take messages with its seal only" },
	{ "fleet-key-other", KIND_KEY, 0, AT(relay.previous_key),
	    "another one whose seals are taken, too" },
	{ "metrics-port", KIND_PORT, 0, AT(metrics), "port for metrics" },
	{ "revoke", KIND_TIME, 1, AT(relay.fresh_ms),
	    "after which a withdrawn key must not work" },
	{ "grace", KIND_TIME, 1, AT(grace_ms), "from SIGTERM to SIGKILL" },
	{ "quota-overage", KIND_NUMBER, 1, AT(relay.quota_share),
	    "tolerance of limits, as a share" },
	{ "quota-slack", KIND_NUMBER, 1, AT(relay.quota_constant),
	    "and in requests" },
	{ "retry-ratio", KIND_NUMBER, 1, AT(relay.retry_ratio),
	    "extra arrivals at a service to requests for it" },
	{ "retry-slack", KIND_NUMBER, 1, AT(relay.retry_slack),
	    "and more of them, over the whole fleet" },
	{ "memory-mb", KIND_MEGABYTES, 1, AT(relay.memory_bytes),
	    "memory that this process may use" },
	{ "descriptors", KIND_COUNT, 1, AT(relay.descriptors),
	    "descriptors that this process may use" },
};

#define SETTINGS (sizeof(settings) / sizeof(settings[0]))
#define OPT_CHECK ((int)SETTINGS)
#define OPT_QUIET ((int)SETTINGS + 1)
#define OPT_HELP ((int)SETTINGS + 2)

/*
 * Reads an address and port.  Returns 0, or -1.
 */
static int
read_address(const char *text, struct sockaddr_in *sa)
{
	char ip[INET_ADDRSTRLEN];
	const char *colon = strchr(text, ':');
	char *end;
	unsigned long port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(ip))
		return -1;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	port = strtoul(colon + 1, &end, 10);
	if (end == colon + 1 || *end != '\0' || port == 0 || port > 65535)
		return -1;
	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &sa->sin_addr) == 1 ? 0 : -1;
}

/*
 * Reads one setting; what is wrong with it becomes a finding.
 */
static void
read_value(struct node_options *set, const struct setting *s, const char *text,
    struct finds *finds)
{
	char *dst = (char *)set + s->at, *end;
	enum settings_find bad = SETTINGS_FIND_MAX;
	struct sockaddr_in *sa;
	double v = 0;

	if (s->kind >= KIND_NUMBER || s->kind == KIND_PORT) {
		v = strtod(text, &end);
		if (end == text || *end != '\0' || v < 0 || v > 1e9)
			bad = FIND_NUMBER;
	}
	switch (s->kind) {
	case KIND_NAME:
		if (text[0] == '\0' || strlen(text) >= FLEET_NAME_BYTES)
			bad = FIND_NAME;
		else
			snprintf(dst, FLEET_NAME_BYTES, "%s", text);
		break;
	case KIND_ADDRESS:
		if (read_address(text, (struct sockaddr_in *)dst) == -1)
			bad = FIND_ADDRESS;
		break;
	case KIND_IP:
		if (inet_pton(AF_INET, text, dst) != 1)
			bad = FIND_IP;
		break;
	case KIND_KEY:
		if (strlen(text) < SEAL_KEY_MIN ||
		    strlen(text) >= SEAL_KEY_BYTES)
			bad = FIND_KEY;
		else
			snprintf(dst, SEAL_KEY_BYTES, "%s", text);
		text = ""; /* findings are logged; a key must not be */
		break;
	case KIND_PORT:
		if (bad == SETTINGS_FIND_MAX && (v < 1 || v > 65535))
			bad = FIND_NUMBER;
		sa = (struct sockaddr_in *)dst;
		sa->sin_family = AF_INET;
		sa->sin_port = htons((uint16_t)v);
		break;
	case KIND_TIME:
		if (duration_read(text, (uint64_t *)dst) == -1)
			bad = FIND_TIME;
		break;
	case KIND_NUMBER:
		memcpy(dst, &v, sizeof(v));
		break;
	case KIND_MEGABYTES:
		*(uint64_t *)dst = (uint64_t)v * MEGABYTE;
		break;
	case KIND_COUNT:
		*(uint32_t *)dst = (uint32_t)v;
		break;
	}
	if (bad != SETTINGS_FIND_MAX)
		finds_add(finds, &msgs[bad], s->name, "%s", text);
}

/*
 * Writes the name of a setting's variable into VARIABLE_BYTES.
 */
static void
variable_name(const struct setting *s, char *name)
{
	char *c = name + strlen(VARIABLE);

	snprintf(name, VARIABLE_BYTES, "%s%s", VARIABLE, s->name);
	for (; *c != '\0'; c++)
		*c = *c == '-' ? '_' : (char)toupper((unsigned char)*c);
}

/*
 * Reads the settings that flags don't give from variables of the environment.
 * A variable that belongs to no setting is a finding.
 */
static void
read_variables(
    struct node_options *set, char *const *envp, int *seen, struct finds *finds)
{
	char name[VARIABLE_BYTES];
	const char *value;
	size_t n, len;

	for (; *envp != NULL; envp++) {
		if (strncmp(*envp, VARIABLE, strlen(VARIABLE)) != 0)
			continue;
		len = strcspn(*envp, "=");
		value = (*envp)[len] == '=' ? *envp + len + 1 : "";
		for (n = 0; n < SETTINGS; n++) {
			variable_name(&settings[n], name);
			if (strlen(name) == len &&
			    strncmp(name, *envp, len) == 0)
				break;
		}
		if (n == SETTINGS) {
			finds_add(finds, &msgs[FIND_VARIABLE], *envp, "%s", "");
		} else if (!seen[n]) {
			seen[n] = 1;
			read_value(set, &settings[n], value, finds);
		}
	}
}

/*
 * Reads the command line, then the environment.  Returns 0, or -1 if there
 * are findings, or 1 if only help is asked for.
 */
int
options_read(struct node_options *set, int argc, char **argv, char *const *envp,
    struct finds *finds)
{
	struct option options[SETTINGS + 4];
	int seen[SETTINGS] = { 0 }, i;
	size_t n;

	memset(set, 0, sizeof(*set));
	memset(options, 0, sizeof(options));
	for (n = 0; n < SETTINGS; n++)
		options[n] = (struct option){ settings[n].name,
			required_argument, NULL, (int)n };
	options[n++] =
	    (struct option){ "check-settings", no_argument, NULL, OPT_CHECK };
	options[n++] = (struct option){ "quiet", no_argument, NULL, OPT_QUIET };
	options[n++] = (struct option){ "help", no_argument, NULL, OPT_HELP };
	opterr = 0;
	while ((i = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (i == OPT_CHECK) {
			set->check_only = 1;
		} else if (i == OPT_QUIET) {
			set->quiet = 1;
		} else if (i == OPT_HELP) {
			return 1;
		} else if (i >= 0 && i < (int)SETTINGS) {
			seen[i] = 1;
			read_value(set, &settings[i], optarg, finds);
		} else {
			finds_add(finds, &msgs[FIND_OPTION], argv[optind - 1],
			    "%s", "");
		}
	}
	read_variables(set, envp, seen, finds);
	for (n = 0; n < SETTINGS; n++)
		if (settings[n].required && !seen[n])
			finds_add(finds, &msgs[FIND_REQUIRED], settings[n].name,
			    "%s", settings[n].help);
	if (set->relay.previous_key[0] != '\0' &&
	    set->relay.fleet_key[0] == '\0')
		finds_add(
		    finds, &msgs[FIND_OTHER_KEY], "fleet-key-other", "%s", "");
	set->relay.fleet.sin_addr = set->relay.exit.sin_addr;
	set->metrics.sin_addr = set->relay.exit.sin_addr;
	if (set->relay.advertised.s_addr == 0)
		set->relay.advertised = set->relay.exit.sin_addr;
	set->relay.fresh_ms =
	    (uint64_t)((double)set->relay.fresh_ms * FRESH_SHARE);
	set->relay.accept_calls_ms = LEAVE_MS;
	set->end_ms =
	    set->grace_ms > END_MARGIN_MS ? set->grace_ms - END_MARGIN_MS : 0;
	set->relay.accept_root_ms = set->end_ms > LEAVE_MS + LAST_RUN_MS
					? set->end_ms - LAST_RUN_MS
				    : set->end_ms < LEAVE_MS ? set->end_ms
							     : LEAVE_MS;
	return finds->errors > 0 ? -1 : 0;
}

/*
 * Prints the options.
 */
void
options_usage(void)
{
	size_t n;

	printf("usage: cyclamenvale-node --OPTION=VALUE ...\n");
	for (n = 0; n < SETTINGS; n++)
		printf("  --%-16s %s%s\n", settings[n].name, settings[n].help,
		    settings[n].required ? "" : " (optional)");
	printf("  --check-settings   only check the settings\n"
	       "  --quiet            write no log lines\n"
	       "A setting can also stand in a variable, such as " VARIABLE
	       "FLEET_PORT;\na flag goes before it.\n");
}
