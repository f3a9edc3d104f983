#ifndef FOLLOW_FOLLOW_INT_H
#define FOLLOW_FOLLOW_INT_H

#include "follow/follow.h"

#define FOLLOW_NEWEST_TIMEOUT_MS 1200
#define FOLLOW_RETRY_DOUBLINGS 3

uint64_t follow_retry_delay_ms(uint64_t, uint32_t, uint32_t);
void follow_note_era(struct follower *, const struct store_reply *);

/* node_list.c */
void node_list_start(struct follower *);

#endif
