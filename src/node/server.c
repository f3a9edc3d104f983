#include <string.h>

#include "node/server.h"

/*
 * Prepares the state of a server that has not announced itself.
 */
void
server_init(struct server *s)
{
	memset(s, 0, sizeof(*s));
	pthread_mutex_init(&s->lock, NULL);
	s->announce.server.state = MEMBER_SERVER_NONE;
}

/*
 * Ends it.
 */
void
server_finish(struct server *s)
{
	pthread_mutex_destroy(&s->lock);
}

/*
 * Takes an announcement at a time (ms) and tells what it changed.  A late
 * announcement of a process that was seen dead changes nothing, and draining
 * lasts until another process announces itself.
 */
enum server_change
server_announced(
    struct server *s, const struct member_announce *a, uint64_t now)
{
	enum server_change change = SERVER_SAME;
	struct member_server *was = &s->announce.server;

	pthread_mutex_lock(&s->lock);
	if (a->server.incarnation == s->dead_incarnation) {
		pthread_mutex_unlock(&s->lock);
		return SERVER_SAME;
	}
	if (was->state == MEMBER_SERVER_NONE ||
	    was->incarnation != a->server.incarnation) {
		change = was->state == MEMBER_SERVER_UP ? SERVER_REPLACED
							: SERVER_NEW;
		s->draining = 0;
		s->dead_incarnation = 0;
	} else if (was->slots != a->server.slots ||
		   strcmp(was->service, a->server.service) != 0 ||
		   s->announce.port != a->port || s->announce.addr != a->addr) {
		change = SERVER_CHANGED;
	}
	s->announce = *a;
	s->announce.server.state =
	    s->draining ? MEMBER_SERVER_DRAINING : MEMBER_SERVER_UP;
	s->heard_ms = now;
	pthread_mutex_unlock(&s->lock);
	return change;
}

/*
 * Notes that the server takes no new work.
 */
void
server_drain(struct server *s)
{
	pthread_mutex_lock(&s->lock);
	s->draining = 1;
	if (s->announce.server.state == MEMBER_SERVER_UP)
		s->announce.server.state = MEMBER_SERVER_DRAINING;
	pthread_mutex_unlock(&s->lock);
}

/*
 * Notes that the server has gone.
 */
void
server_gone(struct server *s)
{
	pthread_mutex_lock(&s->lock);
	s->announce.server.state = MEMBER_SERVER_NONE;
	pthread_mutex_unlock(&s->lock);
}

/*
 * Notes that the process of that incarnation answered a request at a time
 * (ms): it is alive, even where its announcements are late.
 */
void
server_heard(struct server *s, uint64_t incarnation, uint64_t now)
{
	pthread_mutex_lock(&s->lock);
	if (s->announce.server.state != MEMBER_SERVER_NONE &&
	    s->announce.server.incarnation == incarnation && now > s->heard_ms)
		s->heard_ms = now;
	pthread_mutex_unlock(&s->lock);
}

/*
 * Notes that the process of that incarnation died.  Returns 1 to the first
 * caller that says so.
 */
int
server_died(struct server *s, uint64_t incarnation)
{
	int first = 0;

	pthread_mutex_lock(&s->lock);
	if (s->announce.server.state != MEMBER_SERVER_NONE &&
	    s->announce.server.incarnation == incarnation) {
		s->announce.server.state = MEMBER_SERVER_NONE;
		s->dead_incarnation = incarnation;
		first = 1;
	}
	pthread_mutex_unlock(&s->lock);
	return first;
}

/*
 * Copies the server's state at a time (ms); silence ends an announcement.
 */
void
server_get(struct server *s, uint64_t now, struct member_announce *out)
{
	pthread_mutex_lock(&s->lock);
	if (s->announce.server.state != MEMBER_SERVER_NONE &&
	    !member_announce_live(s->heard_ms, now))
		s->announce.server.state = MEMBER_SERVER_NONE;
	*out = s->announce;
	pthread_mutex_unlock(&s->lock);
}
