#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cyclamenvalectl/ctl.h"

#define WORD_BYTES 320

/* A log line about a request or one of its calls. */
struct explain_line {
	char *text;
	uint64_t time_ms;
	size_t order;  /* as read, among lines of one time */
	size_t id_len; /* of its id: calls have longer ones */
	int ends;      /* it ended the request or the call */
};

struct explain {
	const char *id;
	struct explain_line *lines;
	size_t count, cap;
};

static const char *field(const char *, const char *, char *, size_t);
static int is_about(const char *, const char *);
static void line_add(struct explain *, const char *);
static int file_read(struct explain *, const char *);
static int line_cmp(const void *, const void *);
static const struct explain_line *cause(const struct explain *);

/* Events that end a request or a call without the server's success. */
static const char *const ending[] = { "request-refused", "request-failed",
	"server-refusal", "server-failure", "caller-gone", NULL };

/*
 * Copies the value of a field name=value of a line, or returns NULL.
 */
static const char *
field(const char *line, const char *name, char *buf, size_t size)
{
	size_t n = strlen(name), len;
	const char *p;

	for (p = line; (p = strstr(p, name)) != NULL; p += n) {
		if ((p != line && p[-1] != ' ') || p[n] != '=')
			continue;
		p += n + 1;
		len = strcspn(p, " \n");
		if (len >= size)
			len = size - 1;
		memcpy(buf, p, len);
		buf[len] = '\0';
		return buf;
	}
	return NULL;
}

/*
 * Tells whether an id is the one looked for, or of a call that descends from
 * it: the id of a call begins with that of its request and a dot.
 */
static int
is_about(const char *id, const char *wanted)
{
	size_t n = strlen(wanted);

	return strncmp(id, wanted, n) == 0 && (id[n] == '\0' || id[n] == '.');
}

/*
 * Keeps a line if it is about the request.
 */
static void
line_add(struct explain *e, const char *text)
{
	char id[WORD_BYTES], word[WORD_BYTES];
	struct explain_line *l;
	const char *start;
	int i;

	/* What a collector put before the line is left out. */
	start = strstr(text, "t=");
	if (start == NULL || field(start, "id", id, sizeof(id)) == NULL ||
	    !is_about(id, e->id) ||
	    field(start, "event", word, sizeof(word)) == NULL)
		return;
	if (e->count == e->cap) {
		e->cap = e->cap == 0 ? 16 : e->cap * 2;
		e->lines = reallocarray(e->lines, e->cap, sizeof(*e->lines));
		if (e->lines == NULL)
			err(1, "explain");
	}
	l = &e->lines[e->count];
	memset(l, 0, sizeof(*l));
	l->order = e->count++;
	l->id_len = strlen(id);
	for (i = 0; ending[i] != NULL; i++)
		l->ends |= strcmp(word, ending[i]) == 0;
	if (field(start, "t", word, sizeof(word)) != NULL)
		l->time_ms = strtoull(word, NULL, 10);
	l->text = strndup(start, strcspn(start, "\n"));
	if (l->text == NULL)
		err(1, "explain");
}

/*
 * Reads the lines of a file.  Returns 0, or -1 if it can't be read.
 */
static int
file_read(struct explain *e, const char *name)
{
	FILE *f = fopen(name, "r");
	char *line = NULL;
	size_t cap = 0;

	if (f == NULL) {
		warn("%s", name);
		return -1;
	}
	while (getline(&line, &cap, f) != -1)
		line_add(e, line);
	free(line);
	fclose(f);
	return 0;
}

/*
 * Orders lines by time, then as they were read.
 */
static int
line_cmp(const void *a, const void *b)
{
	const struct explain_line *x = a, *y = b;

	if (x->time_ms != y->time_ms)
		return x->time_ms < y->time_ms ? -1 : 1;
	return (x->order > y->order) - (x->order < y->order);
}

/*
 * Returns the line that decided the request's end: that of the deepest call
 * that failed, and of these the first.
 */
static const struct explain_line *
cause(const struct explain *e)
{
	const struct explain_line *best = NULL;
	size_t i;

	for (i = 0; i < e->count; i++)
		if (e->lines[i].ends &&
		    (best == NULL || e->lines[i].id_len > best->id_len))
			best = &e->lines[i];
	return best;
}

/*
 * Prints all lines about a request and its calls, in order of time, and the
 * one that decided its end.
 */
enum ctl_exit
ctl_explain(const struct ctl_args *a)
{
	struct explain e = { a->operands[0], NULL, 0, 0 };
	enum ctl_exit rc = CTL_OK;
	const struct explain_line *c;
	size_t k;
	int i;

	for (i = 1; i < a->operand_count; i++)
		if (file_read(&e, a->operands[i]) == -1)
			rc = CTL_USAGE;
	if (e.count > 0)
		qsort(e.lines, e.count, sizeof(*e.lines), line_cmp);
	for (k = 0; k < e.count; k++)
		puts(e.lines[k].text);
	c = cause(&e);
	if (c != NULL)
		printf("cause: %s\n", c->text);
	else if (rc == CTL_OK)
		printf("cause: no line tells of a refusal or failure\n");
	for (k = 0; k < e.count; k++)
		free(e.lines[k].text);
	free(e.lines);
	if (rc == CTL_OK && e.count == 0)
		rc = CTL_FINDINGS;
	return rc;
}
