#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "config/config.h"
#include "libcyclamenvale/internal.h"

static const struct find_msg misuse_msgs[CV_MISUSE_MAX] = {
	[CV_BAD_HANDLE] = { FIND_ERROR, "no such route or workspace" },
	[CV_BAD_TEXT] = { FIND_ERROR, "not UTF-8 text" },
	[CV_BAD_NUMBER] = { FIND_ERROR, "not a finite number" },
	[CV_BAD_CLASS] = { FIND_ERROR, "no such class" },
	[CV_BAD_KEY] = { FIND_ERROR,
	    "a key is 16 to 256 printable characters without spaces" },
};

/*
 * Prepares an empty configuration.  Returns 0, or -1 if memory is exhausted
 * or no random numbers can be had.
 */
int
cv_config_init(struct cv_config *c)
{
	memset(c, 0, sizeof(*c));
	if (sodium_init() == -1)
		return -1;
	c->misuse = malloc(sizeof(*c->misuse));
	c->finds = malloc(sizeof(*c->finds));
	c->routes = json_array();
	c->workspaces = json_array();
	if (c->misuse == NULL || c->finds == NULL)
		goto fail;
	finds_init(c->misuse);
	finds_init(c->finds);
	c->root = json_pack(
	    "{s:O,s:O}", "routes", c->routes, "workspaces", c->workspaces);
	if (c->root != NULL)
		return 0;
fail:
	free(c->misuse);
	free(c->finds);
	c->misuse = NULL;
	c->finds = NULL;
	cv_config_finish(c);
	return -1;
}

/*
 * Frees a configuration; it may be initialised again.
 */
void
cv_config_finish(struct cv_config *c)
{
	json_decref(c->routes);
	json_decref(c->workspaces);
	json_decref(c->root);
	if (c->misuse != NULL)
		finds_finish(c->misuse);
	if (c->finds != NULL)
		finds_finish(c->finds);
	free(c->misuse);
	free(c->finds);
	memset(c, 0, sizeof(*c));
}

/*
 * Collects a finding about an argument of the function named.
 */
void
cv_misuse_add(struct cv_config *c, enum cv_misuse m, const char *func)
{
	finds_add(c->misuse, &misuse_msgs[m], func, "%s", "");
}

/*
 * Returns the object of a handle; where there is none, collects a finding
 * and returns NULL.
 */
json_t *
cv_row(struct cv_config *c, const json_t *table, int handle, const char *func)
{
	json_t *o = NULL;

	if (handle >= 0)
		o = json_array_get(table, (size_t)handle);
	if (o == NULL)
		cv_misuse_add(c, CV_BAD_HANDLE, func);
	return o;
}

/*
 * Sets a member of an object and takes over the value, which is NULL where
 * the argument could not be represented.
 */
void
cv_set(struct cv_config *c, json_t *o, const char *name, json_t *val,
    enum cv_misuse m, const char *func)
{
	if (json_object_set_new(o, name, val) == -1)
		cv_misuse_add(c, m, func);
}

/*
 * Checks the whole configuration as a node would.  The findings of the
 * check before are replaced; those about wrong arguments stay.  Returns the
 * number of errors.
 */
int
cv_config_check(struct cv_config *c)
{
	char *text = json_dumps(c->root, JSON_COMPACT);

	finds_finish(c->finds);
	finds_init(c->finds);
	if (text == NULL) {
		cv_misuse_add(c, CV_BAD_TEXT, __func__);
		return (int)c->misuse->errors;
	}
	config_free(config_new(text, strlen(text), 0, c->finds));
	free(text);
	return (int)(c->misuse->errors + c->finds->errors);
}

/*
 * Gives finding number i.  Returns 0, or -1 if there are not as many.
 */
int
cv_config_finding(const struct cv_config *c, size_t i, struct cv_finding *out)
{
	const struct finds *fs = c->misuse;
	const struct find *f;

	if (i >= fs->count) {
		i -= fs->count;
		fs = c->finds;
	}
	if (i >= fs->count)
		return -1;
	f = &fs->list[i];
	out->severity = f->sev == FIND_ERROR ? CV_ERROR : CV_WARNING;
	out->place = f->place;
	out->text = f->text;
	out->detail = f->detail;
	return 0;
}

/*
 * Prints all findings, a line each, prefixed by a name for the input.
 */
void
cv_config_findings_print(
    const struct cv_config *c, FILE *out, const char *input)
{
	finds_print(c->misuse, out, input);
	finds_print(c->finds, out, input);
}

/*
 * Checks the configuration and prints it as JSON, ready for publication.
 * Prints nothing and returns -1 if it has errors; returns -1 with errno set
 * if the stream fails.
 */
int
cv_config_print(struct cv_config *c, FILE *out)
{
	if (cv_config_check(c) > 0)
		return -1;
	if (json_dumpf(c->root, out, JSON_INDENT(2)) == -1)
		return -1;
	return fputc('\n', out) == EOF ? -1 : 0;
}
