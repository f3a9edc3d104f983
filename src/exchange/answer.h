#ifndef EXCHANGE_ANSWER_H
#define EXCHANGE_ANSWER_H

#include "exchange/client.h"
#include "exchange/head.h"
#include "exchange/reason.h"
#include "exchange/request.h"

#define ANSWER_HOLD_BYTES 65536 /* of a body, held before passing it on */

/*
 * An answer on its way to a connection.  A short one is held until it is
 * whole, so that it can still be replaced; a long one is passed on as it
 * arrives.
 */
struct answer {
	struct request *req;
	struct head head;
	char *held;
	size_t held_len;
	size_t held_cap;
	int has_head;
	int started; /* bytes have been passed on */
	int broken;  /* the connection took no more */
};

void answer_init(struct answer *, struct request *);
void answer_finish(struct answer *);
void answer_reset(struct answer *);
void answer_sink(struct answer *, struct answer_sink *);
void answer_end(struct answer *);
void answer_break(struct answer *);
void answer_refuse(struct request *, enum outcome, enum reason, const char *,
    int, const struct head *);

#endif
