#include <ctype.h>
#include <errno.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "dump/dump.h"

#define HEAD_SECTION "node"
#define LINE_BYTES 1024
#define NUMBER_DIGITS 18 /* that an integer of JSON surely holds */

static json_t *section_open(json_t *, const char *);
static json_t *scalar(const char *);
static void row_add(json_t *, char *);
static void value_add(json_t *, char *);

/*
 * Returns the object of a section, which may be there already.
 */
static json_t *
section_open(json_t *root, const char *name)
{
	json_t *s = json_object_get(root, name);

	if (s == NULL) {
		json_object_set_new(root, name, json_object());
		s = json_object_get(root, name);
	}
	return s;
}

/*
 * Returns a whole number as such and all else as a string.
 */
static json_t *
scalar(const char *s)
{
	size_t n = strspn(s, "0123456789");

	if (n > 0 && n <= NUMBER_DIGITS && s[n] == '\0' &&
	    (s[0] != '0' || n == 1))
		return json_integer(strtoll(s, NULL, 10));
	return json_string(s);
}

/*
 * Adds a line "KIND [NAME] KEY=VALUE ..." to the section's list of its kind.
 */
static void
row_add(json_t *section, char *line)
{
	char *save = NULL, *kind = strtok_r(line, " ", &save), *word, *eq;
	json_t *row = json_object(), *list;

	while ((word = strtok_r(NULL, " ", &save)) != NULL) {
		eq = strchr(word, '=');
		if (eq == NULL) {
			json_object_set_new(row, "name", json_string(word));
			continue;
		}
		*eq = '\0';
		json_object_set_new(row, word, scalar(eq + 1));
	}
	list = json_object_get(section, kind);
	if (!json_is_array(list)) {
		list = json_array();
		json_object_set_new(section, kind, list);
	}
	json_array_append_new(list, row);
}

/*
 * Adds a line "NAME ... VALUE" to the section's object; the words of a
 * longer name are joined.
 */
static void
value_add(json_t *section, char *line)
{
	char *last = strrchr(line, ' '), *p;

	if (last == NULL) {
		json_object_set_new(section, line, json_true());
		return;
	}
	*last = '\0';
	for (p = line; *p != '\0'; p++)
		if (*p == ' ')
			*p = '_';
	json_object_set_new(section, line, scalar(last + 1));
}

/*
 * Turns the text of a dump into JSON, so that both tell the same.  A line
 * "# NAME" begins a section; a line with KEY=VALUE words is an object in its
 * section's list by the first word, any other line a member of the section.
 * Returns text that the caller frees, or NULL if memory is exhausted.
 */
char *
dump_json(const char *text)
{
	json_t *root = json_object();
	json_t *section = section_open(root, HEAD_SECTION);
	char line[LINE_BYTES], *out;
	size_t len, n;

	for (; *text != '\0'; text += len + (text[len] == '\n')) {
		len = strcspn(text, "\n");
		n = len < LINE_BYTES ? len : LINE_BYTES - 1;
		memcpy(line, text, n);
		line[n] = '\0';
		if (strncmp(line, "# ", 2) == 0)
			section = section_open(root, line + 2);
		else if (strchr(line, '=') != NULL)
			row_add(section, line);
		else if (line[0] != '\0')
			value_add(section, line);
	}
	out = json_dumps(root, JSON_INDENT(2));
	json_decref(root);
	return out;
}
