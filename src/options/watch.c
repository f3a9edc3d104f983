#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/loopclock.h"
#include "event/event.h"
#include "options/watch.h"

#define POLL_MS 2000
/* Time after which all nodes are taken to have a changed file. */
#define SPREAD_MS 10000
#define FINDINGS_LOGGED_MAX 10

static void on_timer(uv_timer_t *);
static void on_signal(uv_signal_t *, int);
static void log_change(void *, const char *, enum options_effect);
static void reject(struct options_watch *, const struct node_options *,
    const struct finds *, const char *);
static void accept_settings(
    struct options_watch *, const struct node_options *, const char *);

/*
 * Starts to watch the file of the settings in force, if they have one, and
 * handles SIGHUP.  Calls on_change after the settings in force have changed.
 */
void
options_watch_init(struct options_watch *w, uv_loop_t *loop,
    struct node_options *in_force, const struct options_source *source,
    void (*on_change)(void *), void *ctx)
{
	memset(w, 0, sizeof(*w));
	w->in_force = in_force;
	w->accepted = *in_force;
	w->source = source;
	w->on_change = on_change;
	w->ctx = ctx;
	uv_timer_init(loop, &w->timer);
	w->timer.data = w;
	uv_signal_init(loop, &w->sighup);
	w->sighup.data = w;
	uv_signal_start(&w->sighup, on_signal, SIGHUP);
	if (in_force->path[0] != '\0')
		uv_timer_start(&w->timer, on_timer, POLL_MS, POLL_MS);
}

/*
 * Stops watching.
 */
void
options_watch_close(struct options_watch *w)
{
	uv_close((uv_handle_t *)&w->timer, NULL);
	uv_close((uv_handle_t *)&w->sighup, NULL);
}

/*
 * Reads the file on SIGHUP.
 */
static void
on_signal(uv_signal_t *handle, int signum)
{
	(void)signum;
	options_watch_read(handle->data, "signal");
}

/*
 * Reads the file, as it may change without a signal.
 */
static void
on_timer(uv_timer_t *timer)
{
	options_watch_read(timer->data, NULL);
}

/*
 * Logs a changed setting and how it takes effect.
 */
static void
log_change(void *ctx, const char *name, enum options_effect effect)
{
	static const char *const effects[] = {
		[OPTIONS_AT_RESTART] = "at-restart",
		[OPTIONS_AT_ONCE] = "at-once",
		[OPTIONS_STRICTER_FIRST] = "stricter-first",
	};
	struct options_watch *w = ctx;

	event_log(EVENT_SETTING_CHANGED, loop_ms(w->timer.loop),
	    "setting=%s effect=%s", name, effects[effect]);
}

/*
 * Keeps the settings in force and logs why the file can't be used, once for
 * each text of the file.
 */
static void
reject(struct options_watch *w, const struct node_options *new,
    const struct finds *finds, const char *source)
{
	uint64_t now = loop_ms(w->timer.loop);
	size_t i;

	if (source == NULL &&
	    (new->file_digest == 0 ? w->unreadable
				   : new->file_digest == w->rejected_digest))
		return;
	w->unreadable = new->file_digest == 0;
	w->rejected_digest = new->file_digest;
	w->rejections++;
	for (i = 0; i < finds->count && i < FINDINGS_LOGGED_MAX; i++)
		event_log(EVENT_SETTINGS_INVALID, now,
		    "place=\"%s\" reason=\"%s\" value=\"%s\"",
		    finds->list[i].place, finds->list[i].text,
		    finds->list[i].detail);
}

/*
 * Puts new settings into force.
 */
static void
accept_settings(
    struct options_watch *w, const struct node_options *new, const char *source)
{
	uint64_t now = loop_ms(w->timer.loop);
	size_t changed;

	changed = options_compare(&w->accepted, new, log_change, w);
	if (changed > 0 || w->left_out == 0)
		w->accepted_ms = now;
	w->accepted = *new;
	w->unreadable = 0;
	w->rejected_digest = 0;
	w->reloads++;
	w->left_out = options_apply(w->in_force, new, 0);
	event_log(EVENT_SETTINGS_READ, now,
	    "changed=%zu version=%016" PRIx64 " source=%s left_out=%d", changed,
	    new->file_digest, source, w->left_out);
	w->on_change(w->ctx);
}

/*
 * Reads the file again and uses it if it is valid as a whole.  source says why,
 * for the log; NULL: only to see whether it has changed.
 */
void
options_watch_read(struct options_watch *w, const char *source)
{
	uint64_t now = loop_ms(w->timer.loop);
	static struct node_options new;
	struct finds finds;

	if (w->in_force->path[0] == '\0') {
		event_log(
		    EVENT_SETTINGS_READ, now, "changed=0 reason=command-line");
		return;
	}
	finds_init(&finds);
	if (options_read_again(&new, w->source, &finds) != 0) {
		reject(w, &new, &finds, source);
	} else if (source != NULL || w->rejected_digest != 0 || w->unreadable ||
		   new.file_digest != w->accepted.file_digest) {
		accept_settings(w, &new, source != NULL ? source : "file");
	}
	finds_finish(&finds);
	if (w->left_out == 0 || now - w->accepted_ms < SPREAD_MS)
		return;
	w->left_out = options_apply(w->in_force, &w->accepted, 1);
	event_log(EVENT_SETTINGS_READ, now,
	    "changed=0 version=%016" PRIx64 " source=spread left_out=0",
	    w->accepted.file_digest);
	w->on_change(w->ctx);
}

/*
 * Writes the version of the settings in force, and how often the file was used
 * and rejected.
 */
void
options_watch_metrics(const struct options_watch *w, struct h1_text *t)
{
	h1_text_addf(t,
	    "cyclamenvale_settings{version=\"%016" PRIx64 "\"} 1\n"
	    "cyclamenvale_settings_reads_total %" PRIu64 "\n"
	    "cyclamenvale_settings_rejections_total %" PRIu64 "\n"
	    "cyclamenvale_settings_left_out %d\n",
	    w->in_force->file_digest, w->reloads, w->rejections, w->left_out);
}
