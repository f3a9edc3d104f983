#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "event/event.h"

#define BUFFER_BYTES 65536 /* holds lines for a slow reader */
#define LINE_BYTES 512
#define RATE_PERIOD_MS 1000
#define RATE_LINES_MAX 20 /* of one event in one period */

struct event_desc {
	const char *severity;
	const char *name;
};

/* Lines of an event in the current period. */
struct event_rate {
	uint64_t start_ms;
	uint32_t lines;
	uint32_t suppressed;
};

static void append_line(const char *, size_t);

static const struct event_desc event_descs[EVENT_MAX] = {
	[EVENT_START] = { "info", "start" },
	[EVENT_READY] = { "info", "ready" },
	[EVENT_STOPPING] = { "info", "stopping" },
	[EVENT_STOPPED] = { "info", "stopped" },
	[EVENT_SETTINGS_READ] = { "info", "settings-read" },
	[EVENT_SETTINGS_INVALID] = { "warning", "settings-invalid" },
	[EVENT_SETTING_CHANGED] = { "notice", "setting-changed" },
	[EVENT_CONFIG_IN_FORCE] = { "info", "config-in-force" },
	[EVENT_CONFIG_INVALID] = { "warning", "config-invalid" },
	[EVENT_CONFIG_OUTDATED] = { "notice", "config-outdated" },
	[EVENT_CONFIG_COPY_FAILED] = { "notice", "config-copy-failed" },
	[EVENT_STORE_READERS] = { "info", "store-readers" },
	[EVENT_PROOF_OVERDUE] = { "notice", "proof-overdue" },
	[EVENT_STORE_LOST] = { "warning", "store-lost" },
	[EVENT_STORE_REGAINED] = { "info", "store-regained" },
	[EVENT_STORE_RESTORED] = { "warning", "store-restored" },
	[EVENT_PEER_NEW] = { "info", "peer-new" },
	[EVENT_PEER_CHANGED] = { "info", "peer-changed" },
	[EVENT_QUORUM] = { "notice", "quorum" },
	[EVENT_NODE_DELISTED] = { "info", "node-delisted" },
	[EVENT_SEAL_REJECTED] = { "warning", "strangers" },
	[EVENT_SERVER_NEW] = { "info", "server-new" },
	[EVENT_SERVER_LEAVING] = { "info", "server-leaving" },
	[EVENT_SERVER_DEPARTED] = { "info", "server-gone" },
	[EVENT_SERVER_LOST] = { "warning", "server-lost" },
	[EVENT_SERVER_REGAINED] = { "info", "server-regained" },
	[EVENT_SERVER_RATE] = { "notice", "server-rate" },
	[EVENT_ANNOUNCEMENT_INVALID] = { "warning", "announcement-invalid" },
	[EVENT_REQUEST_REFUSED] = { "notice", "request-refused" },
	[EVENT_REQUEST_FAILED] = { "notice", "request-failed" },
	[EVENT_REQUEST_RETRIED] = { "info", "request-retried" },
	[EVENT_CALLER_DISCONNECTED] = { "info", "caller-gone" },
	[EVENT_SERVER_REFUSAL] = { "notice", "server-refusal" },
	[EVENT_SERVER_FAILURE] = { "notice", "server-failure" },
	[EVENT_RUN_CANCELLED] = { "info", "run-cancelled" },
	[EVENT_CRASH_REPORT] = { "warning", "request-struck" },
	[EVENT_SERVED] = { "info", "served" },
	[EVENT_THROTTLE] = { "notice", "throttle" },
	[EVENT_LIMIT_OWNED] = { "info", "limit-owned" },
	[EVENT_LINES_DROPPED] = { "warning", "lines-dropped" },
};

static char node_name[64] = "-";
static struct event_rate rates[EVENT_MAX];
static char buffer[BUFFER_BYTES];
static size_t buffer_len;
static uint64_t lines_dropped;
static uint64_t lines_dropped_reported;
static uint64_t clock_offset_ms; /* Unix time minus the caller's clock */
static int discard_lines;

/*
 * Sets the node name for all lines, and the time (ms) that the caller's clock
 * shows at this moment.  Lines carry the time of day, so that the logs of
 * several nodes can be merged.  Makes standard output non-blocking.  If discard
 * is set, no lines are written.
 */
void
event_init(const char *node, int discard, uint64_t now)
{
	struct timespec ts;
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	snprintf(node_name, sizeof(node_name), "%s", node);
	discard_lines = discard;
	clock_gettime(CLOCK_REALTIME, &ts);
	clock_offset_ms =
	    (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000 - now;
	if (flags != -1)
		(void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/*
 * Appends a line to the buffer, or drops all of it if it does not fit.
 */
static void
append_line(const char *p, size_t n)
{
	if (buffer_len + n > sizeof(buffer))
		event_flush();
	if (buffer_len + n > sizeof(buffer)) {
		lines_dropped++;
		return;
	}
	memcpy(buffer + buffer_len, p, n);
	buffer_len += n;
}

/*
 * Logs an event at a time of the caller's clock (ms) with its key=value fields.
 * Writes at most RATE_LINES_MAX lines of an event per period and counts the
 * suppressed rest.
 */
void
event_log(enum event e, uint64_t now, const char *fmt, ...)
{
	struct event_rate *r = &rates[e];
	uint64_t time_ms = clock_offset_ms + now;
	char line[LINE_BYTES];
	size_t n;
	va_list ap;

	if (discard_lines)
		return;
	if (now - r->start_ms >= RATE_PERIOD_MS) {
		if (r->suppressed > 0) {
			n = (size_t)snprintf(line, sizeof(line),
			    "t=%llu node=%s level=%s event=%s suppressed=%u\n",
			    (unsigned long long)time_ms, node_name,
			    event_descs[e].severity, event_descs[e].name,
			    r->suppressed);
			append_line(line, n);
		}
		r->start_ms = now;
		r->lines = 0;
		r->suppressed = 0;
	}
	if (++r->lines > RATE_LINES_MAX) {
		r->suppressed++;
		return;
	}
	n = (size_t)snprintf(line, sizeof(line),
	    "t=%llu node=%s level=%s event=%s ", (unsigned long long)time_ms,
	    node_name, event_descs[e].severity, event_descs[e].name);
	va_start(ap, fmt);
	n += (size_t)vsnprintf(line + n, sizeof(line) - n, fmt, ap);
	va_end(ap);
	if (n > sizeof(line) - 2)
		n = sizeof(line) - 2;
	line[n++] = '\n';
	append_line(line, n);
}

/*
 * Writes as much of the buffer as standard output accepts without blocking.
 */
void
event_flush(void)
{
	char line[LINE_BYTES];
	ssize_t n;

	if (lines_dropped > lines_dropped_reported &&
	    buffer_len + sizeof(line) < sizeof(buffer)) {
		n = snprintf(line, sizeof(line),
		    "node=%s level=%s event=%s total=%llu\n", node_name,
		    event_descs[EVENT_LINES_DROPPED].severity,
		    event_descs[EVENT_LINES_DROPPED].name,
		    (unsigned long long)lines_dropped);
		lines_dropped_reported = lines_dropped;
		append_line(line, (size_t)n);
	}
	if (buffer_len == 0)
		return;
	n = write(STDOUT_FILENO, buffer, buffer_len);
	if (n < 0 && errno != EAGAIN && errno != EINTR)
		n = (ssize_t)buffer_len; /* not writable: discard */
	if (n <= 0)
		return;
	buffer_len -= (size_t)n;
	memmove(buffer, buffer + n, buffer_len);
}

/*
 * Returns the number of lines dropped since the start.
 */
uint64_t
event_dropped(void)
{
	return lines_dropped;
}
