#include <jansson.h>
#include <string.h>

#include "publish/publish.h"

enum edit_finding {
	FINDING_NO_WORKSPACE,
	FINDING_KEY_EXISTS,
	FINDING_NO_KEY,
	EDIT_FINDING_MAX
};

static const struct find_msg msgs[EDIT_FINDING_MAX] = {
	[FINDING_NO_WORKSPACE] = { FIND_ERROR, "no such workspace" },
	[FINDING_KEY_EXISTS] = { FIND_ERROR, "key id is in use" },
	[FINDING_NO_KEY] = { FIND_ERROR, "no such key" },
};

static json_t *find_workspace_keys(const json_t *, const char *);
static int find_key_index(const json_t *, const char *);
static char *print_and_release(json_t *);

/*
 * Returns the keys of a workspace, or NULL if the workspace or its keys are
 * missing.
 */
static json_t *
find_workspace_keys(const json_t *root, const char *ws)
{
	const char *name;
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(root, "workspaces"), i, item)
	{
		name = json_string_value(json_object_get(item, "name"));
		if (name != NULL && strcmp(name, ws) == 0)
			return json_object_get(item, "keys");
	}
	return NULL;
}

/*
 * Returns the index of the first key with an id, or -1.
 */
static int
find_key_index(const json_t *keys, const char *id)
{
	const char *item_id;
	json_t *item;
	size_t i;

	json_array_foreach(keys, i, item)
	{
		item_id = json_string_value(json_object_get(item, "id"));
		if (item_id != NULL && strcmp(item_id, id) == 0)
			return (int)i;
	}
	return -1;
}

/*
 * Returns a configuration as JSON text and releases it.
 */
static char *
print_and_release(json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text;
}

/*
 * Returns a configuration with one key added, given by its hash, or NULL with
 * a finding.  The caller frees the text.
 */
char *
publish_add_key(const char *text, const char *ws, const char *id,
    const char *hash, struct finds *findings)
{
	json_t *root = json_loads(text, 0, NULL),
	       *keys = find_workspace_keys(root, ws);

	if (keys == NULL)
		finds_add(findings, &msgs[FINDING_NO_WORKSPACE], "/workspaces",
		    "%s", ws);
	else if (find_key_index(keys, id) != -1)
		finds_add(findings, &msgs[FINDING_KEY_EXISTS], "/workspaces",
		    "%s of %s; withdraw it first or choose another id", id, ws);
	else if (json_array_append_new(
		     keys, json_pack("{s:s,s:s}", "id", id, "hash", hash)) == 0)
		return print_and_release(root);
	json_decref(root);
	return NULL;
}

/*
 * Returns a configuration without the keys that have an id, or NULL with a
 * finding.  The caller frees the text.
 */
char *
publish_remove_key(
    const char *text, const char *ws, const char *id, struct finds *findings)
{
	json_t *root = json_loads(text, 0, NULL),
	       *keys = find_workspace_keys(root, ws);
	int i = find_key_index(keys, id), found = i != -1;

	if (keys == NULL)
		finds_add(findings, &msgs[FINDING_NO_WORKSPACE], "/workspaces",
		    "%s", ws);
	else if (!found)
		finds_add(findings, &msgs[FINDING_NO_KEY], "/workspaces",
		    "%s of %s", id, ws);
	for (; i != -1; i = find_key_index(keys, id))
		json_array_remove(keys, (size_t)i);
	if (found)
		return print_and_release(root);
	json_decref(root);
	return NULL;
}
