#include <getopt.h>
#include <signal.h>
#include <unistd.h>

#include "proxy/proxy.h"
#include "standin.h"

/*
 * Fault-injecting proxy between nodes: TCP for the peer port, UDP for RPC.
 */

#define TCP_PORT 8082
#define UDP_PORT 8083

static int serve_control(struct mg_connection *, void *);
static void map_add(const char *);
static void group_add(const char *);

static struct map maps[MAPS_MAX];
static size_t map_count;
static int tcp_port = TCP_PORT, udp_port = UDP_PORT;

static const struct option options[] = {
	{ "address", required_argument, NULL, 'a' },
	{ "port", required_argument, NULL, 'p' },
	{ "map", required_argument, NULL, 'm' },
	{ "group", required_argument, NULL, 'g' },
	{ "tcp-port", required_argument, NULL, 't' },
	{ "udp-port", required_argument, NULL, 'u' },
	{ NULL, 0, NULL, 0 },
};

/*
 * Serves POST /control: sets the rule of a way.
 */
static int
serve_control(struct mg_connection *conn, void *ctx)
{
	json_t *j = standin_read_json(conn);

	(void)ctx;
	if (j != NULL) {
		rule_set(j);
		tcp_reset();
	}
	json_decref(j);
	return standin_answer(conn, 200, "", json_object());
}

/*
 * Splits "A=B" into two names.
 */
static void
split(const char *text, char *a, char *b)
{
	const char *eq = strchr(text, '=');

	if (eq == NULL) {
		fprintf(stderr, "proxy: %s: no '='\n", text);
		exit(2);
	}
	snprintf(a, NAME_BYTES, "%.*s", (int)(eq - text), text);
	snprintf(b, NAME_BYTES, "%s", eq + 1);
}

/*
 * Takes a --map LISTEN=TARGET.
 */
static void
map_add(const char *text)
{
	if (map_count < MAPS_MAX) {
		split(text, maps[map_count].from, maps[map_count].to);
		map_count++;
	}
}

/*
 * Takes a --group ADDRESS=NAME.
 */
static void
group_add(const char *text)
{
	char addr[NAME_BYTES], name[NAME_BYTES];

	split(text, addr, name);
	rule_group(addr, name);
}

/*
 * Relays until SIGTERM or SIGINT.
 */
int
main(int argc, char **argv)
{
	const char *address = "127.0.0.1", *port = "7001";
	char listen_on[64];
	const char *opts[] = { "listening_ports", listen_on, "num_threads", "4",
		NULL };
	struct mg_callbacks cb;
	struct mg_context *ctx;
	sigset_t set;
	size_t i;
	int c, sig;

	while ((c = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (c == 'a')
			address = optarg;
		else if (c == 'p')
			port = optarg;
		else if (c == 'm')
			map_add(optarg);
		else if (c == 'g')
			group_add(optarg);
		else if (c == 't')
			tcp_port = (int)strtol(optarg, NULL, 10);
		else if (c == 'u')
			udp_port = (int)strtol(optarg, NULL, 10);
		else
			return 2;
	}
	standin_raise_files();
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	for (i = 0; i < map_count; i++) {
		maps[i].tcp_port = tcp_port;
		maps[i].udp_port = udp_port;
		if (tcp_start(&maps[i]) == -1 || udp_start(&maps[i]) == -1) {
			fprintf(stderr, "proxy: cannot listen on %s\n",
			    maps[i].from);
			return 1;
		}
	}
	memset(&cb, 0, sizeof(cb));
	snprintf(listen_on, sizeof(listen_on), "%s:%s", address, port);
	mg_init_library(0);
	if ((ctx = mg_start(&cb, NULL, opts)) == NULL) {
		fprintf(stderr, "proxy: cannot listen on %s\n", listen_on);
		return 1;
	}
	mg_set_request_handler(ctx, "/control", serve_control, NULL);
	sigwait(&set, &sig);
	_exit(0);
}
