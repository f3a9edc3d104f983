#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

#include "cyclamenvalectl/ctl.h"

/*
 * Prints the configuration in force on standard output and its version on
 * standard error, so that the output can be edited and published again.
 */
enum ctl_exit
ctl_show(const struct ctl_args *a)
{
	struct publish_reader r;
	char id[PUBLISH_ID_BYTES];
	struct ctl_log log;
	enum ctl_exit rc;
	json_t *o;

	publish_new_id(id);
	ctl_log_open(&log, a);
	publish_reader_init(&r, &log.env, id);
	rc = ctl_log_read(&r, a);
	if (rc == CTL_OK)
		fprintf(stderr, "version %" PRIu64 "\n",
		    publish_current_version(&r));
	if (rc == CTL_OK && r.state.cur != NULL) {
		o = json_loads(r.state.cur->text, 0, NULL);
		json_dumpf(o, stdout, JSON_INDENT(2));
		json_decref(o);
		putchar('\n');
	}
	publish_reader_finish(&r);
	ctl_log_close(&log);
	return rc;
}
