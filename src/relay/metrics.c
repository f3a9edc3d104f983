#include "base/loopclock.h"
#include "event/event.h"
#include "relay/relay_int.h"

#define MS_PER_S 1000.0

static void write_histogram(
    struct h1_text *, const char *, const struct latency *);

/*
 * Writes a histogram in seconds, the unit of the exposition format.
 */
static void
write_histogram(struct h1_text *t, const char *name, const struct latency *l)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < LATENCY_BUCKETS; i++) {
		sum += l->counts[i];
		h1_text_addf(t,
		    "cyclamenvale_%s_seconds_bucket{le=\"%.3f\"} %llu\n", name,
		    (double)latency_bound(i) / MS_PER_S,
		    (unsigned long long)sum);
	}
	h1_text_addf(t,
	    "cyclamenvale_%s_seconds_bucket{le=\"+Inf\"} %llu\n"
	    "cyclamenvale_%s_seconds_sum %.3f\n"
	    "cyclamenvale_%s_seconds_count %llu\n",
	    name, (unsigned long long)l->total, name,
	    (double)l->sum_ms / MS_PER_S, name, (unsigned long long)l->total);
}

/*
 * Writes the metrics of a relay in the text exposition format.
 */
void
relay_write_metrics(const struct relay *r, struct h1_text *t)
{
	struct fleet_counts n;
	int i;

	for (i = 0; i < RELAY_COUNTER_MAX; i++)
		h1_text_addf(t, "cyclamenvale_%s_total %llu\n",
		    relay_counter_name((enum relay_counter)i),
		    (unsigned long long)r->counters[i]);
	h1_text_addf(t, "cyclamenvale_bad_datagrams_total %llu\n",
	    (unsigned long long)r->net.undecodable);
	h1_text_addf(t, "cyclamenvale_unsealed_datagrams_total %llu\n",
	    (unsigned long long)r->net.seal_rejected);
	h1_text_addf(t, "cyclamenvale_lines_dropped_total %llu\n",
	    (unsigned long long)event_dropped());
	write_histogram(t, "answer", &r->entry_latency);
	write_histogram(t, "server_run", &r->server_latency);
	h1_text_addf(t, "cyclamenvale_server_running %u\n", r->core.inflight);
	h1_text_addf(t, "cyclamenvale_server_waiting %u\n", r->core.queued);
	h1_text_addf(t, "cyclamenvale_server_limit %u\n",
	    limiter_value(&r->core.limiter));
	h1_text_addf(t, "cyclamenvale_server_named_per_second %.3f\n",
	    r->cap.active ? r->cap.per_s : 0);
	h1_text_addf(t, "cyclamenvale_config_version %llu\n",
	    (unsigned long long)(r->config != NULL ? r->config->version : 0));
	h1_text_addf(t, "cyclamenvale_config_proof_age_seconds %.3f\n",
	    (double)(r->loop != NULL ? relay_proof_age_ms(r) : 0) / MS_PER_S);
	fleet_count(&r->fleet, r->loop != NULL ? loop_ms(r->loop) : 0, &n);
	h1_text_addf(t,
	    "cyclamenvale_nodes_known %u\ncyclamenvale_nodes_alive %u\n"
	    "cyclamenvale_nodes_unheard %u\n",
	    n.known != FLEET_SIZE_UNKNOWN ? n.known : 0, n.alive, n.unheard);
	h1_text_addf(t, "cyclamenvale_held_bytes %llu\n",
	    (unsigned long long)r->buffered_bytes);
}
