#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "options/options_int.h"

#define NAME_BYTES 32
#define VALUE_BYTES 256
#define PLACE_BYTES (OPTIONS_PATH_BYTES + NAME_BYTES + 16)
#define END_LINE "end"
#define BLANKS " \t\r"

/* A file as far as it is read. */
struct reader {
	struct node_options *opts;
	struct node_options ignored; /* values given elsewhere */
	const int *seen;	     /* by setting: given elsewhere */
	int in_file[SETTING_COUNT];
	int ended;
	unsigned int line;
	struct finds *finds;
};

static void add_finding(struct reader *, enum settings_msg, const char *);
static void read_line(struct reader *, char *);
static void read_setting(struct reader *, const char *, const char *);

/*
 * Adds a finding at the present line.
 */
static void
add_finding(struct reader *r, enum settings_msg msg, const char *detail)
{
	char place[PLACE_BYTES];

	snprintf(place, sizeof(place), "%s:%u", r->opts->path, r->line);
	finds_add(r->finds, &options_msgs[msg], place, "%s", detail);
}

/*
 * Reads a setting.  The value of one that is given elsewhere is only checked.
 */
static void
read_setting(struct reader *r, const char *name, const char *value)
{
	char place[PLACE_BYTES];
	size_t n;

	for (n = 0; n < SETTING_COUNT; n++)
		if (strcmp(options_settings[n].name, name) == 0)
			break;
	if (n == SETTING_COUNT || r->in_file[n]) {
		add_finding(
		    r, n == SETTING_COUNT ? MSG_SETTING : MSG_TWICE, name);
		return;
	}
	r->in_file[n] = 1;
	snprintf(
	    place, sizeof(place), "%s:%u: %s", r->opts->path, r->line, name);
	options_read_value(r->seen[n] ? &r->ignored : r->opts,
	    &options_settings[n], value, place, r->finds);
}

/*
 * Reads a line: a setting, a comment after '#', or the end.
 */
static void
read_line(struct reader *r, char *line)
{
	char *name = line + strspn(line, BLANKS), *value, *end;

	end = name + strlen(name);
	while (end > name && strchr(BLANKS, end[-1]) != NULL)
		*--end = '\0';
	if (name[0] == '\0' || name[0] == '#')
		return;
	if (r->ended) {
		add_finding(r, MSG_AFTER_END, "");
		return;
	}
	if (strcmp(name, END_LINE) == 0) {
		r->ended = 1;
		return;
	}
	value = strchr(name, '=');
	if (value == NULL || value == name) {
		add_finding(r, MSG_LINE, "");
		return;
	}
	for (end = value; end > name && strchr(BLANKS, end[-1]) != NULL; end--)
		;
	value++;
	value += strspn(value, BLANKS);
	*end = '\0';
	if (value[0] == '\0' || strlen(name) >= NAME_BYTES)
		add_finding(r, MSG_LINE, "");
	else
		read_setting(r, name, value);
}

/*
 * Reads the text of a settings file.  Its last line must be "end", so that a
 * file of which only a part is written isn't taken for a whole one.  seen says
 * which settings are given elsewhere, and gets those of the file.
 */
void
options_read_text(struct node_options *opts, const char *text, size_t len,
    int *seen, struct finds *finds)
{
	static struct reader r;
	char line[NAME_BYTES + VALUE_BYTES];
	const char *newline;
	size_t at, n;

	memset(&r, 0, sizeof(r));
	r.opts = opts;
	r.seen = seen;
	r.finds = finds;
	for (at = 0; at < len; at += n + 1) {
		r.line++;
		newline = memchr(text + at, '\n', len - at);
		n = newline != NULL ? (size_t)(newline - text) - at : len - at;
		if (memchr(text + at, '\0', n) != NULL) {
			add_finding(&r, MSG_TEXT, "");
		} else if (n >= sizeof(line)) {
			add_finding(&r, MSG_LINE, "");
		} else if (newline == NULL) {
			break;
		} else {
			memcpy(line, text + at, n);
			line[n] = '\0';
			read_line(&r, line);
		}
	}
	if (!r.ended)
		add_finding(&r, MSG_NO_END, "");
	for (n = 0; n < SETTING_COUNT; n++)
		seen[n] |= r.in_file[n];
	opts->file_digest = XXH3_64bits(text, len);
}

/*
 * Reads the settings file.
 */
void
options_read_file(struct node_options *opts, int *seen, struct finds *finds)
{
	static char text[OPTIONS_FILE_BYTES_MAX + 1];
	FILE *f = fopen(opts->path, "re");
	size_t n = 0;
	int failed = f == NULL;

	if (f != NULL) {
		n = fread(text, 1, sizeof(text), f);
		failed = ferror(f);
		fclose(f);
	}
	if (failed || n == sizeof(text))
		finds_add(finds, &options_msgs[MSG_FILE], opts->path, "%s",
		    failed ? strerror(errno) : "too long");
	else
		options_read_text(opts, text, n, seen, finds);
}
