#include <err.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "base/find.h"

static const char *const sev_names[FIND_SEV_MAX] = {
	[FIND_WARNING] = "warning",
	[FIND_ERROR] = "error",
};

/*
 * Prepares an empty collection of findings.
 */
void
finds_init(struct finds *fs)
{
	memset(fs, 0, sizeof(*fs));
}

/*
 * Frees all findings; the collection may be initialised again.
 */
void
finds_finish(struct finds *fs)
{
	size_t i;

	for (i = 0; i < fs->count; i++) {
		free(fs->list[i].place);
		free(fs->list[i].detail);
	}
	free(fs->list);
	memset(fs, 0, sizeof(*fs));
}

/*
 * Adds one finding: its message, the place it was found at and a formatted
 * detail.  Exits the process if memory is exhausted.
 */
void
finds_add(struct finds *fs, const struct find_msg *msg, const char *place,
    const char *fmt, ...)
{
	struct find *f;
	va_list ap;

	if (fs->count == fs->cap) {
		fs->cap = fs->cap == 0 ? 8 : fs->cap * 2;
		fs->list = reallocarray(fs->list, fs->cap, sizeof(*fs->list));
		if (fs->list == NULL)
			err(1, "finds_add");
	}
	f = &fs->list[fs->count++];
	f->sev = msg->sev;
	f->text = msg->text;
	f->place = strdup(place);
	va_start(ap, fmt);
	if (vasprintf(&f->detail, fmt, ap) == -1 || f->place == NULL)
		err(1, "finds_add");
	va_end(ap);
	if (msg->sev == FIND_ERROR)
		fs->errors++;
}

/*
 * Prints every finding on a line of its own, prefixed by the name of the
 * input.  Returns the number of errors among them.
 */
int
finds_print(const struct finds *fs, FILE *out, const char *input)
{
	const struct find *f;
	size_t i;

	for (i = 0; i < fs->count; i++) {
		f = &fs->list[i];
		fprintf(out, "%s: %s: %s: %s%s%s\n", input, f->place,
		    sev_names[f->sev], f->text,
		    f->detail[0] != '\0' ? ": " : "", f->detail);
	}
	return (int)fs->errors;
}
