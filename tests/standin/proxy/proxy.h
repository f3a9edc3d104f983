#ifndef STANDIN_PROXY_H
#define STANDIN_PROXY_H

#include <jansson.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#define NAME_BYTES 24
#define MAPS_MAX 64

/*
 * What happens on the way from one group of addresses to another.
 */
struct rule {
	char from[NAME_BYTES]; /* an address, a group's name or "*" */
	char to[NAME_BYTES];
	int64_t delay_us;
	int64_t cut;	     /* nothing passes until it is lifted */
	int64_t reset;	     /* connections are closed at once */
	int64_t cut_after;   /* bytes of answers after which to close, 0 off */
	int64_t garbage;     /* answers are replaced by noise */
	int64_t lose_answer; /* answers to come that are dropped, then closed */
	int64_t loss;	     /* percent of datagrams */
	int64_t twice;	     /* datagrams arrive twice */
};

/*
 * One address that the proxy listens on, and the one it stands for.
 */
struct map {
	char from[NAME_BYTES];
	char to[NAME_BYTES];
	int tcp_port;
	int udp_port;
};

void rule_group(const char *, const char *);
void rule_set(const json_t *);
struct rule rule_get(uint32_t, uint32_t);
bool rule_lose_answer(uint32_t, uint32_t);
void rule_hold(uint32_t, uint32_t);
uint64_t proxy_random(void);
struct sockaddr_in proxy_address(const char *, int);

int tcp_start(const struct map *);
void tcp_reset(void);
int udp_start(const struct map *);

#endif
