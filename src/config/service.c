#include <err.h>
#include <errno.h>
#include <poll.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <urcu.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/logline.h"
#include "config/service.h"

#define STREAM "config"
#define READ_RECORDS_MAX 64
#define READ_TIMEOUT_MS 2000
#define APPEND_TIMEOUT_MS 2000
#define SNAPSHOT_RETRY_MS 5000 /* between two tries by one node */

static void *service_main(void *);

/*
 * Prepares a reader that polls the log at the given period (ms).  Returns
 * 0, or -1 with errno set.
 */
int
config_service_init(struct config_service *s, const struct logsvc *log,
    uint32_t poll_ms, config_changed_fn changed, config_read_fn read_done,
    void *ctx)
{
	memset(s, 0, sizeof(*s));
	s->log = *log;
	s->poll_ms = poll_ms;
	s->changed = changed;
	s->read_done = read_done;
	s->ctx = ctx;
	config_state_init(&s->state);
	pthread_mutex_init(&s->lock, NULL);
	s->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	return s->wake_fd == -1 ? -1 : 0;
}

/*
 * Starts the reader's thread.  Returns 0, or -1 with errno set.
 */
int
config_service_start(struct config_service *s)
{
	int rc;

	s->running = 1;
	rc = pthread_create(&s->thread, NULL, service_main, s);
	if (rc == 0)
		return 0;
	s->running = 0;
	errno = rc;
	return -1;
}

/*
 * Ends the reader and frees the version in force; no request thread may
 * still read it.
 */
void
config_service_finish(struct config_service *s)
{
	uint64_t one = 1;

	if (s->running) {
		s->running = 0;
		if (write(s->wake_fd, &one, sizeof(one)) == -1)
			warn("eventfd");
		pthread_join(s->thread, NULL);
	}
	config_state_finish(&s->state);
	pthread_mutex_destroy(&s->lock);
	close(s->wake_fd);
}

/*
 * Returns the configuration in force, or NULL.  The caller is within
 * rcu_read_lock() for as long as it uses the result.
 */
const struct config *
config_current(const struct config_service *s)
{
	return rcu_dereference(s->current);
}

/*
 * Returns the version in force, 0 if none is known.
 */
uint64_t
config_service_version(struct config_service *s)
{
	uint64_t v = 0;

	pthread_mutex_lock(&s->lock);
	if (s->state.cur != NULL)
		v = s->state.cur->version;
	pthread_mutex_unlock(&s->lock);
	return v;
}

/*
 * Makes a newly decided configuration visible and frees the one before once
 * no thread can still read it.
 */
static void
publish(struct config_service *s, struct config *old, const char *source)
{
	config_carry(s->state.cur, old, clock_ms());
	rcu_assign_pointer(s->current, s->state.cur);
	logline(LOG_NOTICE, "config-in-force",
	    "version=%llu source=%s routes=%zu workspaces=%zu",
	    (unsigned long long)s->state.cur->version, source,
	    s->state.cur->route_count, s->state.cur->ws_count);
	if (s->changed != NULL)
		s->changed(s->ctx, s->state.cur);
	if (old != NULL) {
		synchronize_rcu();
		config_free(old);
	}
}

/*
 * Applies one record of the stream and says in the log what came of it.
 */
static void
apply(struct config_service *s, const struct logsvc_record *r)
{
	struct config *old = NULL;
	struct finds fs;
	enum config_outcome out;

	finds_init(&fs);
	pthread_mutex_lock(&s->lock);
	out = config_state_apply(
	    &s->state, r->offset, r->data, r->len, &old, &fs);
	pthread_mutex_unlock(&s->lock);
	if (out == CONFIG_TAKEN)
		publish(s, old, "log");
	else if (out == CONFIG_BAD) {
		counter_add(CTR_LOG_BAD_RECORDS, 1);
		logline(LOG_ERR, "config-bad-record",
		    "offset=%llu findings=%zu first=\"%s: %s\"",
		    (unsigned long long)r->offset, fs.count,
		    fs.count > 0 ? fs.list[0].place : "",
		    fs.count > 0 ? fs.list[0].text : "");
	} else if (out != CONFIG_CONFIRMED)
		logline(LOG_INFO, "config-not-taken", "offset=%llu outcome=%s",
		    (unsigned long long)r->offset, config_outcome_names[out]);
	finds_finish(&fs);
}

/*
 * Takes a snapshot that a peer offers.  Returns 1 if it came in force, 0 if
 * it was not newer, -1 if it was not valid.
 */
int
config_service_offer(struct config_service *s, const char *data, size_t len)
{
	struct config *old = NULL;
	struct finds fs;
	enum config_outcome out;

	finds_init(&fs);
	pthread_mutex_lock(&s->lock);
	out = config_state_offer(&s->state, data, len, &old, &fs);
	pthread_mutex_unlock(&s->lock);
	if (out == CONFIG_TAKEN)
		publish(s, old, "peer");
	finds_finish(&fs);
	return out == CONFIG_TAKEN ? 1 : out == CONFIG_BAD ? -1 : 0;
}

/*
 * Fills a fresh id for a record.
 */
static void
fresh_id(char id[CONFIG_ID_HEX + 1])
{
	unsigned char raw[CONFIG_ID_HEX / 2];

	randombytes_buf(raw, sizeof(raw));
	sodium_bin2hex(id, CONFIG_ID_HEX + 1, raw, sizeof(raw));
}

/*
 * Returns the version in force as a snapshot record for a peer, or NULL.
 * The caller frees it.
 */
char *
config_service_snapshot(struct config_service *s)
{
	char id[CONFIG_ID_HEX + 1], *out = NULL;

	fresh_id(id);
	pthread_mutex_lock(&s->lock);
	if (s->state.cur != NULL)
		out = config_snapshot(s->state.cur, id);
	pthread_mutex_unlock(&s->lock);
	return out;
}

/*
 * Appends the version in force again where it is about to age out.  That
 * several nodes do so is harmless.
 */
static void
refresh(
    struct config_service *s, const struct logsvc_batch *b, uint64_t *tried_ms)
{
	uint64_t now = clock_ms(), offset;
	char *text;
	int due;

	pthread_mutex_lock(&s->lock);
	due = config_snapshot_due(&s->state, b->first, b->next);
	pthread_mutex_unlock(&s->lock);
	if (!due || now - *tried_ms < SNAPSHOT_RETRY_MS)
		return;
	*tried_ms = now;
	text = config_service_snapshot(s);
	if (text == NULL)
		return;
	s->log.append(
	    s->log.ctx, STREAM, text, strlen(text), APPEND_TIMEOUT_MS, &offset);
	free(text);
}

/*
 * Reads what the stream has got since the last time.  Returns 1 if there is
 * more, 0 at the end of the stream, -1 where the log can't be read.
 */
static int
poll_once(struct config_service *s, uint64_t *tried_ms)
{
	struct logsvc_batch b;
	uint64_t from, sent = clock_ms();
	size_t i;
	int more;

	pthread_mutex_lock(&s->lock);
	from = s->state.next;
	pthread_mutex_unlock(&s->lock);
	if (s->log.read(s->log.ctx, STREAM, from, READ_RECORDS_MAX, 0,
		READ_TIMEOUT_MS, &b) != LOGSVC_OK)
		return -1;
	pthread_mutex_lock(&s->lock);
	config_state_gap(&s->state, b.first, b.next);
	pthread_mutex_unlock(&s->lock);
	for (i = 0; i < b.count; i++)
		apply(s, &b.list[i]);
	pthread_mutex_lock(&s->lock);
	more = s->state.next < b.next && b.count > 0;
	pthread_mutex_unlock(&s->lock);
	if (!more) {
		refresh(s, &b, tried_ms);
		if (s->read_done != NULL)
			s->read_done(s->ctx, sent);
	}
	logsvc_batch_finish(&b);
	return more;
}

/*
 * The reader's thread: polls, with a short random shift so that many nodes
 * don't read at the same moment.
 */
static void *
service_main(void *ctx)
{
	struct config_service *s = ctx;
	struct pollfd p = { .fd = s->wake_fd, .events = POLLIN };
	uint64_t tried_ms = 0;
	int up = 1, rc;

	rcu_register_thread();
	while (s->running) {
		rc = poll_once(s, &tried_ms);
		if (rc == -1 && up)
			logline(
			    LOG_WARNING, "log-unreadable", "stream=%s", STREAM);
		if (rc != -1 && !up)
			logline(
			    LOG_NOTICE, "log-readable", "stream=%s", STREAM);
		up = rc != -1;
		if (rc == 1)
			continue;
		poll(&p, 1,
		    (int)(s->poll_ms * 3 / 4 + rand_u64() % (s->poll_ms / 2)));
	}
	rcu_unregister_thread();
	return NULL;
}
