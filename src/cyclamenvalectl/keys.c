#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cyclamenvalectl/ctl.h"

#define KEY_RANDOM_BYTES 32
#define KEY_TEXT_BYTES 44 /* base64 of the random bytes with its NUL */
#define TRIES_MAX 10

/* A change of the configuration; the hash is that of the key to grant. */
struct change {
	const struct ctl_args *args;
	const char *hash; /* NULL to withdraw */
};

static char *change_text(const struct change *, const char *, struct finds *);
static enum ctl_exit change_once(const struct change *, struct ctl_log *);
static enum ctl_exit change_run(const struct change *);

/*
 * Returns the configuration with the change made, or NULL with findings.
 */
static char *
change_text(const struct change *ch, const char *text, struct finds *fs)
{
	const struct ctl_args *a = ch->args;

	if (ch->hash == NULL)
		return publish_remove_key(text, a->workspace, a->key_id, fs);
	return publish_add_key(text, a->workspace, a->key_id, ch->hash, fs);
}

/*
 * Reads the configuration in force, changes it, checks it and publishes it.
 */
static enum ctl_exit
change_once(const struct change *ch, struct ctl_log *log)
{
	const struct ctl_args *a = ch->args;
	struct publication p = { NULL, a->author != NULL ? a->author : CTL_PROG,
		0, (uint32_t)a->timeout };
	const char *cur = "{\"routes\":[],\"workspaces\":[]}";
	enum ctl_exit rc = CTL_FINDINGS;
	struct config *c = NULL;
	struct publish_reader r;
	enum publish_status st;
	char id[PUBLISH_ID_BYTES], *text;
	uint64_t version = 0;
	struct finds fs;

	publish_new_id(id);
	publish_reader_init(&r, &log->env, id);
	rc = ctl_log_read(&r, a);
	if (rc != CTL_OK) {
		publish_reader_finish(&r);
		return rc;
	}
	finds_init(&fs);
	p.base_version = publish_current_version(&r);
	text =
	    change_text(ch, r.state.cur != NULL ? r.state.cur->text : cur, &fs);
	if (text != NULL)
		c = config_new(text, strlen(text), 0, &fs);
	finds_print(&fs, stderr, "configuration in force");
	finds_finish(&fs);
	rc = CTL_FINDINGS;
	if (c != NULL) {
		p.text = text;
		st = publish_config(&r, &p, &version);
		rc = ctl_outcome(st, version);
	}
	config_free(c);
	free(text);
	publish_reader_finish(&r);
	return rc;
}

/*
 * Makes a change, and again from the new version after a lost race where
 * the operator asked for it.
 */
static enum ctl_exit
change_run(const struct change *ch)
{
	int tries = (ch->args->given & OPT_BIT(OPT_RETRY)) != 0 ? TRIES_MAX : 1;
	enum ctl_exit rc = CTL_LOST;
	struct ctl_log log;

	ctl_log_open(&log, ch->args);
	while (rc == CTL_LOST && tries-- > 0)
		rc = change_once(ch, &log);
	ctl_log_close(&log);
	return rc;
}

/*
 * Grants a workspace a new random key.  The key is printed once, when it is
 * in force, and only its hash is published.
 */
enum ctl_exit
ctl_grant(const struct ctl_args *a)
{
	unsigned char bin[KEY_RANDOM_BYTES], hash[CONFIG_HASH_BYTES];
	char hex[2 * CONFIG_HASH_BYTES + 1], key[KEY_TEXT_BYTES];
	struct change ch = { a, hex };
	enum ctl_exit rc;

	randombytes_buf(bin, sizeof(bin));
	sodium_bin2base64(key, sizeof(key), bin, sizeof(bin),
	    sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	config_key_hash(key, hash);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	rc = change_run(&ch);
	if (rc == CTL_OK)
		printf("key: %s\n", key);
	else if (rc == CTL_LOG)
		fprintf(stderr,
		    CTL_PROG ": the key is not shown; if %s is in force "
			     "later, withdraw it and grant another\n",
		    a->key_id);
	sodium_memzero(key, sizeof(key));
	sodium_memzero(bin, sizeof(bin));
	return rc;
}

/*
 * Withdraws a workspace's key.
 */
enum ctl_exit
ctl_withdraw(const struct ctl_args *a)
{
	struct change ch = { a, NULL };

	return change_run(&ch);
}
