#include <jansson.h>
#include <string.h>

#include "publish/publish.h"

enum edit_find {
	FIND_NO_WORKSPACE,
	FIND_KEY_EXISTS,
	FIND_NO_KEY,
	EDIT_FIND_MAX
};

static const struct find_msg msgs[EDIT_FIND_MAX] = {
	[FIND_NO_WORKSPACE] = { FIND_ERROR, "no such workspace" },
	[FIND_KEY_EXISTS] = { FIND_ERROR, "key id is in use" },
	[FIND_NO_KEY] = { FIND_ERROR, "no such key" },
};

static json_t *keys_of(const json_t *, const char *);
static int key_index(const json_t *, const char *);
static char *text_of(json_t *);

/*
 * Returns the keys of a workspace, or NULL.
 */
static json_t *
keys_of(const json_t *root, const char *ws)
{
	const char *name;
	json_t *o;
	size_t i;

	json_array_foreach(json_object_get(root, "workspaces"), i, o)
	{
		name = json_string_value(json_object_get(o, "name"));
		if (name != NULL && strcmp(name, ws) == 0)
			return json_object_get(o, "keys");
	}
	return NULL;
}

/*
 * Returns the index of the key with an id, or -1.
 */
static int
key_index(const json_t *keys, const char *id)
{
	const char *s;
	json_t *o;
	size_t i;

	json_array_foreach(keys, i, o)
	{
		s = json_string_value(json_object_get(o, "id"));
		if (s != NULL && strcmp(s, id) == 0)
			return (int)i;
	}
	return -1;
}

/*
 * Prints a configuration as text and gives it up.
 */
static char *
text_of(json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text;
}

/*
 * Returns a configuration with one more key, given by its hash, or NULL with
 * a finding.  The caller frees it.
 */
char *
publish_grant(const char *text, const char *ws, const char *id,
    const char *hash, struct finds *fs)
{
	json_t *root = json_loads(text, 0, NULL), *keys = keys_of(root, ws);

	if (keys == NULL)
		finds_add(
		    fs, &msgs[FIND_NO_WORKSPACE], "/workspaces", "%s", ws);
	else if (key_index(keys, id) != -1)
		finds_add(fs, &msgs[FIND_KEY_EXISTS], "/workspaces",
		    "%s of %s; withdraw it first or choose another id", id, ws);
	else if (json_array_append_new(
		     keys, json_pack("{s:s,s:s}", "id", id, "hash", hash)) == 0)
		return text_of(root);
	json_decref(root);
	return NULL;
}

/*
 * Returns a configuration without any key that has an id, or NULL with a
 * finding.  The caller frees it.
 */
char *
publish_withdraw(
    const char *text, const char *ws, const char *id, struct finds *fs)
{
	json_t *root = json_loads(text, 0, NULL), *keys = keys_of(root, ws);
	int i = key_index(keys, id), found = i != -1;

	if (keys == NULL)
		finds_add(
		    fs, &msgs[FIND_NO_WORKSPACE], "/workspaces", "%s", ws);
	else if (!found)
		finds_add(
		    fs, &msgs[FIND_NO_KEY], "/workspaces", "%s of %s", id, ws);
	for (; i != -1; i = key_index(keys, id))
		json_array_remove(keys, (size_t)i);
	if (found)
		return text_of(root);
	json_decref(root);
	return NULL;
}
