#include <stdio.h>
#include <stdlib.h>

#include "config/config.h"
#include "cyclamenvalectl/ctl.h"

static enum ctl_exit file_check(const char *);

/*
 * Prints every finding in a file.
 */
static enum ctl_exit
file_check(const char *name)
{
	struct finds fs;
	size_t len;
	int errors;
	char *text = ctl_file_read(name, &len);

	if (text == NULL)
		return CTL_USAGE;
	finds_init(&fs);
	config_free(config_new(text, len, 0, &fs));
	errors = finds_print(&fs, stdout, name);
	finds_finish(&fs);
	free(text);
	return errors > 0 ? CTL_FINDINGS : CTL_OK;
}

/*
 * Checks every file that is named.
 */
enum ctl_exit
ctl_check(const struct ctl_args *a)
{
	enum ctl_exit rc = CTL_OK, one;
	int i;

	for (i = 0; i < a->operand_count; i++) {
		one = file_check(a->operands[i]);
		if (one > rc)
			rc = one;
	}
	return rc;
}
