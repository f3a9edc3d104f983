#ifndef EXCHANGE_TEST_RAW_H
#define EXCHANGE_TEST_RAW_H

/*
 * A server of one connection that sends fixed bytes, run by a thread.
 */

#define END_OF_HEAD "\r\n\r\n"
#define LENGTH_FIELD "Content-Length: "
#define ENDLESS_BYTES (64U << 20) /* sent in vain by an endless server */

/* What the server does with the next connection. */
struct raw_server {
	int listener;
	uint16_t port;
	const char *answer;
	size_t cut_at;
	int kept; /* times that kept_answer comes before it */
	const char *kept_answer;
	int reset;
	int early;	     /* answers when it has read a head */
	const char *endless; /* sent again and again behind the answer */
	size_t sent;	     /* bytes of it */
};

/*
 * Reads a request with a short body or none, or only its head.  Returns 0, or
 * -1 if there is none.
 */
static int
read_request(int fd, int head_only)
{
	char buf[4096];
	const char *end, *field;
	size_t len = 0, body_len;
	ssize_t n;

	for (;;) {
		n = read(fd, buf + len, sizeof(buf) - 1 - len);
		if (n <= 0)
			return -1;
		len += (size_t)n;
		buf[len] = '\0';
		end = strstr(buf, END_OF_HEAD);
		if (end == NULL)
			continue;
		field = strstr(buf, LENGTH_FIELD);
		body_len = 0;
		if (field != NULL && !head_only)
			body_len =
			    strtoul(field + strlen(LENGTH_FIELD), NULL, 10);
		if (strlen(end) >= strlen(END_OF_HEAD) + body_len)
			return 0;
	}
}

/*
 * Fills a string with as many copies of a shorter one as fit.
 */
static void
fill(char *buf, size_t size, const char *piece)
{
	size_t n = 0;

	while (n + strlen(piece) < size)
		n += (size_t)snprintf(buf + n, size - n, "%s", piece);
}

/*
 * Listens on a free port of loopback.
 */
static void
raw_init(struct raw_server *s)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);

	memset(s, 0, sizeof(*s));
	s->listener = socket(AF_INET, SOCK_STREAM, 0);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(s->listener, (struct sockaddr *)&sa, len), 0);
	assert_int_equal(listen(s->listener, 8), 0);
	getsockname(s->listener, (struct sockaddr *)&sa, &len);
	s->port = ntohs(sa.sin_port);
}

/*
 * Serves one connection as the struct raw_server that is its argument says.
 */
static void *
serve_once(void *arg)
{
	struct raw_server *s = arg;
	struct linger linger = { 1, 0 };
	int fd = accept(s->listener, NULL, NULL), i;
	size_t n;

	for (i = 0; i < s->kept && read_request(fd, 0) == 0; i++)
		(void)!write(fd, s->kept_answer, strlen(s->kept_answer));
	if (read_request(fd, s->early) == 0)
		(void)!write(fd, s->answer, s->cut_at);
	n = s->endless != NULL ? strlen(s->endless) : 0;
	for (s->sent = 0; n > 0 && s->sent < ENDLESS_BYTES; s->sent += n)
		if (write(fd, s->endless, n) != (ssize_t)n)
			break;
	if (s->reset)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
	return NULL;
}

#endif
