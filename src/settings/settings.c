#include <getopt.h>
#include <netinet/in.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "settings/settings.h"
#include "settings/table.h"

#define ENV_PREFIX "CYCLAMENVALE_"
#define SECRET_VAL 255 /* getopt value of a secret given as a flag */
#define MODE_VAL 256   /* getopt value of the first mode flag */
#define ROW_VAL 512    /* getopt value of the first row */
#define PLACE_BYTES 64

/* A value as given, and whether it came from a flag. */
struct given {
	const char *text;
	int from_flag;
};

enum msg {
	MSG_UNKNOWN_FLAG,
	MSG_NO_ARGUMENT,
	MSG_OPERAND,
	MSG_SECRET_FLAG,
	MSG_UNKNOWN_ENV,
	MSG_BAD_VALUE,
	MSG_REQUIRED,
	MSG_SECRET_FILE,
	MSG_NO_SECRET,
	MSG_SAME_PORT,
	MSG_ANY_ADDRESS,
	MSG_STALE_POLL,
	MSG_MAX
};

static void options_fill(struct option *);
static void word_find(struct finds *, enum msg, const char *);
static void flags_read(
    struct settings *, int, char **, struct given *, struct finds *);
static void env_read(char *const *, struct given *, struct finds *);
static int env_match(const char *, const struct row *, const char **);
static void given_read(struct settings *, const struct given *, struct finds *);
static void value_read(struct settings *, const struct row *, const char *,
    const char *, struct finds *);
static void secret_file_read(struct settings *, struct finds *);
static void defaults_fill(struct settings *);
static void check_together(const struct settings *, struct finds *);
static void check_address(const struct settings *, struct finds *);
static void check_ports(const struct settings *, struct finds *);

static const struct find_msg msgs[MSG_MAX] = {
	[MSG_UNKNOWN_FLAG] = { FIND_ERROR, "unknown flag" },
	[MSG_NO_ARGUMENT] = { FIND_ERROR, "flag needs a value" },
	[MSG_OPERAND] = { FIND_ERROR, "unexpected operand" },
	[MSG_SECRET_FLAG] = { FIND_ERROR,
	    "a secret on the command line can be read by others" },
	[MSG_UNKNOWN_ENV] = { FIND_WARNING, "unknown variable is ignored" },
	[MSG_BAD_VALUE] = { FIND_ERROR, "bad value" },
	[MSG_REQUIRED] = { FIND_ERROR, "required setting is missing" },
	[MSG_SECRET_FILE] = { FIND_ERROR, "can't read the secret" },
	[MSG_NO_SECRET] = { FIND_ERROR,
	    "no secret; set this variable or --secret-file" },
	[MSG_SAME_PORT] = { FIND_ERROR, "port is used twice" },
	[MSG_ANY_ADDRESS] = { FIND_ERROR, "not the address of one instance" },
	[MSG_STALE_POLL] = { FIND_ERROR,
	    "must be at least twice --log-poll-ms" },
};

static const char *const mode_flags[SETTINGS_MODE_MAX] = {
	[SETTINGS_CHECK] = "check-settings",
	[SETTINGS_HELP] = "help",
	[SETTINGS_VERSION] = "version",
};

/* TCP ports, which must differ. */
static const struct {
	const char *place;
	size_t offset;
} tcp_ports[] = {
	{ "--caller-port", offsetof(struct settings, caller_port) },
	{ "--inner-port", offsetof(struct settings, inner_port) },
	{ "--peer-port", offsetof(struct settings, peer_port) },
	{ "--operator-port", offsetof(struct settings, operator_port) },
};

#define TCP_PORTS (sizeof(tcp_ports) / sizeof(tcp_ports[0]))

/*
 * Prepares empty settings.
 */
void
settings_init(struct settings *s)
{
	memset(s, 0, sizeof(*s));
	s->address = INADDR_NONE;
	s->advertise_address = INADDR_NONE;
}

/*
 * Erases the settings, the secret among them.
 */
void
settings_finish(struct settings *s)
{
	sodium_memzero(s, sizeof(*s));
}

/*
 * Reads the settings from flags, then from environment variables, then from
 * defaults, and checks them all.  Every finding is collected with the flag
 * or variable it concerns.  Returns 0, or -1 if there are errors.  With
 * --help or --version only the flags are read.
 */
int
settings_parse(struct settings *s, int argc, char **argv, char *const *envp,
    struct finds *fs)
{
	struct given given[SETTINGS_ROWS];

	memset(given, 0, sizeof(given));
	flags_read(s, argc, argv, given, fs);
	if (s->mode != SETTINGS_HELP && s->mode != SETTINGS_VERSION) {
		env_read(envp, given, fs);
		given_read(s, given, fs);
		secret_file_read(s, fs);
		defaults_fill(s);
		check_together(s, fs);
	}
	return fs->errors > 0 ? -1 : 0;
}

/*
 * Tells whether a policy is in use.
 */
int
settings_policy_on(const struct settings *s, enum policy p)
{
	return (s->policies_off & 1U << p) == 0;
}

/*
 * Fills in getopt's table: rows, modes, and the secret, which is there to be
 * refused (it would pass for an abbreviation of --secret-file otherwise).
 */
static void
options_fill(struct option *opts)
{
	const struct row *r;
	size_t n = 0, i;

	for (i = 0; i < SETTINGS_ROWS; i++) {
		r = &settings_rows[i];
		opts[n].name = r->flag != NULL ? r->flag : r->name;
		opts[n].has_arg = required_argument;
		opts[n++].val = r->flag != NULL ? ROW_VAL + (int)i : SECRET_VAL;
	}
	for (i = SETTINGS_CHECK; i < SETTINGS_MODE_MAX; i++) {
		opts[n].name = mode_flags[i];
		opts[n++].val = MODE_VAL + (int)i;
	}
}

/*
 * Adds a finding about a word of the command line, without what follows an
 * equals sign, as this may be a secret.
 */
static void
word_find(struct finds *fs, enum msg m, const char *word)
{
	char place[PLACE_BYTES];

	snprintf(place, sizeof(place), "%.*s", (int)strcspn(word, "="), word);
	finds_add(fs, &msgs[m], place, "see --help");
}

/*
 * Collects the values given by flags; a repeated flag's last value counts.
 */
static void
flags_read(struct settings *s, int argc, char **argv, struct given *given,
    struct finds *fs)
{
	struct option opts[SETTINGS_ROWS + SETTINGS_MODE_MAX];
	int c;

	memset(opts, 0, sizeof(opts));
	options_fill(opts);
	optind = 0;
	opterr = 0;
	while ((c = getopt_long(argc, argv, ":", opts, NULL)) != -1) {
		if (c >= ROW_VAL) {
			given[c - ROW_VAL].text = optarg;
			given[c - ROW_VAL].from_flag = 1;
		} else if (c >= MODE_VAL)
			s->mode = (enum settings_mode)(c - MODE_VAL);
		else if (c == SECRET_VAL)
			word_find(fs, MSG_SECRET_FLAG, "--secret");
		else
			word_find(fs,
			    c == ':' ? MSG_NO_ARGUMENT : MSG_UNKNOWN_FLAG,
			    argv[optind - 1]);
	}
	for (; optind < argc; optind++)
		word_find(fs, MSG_OPERAND, argv[optind]);
}

/*
 * Tells whether an environment entry sets the row's variable, and where its
 * value begins.
 */
static int
env_match(const char *entry, const struct row *r, const char **val)
{
	size_t n = strlen(r->env);

	if (strncmp(entry, r->env, n) != 0 || entry[n] != '=')
		return 0;
	*val = entry + n + 1;
	return 1;
}

/*
 * Collects the values given by environment variables where no flag gave one.
 * An empty variable counts as unset.
 */
static void
env_read(char *const *envp, struct given *given, struct finds *fs)
{
	char place[PLACE_BYTES];
	const char *val = NULL;
	size_t i;

	for (; envp != NULL && *envp != NULL; envp++) {
		if (strncmp(*envp, ENV_PREFIX, strlen(ENV_PREFIX)) != 0)
			continue;
		for (i = 0; i < SETTINGS_ROWS; i++)
			if (env_match(*envp, &settings_rows[i], &val))
				break;
		if (i == SETTINGS_ROWS) {
			snprintf(place, sizeof(place), "%.*s",
			    (int)strcspn(*envp, "="), *envp);
			finds_add(fs, &msgs[MSG_UNKNOWN_ENV], place, "%s", "");
		} else if (given[i].text == NULL && *val != '\0')
			given[i].text = val;
	}
}

/*
 * Reads the given values and, where there is none, the defaults.
 */
static void
given_read(struct settings *s, const struct given *given, struct finds *fs)
{
	const struct row *r;
	char place[PLACE_BYTES];
	int secret = 0;
	size_t i;

	for (i = 0; i < SETTINGS_ROWS; i++) {
		r = &settings_rows[i];
		if (given[i].from_flag || (given[i].text == NULL && r->flag))
			snprintf(place, sizeof(place), "--%s", r->flag);
		else
			snprintf(place, sizeof(place), "%s", r->env);
		if (given[i].text != NULL)
			value_read(s, r, given[i].text, place, fs);
		else if (r->def != NULL)
			value_read(s, r, r->def, place, fs);
		else if (r->required)
			finds_add(fs, &msgs[MSG_REQUIRED], place, "or set %s",
			    r->env);
		if (r->kind == KIND_SECRET || r->kind == KIND_PATH)
			secret = secret || given[i].text != NULL;
	}
	if (!secret)
		finds_add(
		    fs, &msgs[MSG_NO_SECRET], "CYCLAMENVALE_SECRET", "%s", "");
}

/*
 * Reads one value into its field, or adds a finding.
 */
static void
value_read(struct settings *s, const struct row *r, const char *text,
    const char *place, struct finds *fs)
{
	const struct kind_ops *ops = settings_kind(r->kind);
	char why[SETTINGS_WHY_BYTES];

	if (ops->read(r, text, (char *)s + r->offset, why, sizeof(why)) == -1)
		finds_add(fs, &msgs[MSG_BAD_VALUE], place, "%s", why);
}

/*
 * Reads the secret from its file, without the newline at its end, unless the
 * environment gave one.
 */
static void
secret_file_read(struct settings *s, struct finds *fs)
{
	char buf[SETTINGS_SECRET_MAX + 2], why[SETTINGS_WHY_BYTES];
	size_t n;
	FILE *f;

	if (s->secret.len > 0 || s->secret_file[0] == '\0')
		return;
	f = fopen(s->secret_file, "r");
	if (f == NULL) {
		finds_add(fs, &msgs[MSG_SECRET_FILE], "--secret-file", "%s: %m",
		    s->secret_file);
		return;
	}
	n = fread(buf, 1, sizeof(buf), f);
	fclose(f);
	if (n > 0 && buf[n - 1] == '\n')
		n--;
	if (settings_secret_set(buf, n, &s->secret, why, sizeof(why)) == -1)
		finds_add(fs, &msgs[MSG_BAD_VALUE], "--secret-file", "%s", why);
	sodium_memzero(buf, sizeof(buf));
}

/*
 * Fills in the advertised address and ports from the node's own.
 */
static void
defaults_fill(struct settings *s)
{
	if (s->advertise_address == INADDR_NONE)
		s->advertise_address = s->address;
	if (s->advertise_peer_port == 0)
		s->advertise_peer_port = s->peer_port;
	if (s->advertise_rpc_port == 0)
		s->advertise_rpc_port = s->rpc_port;
}

/*
 * Adds a finding for each TCP port that an earlier one uses already.
 */
static void
check_ports(const struct settings *s, struct finds *fs)
{
	uint32_t ports[TCP_PORTS];
	size_t i, j;

	for (i = 0; i < TCP_PORTS; i++) {
		ports[i] =
		    *(const uint32_t *)((const char *)s + tcp_ports[i].offset);
		for (j = 0; j < i; j++)
			if (ports[i] == ports[j] && ports[i] != 0)
				finds_add(fs, &msgs[MSG_SAME_PORT],
				    tcp_ports[i].place, "%u, as %s", ports[i],
				    tcp_ports[j].place);
	}
}

/*
 * Adds a finding if other nodes couldn't reach the advertised address.
 */
static void
check_address(const struct settings *s, struct finds *fs)
{
	uint32_t a = s->advertise_address;

	if (a == INADDR_NONE)
		return;
	if (IN_MULTICAST(a) || IN_BADCLASS(a) || a == INADDR_ANY)
		finds_add(fs, &msgs[MSG_ANY_ADDRESS], "--advertise-address",
		    "or give --address as one");
}

/*
 * Checks what concerns several settings at once.
 */
static void
check_together(const struct settings *s, struct finds *fs)
{
	check_ports(s, fs);
	check_address(s, fs);
	if (s->config_stale_ms != 0 && s->config_stale_ms < 2 * s->log_poll_ms)
		finds_add(fs, &msgs[MSG_STALE_POLL], "--config-stale-ms",
		    "%u < 2 x %u", s->config_stale_ms, s->log_poll_ms);
}
