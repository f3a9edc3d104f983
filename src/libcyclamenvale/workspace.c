#include <ctype.h>
#include <sodium.h>
#include <string.h>

#include "config/config.h"
#include "libcyclamenvale/internal.h"

static int key_ok(const char *);

/*
 * Adds a workspace that may send rate requests a second over all nodes
 * together, and burst requests at once.  Returns its handle.
 */
cv_workspace
cv_workspace_add(
    struct cv_config *c, const char *name, double rate, uint32_t burst)
{
	json_t *o = json_object();

	cv_set(c, o, "name", json_string(name), CV_BAD_TEXT, __func__);
	cv_set(c, o, "rate", json_real(rate), CV_BAD_NUMBER, __func__);
	json_object_set_new(o, "burst", json_integer(burst));
	json_object_set_new(o, "keys", json_array());
	json_array_append_new(c->workspaces, o);
	return (cv_workspace)json_array_size(c->workspaces) - 1;
}

/*
 * Tells whether a key is long enough and can stand in a header.
 */
static int
key_ok(const char *key)
{
	size_t n = strlen(key), i;

	for (i = 0; i < n; i++)
		if (!isgraph((unsigned char)key[i]))
			return 0;
	return n >= CV_KEY_BYTES_MIN && n <= CONFIG_KEY_MAX;
}

/*
 * Grants a workspace a key, under a public id by which it can be withdrawn.
 * Only the key's hash is kept.
 */
void
cv_key_add(
    struct cv_config *c, cv_workspace ws, const char *id, const char *key)
{
	unsigned char hash[CONFIG_HASH_BYTES];
	char hex[2 * CONFIG_HASH_BYTES + 1];

	if (!key_ok(key)) {
		cv_misuse_add(c, CV_BAD_KEY, __func__);
		return;
	}
	config_key_hash(key, hash);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	cv_key_hash_add(c, ws, id, hex);
}

/*
 * Grants a workspace the key that has this hash: 64 hexadecimal digits of
 * its unkeyed BLAKE2b-256.
 */
void
cv_key_hash_add(
    struct cv_config *c, cv_workspace ws, const char *id, const char *hex)
{
	json_t *o = cv_row(c, c->workspaces, ws, __func__);
	json_t *key;

	if (o == NULL)
		return;
	key = json_object();
	cv_set(c, key, "id", json_string(id), CV_BAD_TEXT, __func__);
	cv_set(c, key, "hash", json_string(hex), CV_BAD_TEXT, __func__);
	json_array_append_new(json_object_get(o, "keys"), key);
}
