#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cyclamenvalectl/ctl.h"

static enum ctl_exit publish_text(const struct ctl_args *, const char *);

/*
 * Publishes a checked configuration.  Without a base given, it is made from
 * the version in force.
 */
static enum ctl_exit
publish_text(const struct ctl_args *a, const char *text)
{
	struct publication p = { text, a->author, a->base,
		(uint32_t)a->timeout };
	enum publish_status st;
	struct publish_reader r;
	uint64_t version = 0;
	char id[PUBLISH_ID_BYTES];
	enum ctl_exit rc = CTL_OK;
	struct ctl_log log;

	publish_new_id(id);
	if (a->id != NULL)
		memcpy(id, a->id, sizeof(id));
	ctl_log_open(&log, a);
	publish_reader_init(&r, &log.env, id);
	if ((a->given & OPT_BIT(OPT_BASE)) == 0) {
		rc = ctl_log_read(&r, a);
		p.base_version = publish_current_version(&r);
	}
	if (rc == CTL_OK) {
		fprintf(stderr,
		    CTL_PROG ": publishing with --base %" PRIu64 " --id %s\n",
		    p.base_version, id);
		st = publish_config(&r, &p, &version);
		rc = ctl_outcome(st, version);
	}
	publish_reader_finish(&r);
	ctl_log_close(&log);
	return rc;
}

/*
 * Checks a file and publishes it.
 */
enum ctl_exit
ctl_publish(const struct ctl_args *a)
{
	struct ctl_args args = *a;
	const char *name = a->operands[0];
	struct config *c;
	enum ctl_exit rc = CTL_FINDINGS;
	struct finds fs;
	size_t len;
	char *text = ctl_file_read(name, &len);

	if (text == NULL)
		return CTL_USAGE;
	if (args.author == NULL)
		args.author = getenv("USER");
	if (args.author == NULL)
		args.author = CTL_PROG;
	finds_init(&fs);
	c = config_new(text, len, 0, &fs);
	finds_print(&fs, stderr, name);
	finds_finish(&fs);
	if (c != NULL)
		rc = publish_text(&args, text);
	config_free(c);
	free(text);
	return rc;
}
