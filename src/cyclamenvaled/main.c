#include <curl/curl.h>
#include <err.h>
#include <malloc.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>
#include <urcu.h>

#include "base/image.h"
#include "node/node.h"

#define READY_CHECK_NS 20000000
#define ARENAS_MAX 4 /* of malloc: memory over speed */

/*
 * Blocks the signals that main() waits for in every thread, and ignores
 * broken connections, which writes report.
 */
static void
signals_block(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigprocmask(SIG_BLOCK, set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

/*
 * Opens the callers' port once the node is ready, and waits for a signal.
 * Returns -1 if the port can't be opened.
 */
static int
serve(struct node *n, const sigset_t *set)
{
	static const struct timespec check = { .tv_nsec = READY_CHECK_NS };
	int sig;

	while (!node_ready(n))
		if (sigtimedwait(set, NULL, &check) > 0)
			return 0;
	if (node_open(n) == -1)
		return -1;
	image_release();
	sigwait(set, &sig);
	return 0;
}

/*
 * Runs a node until it is told to stop.
 */
int
main(int argc, char **argv)
{
	static struct node node;
	struct settings settings;
	sigset_t set;
	int rc;

	logline_init("cyclamenvaled", LOG_INFO);
	settings_init(&settings);
	rc = settings_open(&settings, argc, argv, environ);
	if (rc != -1)
		return rc;
	logline_init("cyclamenvaled", (int)settings.log_level);
	mallopt(M_ARENA_MAX, ARENAS_MAX);
	if (sodium_init() == -1)
		errx(1, "sodium_init");
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signals_block(&set);
	rcu_register_thread();
	if (node_init(&node, &settings) == -1 || node_start(&node) == -1)
		return 1;
	if (serve(&node, &set) == -1)
		return 1;
	node_stop(&node);
	node_finish(&node);
	settings_finish(&settings);
	rcu_unregister_thread();
	curl_global_cleanup();
	return 0;
}
