#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/logline.h"

/* At most this many lines of one event within one period. */
#define EVENT_LINES_MAX 20
#define EVENT_PERIOD_MS 1000
#define EVENT_SLOTS 64
#define LINE_BYTES_MAX 1024

struct event_slot {
	const char *event;
	uint64_t start;
	unsigned int lines;
	unsigned int dropped;
};

static unsigned int event_admit(const char *, int *);

static const char *const pri_names[] = { "emerg", "alert", "crit", "err",
	"warning", "notice", "info", "debug" };

static const char *prog = "cyclamenvale";
static int pri_max = LOG_INFO;
static struct event_slot slots[EVENT_SLOTS];
static pthread_mutex_t slots_lock = PTHREAD_MUTEX_INITIALIZER;

/*
 * Sets the program name that starts each line and the least severe priority
 * that is still printed.
 */
void
logline_init(const char *name, int max)
{
	prog = name;
	pri_max = max;
}

/*
 * Decides whether another line of this event may be printed now.  Sets *ok
 * and returns how many lines were dropped since the last one printed.
 */
static unsigned int
event_admit(const char *event, int *ok)
{
	struct event_slot *s;
	uint64_t now = clock_ms();
	unsigned int dropped = 0, i, h = 0;
	const char *p;

	for (p = event; *p != '\0'; p++)
		h = h * 31 + (unsigned char)*p;
	pthread_mutex_lock(&slots_lock);
	i = h % EVENT_SLOTS;
	s = &slots[i];
	if (s->event == NULL || strcmp(s->event, event) != 0 ||
	    now - s->start >= EVENT_PERIOD_MS) {
		dropped = s->dropped;
		s->event = event;
		s->start = now;
		s->lines = 0;
		s->dropped = 0;
	}
	*ok = s->lines < EVENT_LINES_MAX;
	if (*ok)
		s->lines++;
	else
		s->dropped++;
	pthread_mutex_unlock(&slots_lock);
	return dropped;
}

/*
 * Prints one event on standard error in the manner of syslog: priority,
 * program, process, event name and formatted key=value fields.  The event
 * name must be a string literal.  Repeated events are rate-limited.
 */
void
logline(int pri, const char *event, const char *fmt, ...)
{
	char buf[LINE_BYTES_MAX];
	unsigned int dropped;
	va_list ap;
	int ok;

	if (pri > pri_max)
		return;
	dropped = event_admit(event, &ok);
	if (!ok)
		return;
	va_start(ap, fmt);
	vsnprintf(buf, sizeof(buf), fmt, ap);
	va_end(ap);
	if (dropped > 0)
		fprintf(stderr, "<%d>%s[%d]: %s: event=%s dropped=%u %s\n", pri,
		    prog, (int)getpid(), pri_names[pri & LOG_PRIMASK], event,
		    dropped, buf);
	else
		fprintf(stderr, "<%d>%s[%d]: %s: event=%s %s\n", pri, prog,
		    (int)getpid(), pri_names[pri & LOG_PRIMASK], event, buf);
}
