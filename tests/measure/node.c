#include <arpa/inet.h>
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../path/fleet.h"
#include "../path/std.h"

/*
 * What control costs a whole node without requests, at several sizes of the
 * fleet, and what a caller's connection costs in memory.
 */

#define SETTLE_S 6
#define WATCH_S 10
#define CONNECTIONS 1300
#define CONNECTION_STEP 650
#define ANSWER_BYTES 1024
#define KIB 1024.0

static const int sizes[] = { 3, 9, 15 };

/*
 * Returns a counter of a node's dump.
 */
static double
counter(struct fleet *f, int i, const char *name)
{
	char *text = fleet_dump(f, i), line[64], *p;
	double n = 0;

	snprintf(line, sizeof(line), "\n%s ", name);
	p = text != NULL ? strstr(text, line) : NULL;
	if (p != NULL)
		n = strtod(p + strlen(line), NULL);
	free(text);
	return n;
}

/*
 * Starts a fleet in which each node has this many threads for callers.
 */
static void
start(struct fleet *f, int count, const char *callers)
{
	struct inst_spec spec;
	json_t *conf = std_conf();
	int i;

	fleet_init(f, 0);
	for (i = 0; i < count; i++) {
		spec = std_spec[i % 3];
		spec.node_args[0] = "--caller-connections";
		spec.node_args[1] = callers;
		spec.node_args[2] = NULL;
		fleet_add(f, &spec);
	}
	if (fleet_start(f) == -1 || fleet_publish(f, conf) == -1 ||
	    fleet_ready(f, "/page/r", ACME_KEY, STD_READY_MS) == -1)
		errx(1, "the system did not start");
	json_decref(conf);
}

/*
 * Measures idle nodes of a fleet of that size.
 */
static void
idle(int count)
{
	static struct fleet f;
	double cpu, in, out, reads, appends;

	harness_init();
	start(&f, count, "256");
	sleep(SETTLE_S);
	cpu = proc_cpu_s(f.list[0].node);
	in = counter(&f, 0, "rpc_bytes_in");
	out = counter(&f, 0, "rpc_bytes_out");
	reads = counter(&f, 0, "log_reads");
	appends = counter(&f, 0, "log_appends");
	sleep(WATCH_S);
	printf("node of %d idle: %.2f%% of a core, %.1f KB/s RPC in, %.1f out, "
	       "%.1f log reads a second, %.2f appends, %.1f MB resident\n",
	    count, 100 * (proc_cpu_s(f.list[0].node) - cpu) / WATCH_S,
	    (counter(&f, 0, "rpc_bytes_in") - in) / WATCH_S / KIB,
	    (counter(&f, 0, "rpc_bytes_out") - out) / WATCH_S / KIB,
	    (counter(&f, 0, "log_reads") - reads) / WATCH_S,
	    (counter(&f, 0, "log_appends") - appends) / WATCH_S,
	    (double)proc_rss_kb(f.list[0].node) / KIB);
	harness_finish();
}

/*
 * Opens a connection, has one request answered on it and keeps it open.
 */
static void
hold_connection(const char *addr)
{
	static const char text[] = "GET /page/m HTTP/1.1\r\nHost: n\r\n"
				   "Authorization: Bearer " ACME_KEY "\r\n\r\n";
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons(CALLER_PORT),
		.sin_addr.s_addr = inet_addr(addr) };
	char buf[ANSWER_BYTES];
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd == -1 ||
	    connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == -1 ||
	    write(fd, text, sizeof(text) - 1) != sizeof(text) - 1 ||
	    read(fd, buf, sizeof(buf)) <= 0)
		err(1, "connection to %s", addr);
}

/*
 * Measures a node's memory with no, half and all of its connections held.
 */
static void
connections(void)
{
	static struct fleet f;
	char callers[16];
	int i;

	harness_init();
	snprintf(callers, sizeof(callers), "%d", CONNECTIONS + 8);
	start(&f, 3, callers);
	printf("node with %s caller threads: %.1f MB resident\n", callers,
	    (double)proc_rss_kb(f.list[0].node) / KIB);
	for (i = 1; i <= CONNECTIONS; i++) {
		hold_connection(f.list[0].addr);
		if (i % CONNECTION_STEP == 0)
			printf("    %d connections used and held: %.1f MB\n", i,
			    (double)proc_rss_kb(f.list[0].node) / KIB);
	}
	harness_finish();
}

int
main(void)
{
	size_t i;

	setvbuf(stdout, NULL, _IOLBF, 0);
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		idle(sizes[i]);
	connections();
	return 0;
}
