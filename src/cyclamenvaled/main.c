#include <curl/curl.h>
#include <err.h>
#include <malloc.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <unistd.h>
#include <urcu.h>

#include "base/image.h"
#include "node/node.h"

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
 * Runs a node until it is told to stop.
 */
int
main(int argc, char **argv)
{
	static struct node node;
	struct settings settings;
	sigset_t set;
	int rc, sig;

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
	image_release();
	sigwait(&set, &sig);
	node_stop(&node);
	node_finish(&node);
	settings_finish(&settings);
	rcu_unregister_thread();
	curl_global_cleanup();
	return 0;
}
