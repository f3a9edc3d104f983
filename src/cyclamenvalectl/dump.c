#include <stdio.h>
#include <stdlib.h>

#include "cyclamenvalectl/ctl.h"
#include "exchange/get.h"

#define DUMP_TEXT_PATH "/dump"
#define DUMP_JSON_PATH "/dump?format=json"

/*
 * Prints the state of a node, as text or as JSON.
 */
enum ctl_exit
ctl_dump(const struct ctl_args *a)
{
	int json = (a->given & OPT_BIT(OPT_JSON)) != 0;
	char *text = exchange_get(a->node,
	    json ? DUMP_JSON_PATH : DUMP_TEXT_PATH, (uint32_t)a->timeout);

	if (text == NULL) {
		fprintf(stderr,
		    CTL_PROG ": no dump from %s; is this the operator port "
			     "of a running node?\n",
		    a->node);
		return CTL_LOG;
	}
	fputs(text, stdout);
	free(text);
	return CTL_OK;
}
