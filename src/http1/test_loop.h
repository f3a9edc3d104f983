#ifndef HTTP1_TEST_LOOP_H
#define HTTP1_TEST_LOOP_H

/*
 * The loop of a test program.  Each case runs it until the expected event; the
 * alarm ends a case that hangs.
 */

#define ALARM_S 20
#define TEXT_MAX 70000

static uv_loop_t loop;

static void
alloc_buffer(uv_handle_t *h, size_t n, uv_buf_t *b)
{
	static char buf[TEXT_MAX];

	(void)h;
	(void)n;
	*b = uv_buf_init(buf, sizeof(buf));
}

static void
close_all(uv_handle_t *h, void *arg)
{
	(void)arg;
	if (!uv_is_closing(h))
		uv_close(h, NULL);
}

static int
setup(void **state)
{
	(void)state;
	alarm(ALARM_S);
	signal(SIGPIPE, SIG_IGN);
	return uv_loop_init(&loop);
}

static int
teardown(void **state)
{
	(void)state;
	uv_walk(&loop, close_all, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	return uv_loop_close(&loop);
}

#endif
