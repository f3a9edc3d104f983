#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dump/dump.h"
#include "node/node.h"

typedef void (*dump_fn)(struct node *, FILE *);

static void dump_text(struct node *, FILE *);
static void dump_as_json(struct node *, FILE *);
static void dump_version(struct node *, FILE *);

/* What an operator may ask of a node. */
static const struct dump_row {
	const char *target;
	const char *type;
	dump_fn dump;
} dump_rows[] = {
	{ "/dump", "text/plain", dump_text },
	{ "/dump?format=json", "application/json", dump_as_json },
	{ "/version", "application/json", dump_version },
};

/*
 * Prints the whole state of a node as text.
 */
static void
dump_text(struct node *n, FILE *f)
{
	char id[NODE_ID_TEXT];
	int i;

	nodeid_format(&n->id, id);
	fprintf(f,
	    "node %s\ndomain %s\nready %d\nstopping %d\nconfig version %llu\n",
	    id, n->settings.domain, atomic_load(&n->open),
	    atomic_load(&n->stopping),
	    (unsigned long long)config_service_version(&n->config));
	fprintf(f, "\n# members\n");
	member_dump(&n->member, f);
	fprintf(f, "\n# admission\n");
	admission_dump(&n->admission, f);
	fprintf(f, "\n# leases\n");
	lease_service_dump(&n->lease, f);
	fprintf(f, "\n# limits\n");
	limits_dump(&n->limits, f);
	fprintf(f, "\n# request ids\n");
	once_dump(&n->once, f);
	fprintf(f, "\n# quarantine\n");
	quarantine_dump(&n->quarantine, clock_ms(), f);
	fprintf(f, "\n# live parents %u\n\n# counters\n",
	    parents_count(&n->parents));
	for (i = 0; i < CTR_MAX; i++)
		fprintf(f, "%s %llu\n", counter_name((enum counter)i),
		    (unsigned long long)counter_sum((enum counter)i));
}

/*
 * Prints the whole state of a node as JSON.
 */
static void
dump_as_json(struct node *n, FILE *f)
{
	char *text = NULL, *json;
	size_t len = 0;
	FILE *m = open_memstream(&text, &len);

	if (m == NULL)
		return;
	dump_text(n, m);
	fclose(m);
	json = dump_json(text);
	fprintf(f, "%s\n", json != NULL ? json : "{}");
	free(json);
	free(text);
}

/*
 * Prints the version in force.
 */
static void
dump_version(struct node *n, FILE *f)
{
	fprintf(f, "{\"version\":%llu}\n",
	    (unsigned long long)config_service_version(&n->config));
}

/*
 * Serves the operator port.
 */
void
operator_serve(struct node *n, struct request *r)
{
	const size_t rows = sizeof(dump_rows) / sizeof(dump_rows[0]);
	char *text = NULL;
	size_t len = 0, i;
	FILE *f;

	for (i = 0; i < rows; i++)
		if (strcmp(dump_rows[i].target, r->target) == 0)
			break;
	f = i < rows ? open_memstream(&text, &len) : NULL;
	if (f == NULL) {
		answer_refuse(r, OUTCOME_NOT_RUN, REASON_NO_ROUTE,
		    "no such operation", 0, NULL);
		return;
	}
	dump_rows[i].dump(n, f);
	fclose(f);
	mg_printf(r->conn,
	    "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    dump_rows[i].type, len);
	mg_write(r->conn, text, len);
	free(text);
}
