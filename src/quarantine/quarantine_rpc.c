#include <string.h>

#include "base/clock.h"
#include "quarantine/quarantine.h"
#include "quarantine/quarantine_xdr.h"

#define PAGE_TIMEOUT_MS 300

static int handle_report(
    void *, const struct sockaddr_in *, const void *, void *);
static int handle_page(
    void *, const struct sockaddr_in *, const void *, void *);
static void add_row(void *, const struct quarantine_fingerprint *,
    const struct quarantine_report *);

const struct rpc_proc quarantine_procs[QUARANTINE_PROC_MAX] = {
	[QUARANTINE_PROC_REPORT] = { RPC_BLOCK_QUARANTINE + 1,
	    (xdrproc_t)xdr_quarantine_report_arg, sizeof(quarantine_report_arg),
	    (xdrproc_t)xdr_quarantine_report_res, sizeof(quarantine_report_res),
	    handle_report },
	[QUARANTINE_PROC_PAGE] = { RPC_BLOCK_QUARANTINE + 2,
	    (xdrproc_t)xdr_quarantine_page_arg, sizeof(quarantine_page_arg),
	    (xdrproc_t)xdr_quarantine_page_res, sizeof(quarantine_page_res),
	    handle_page },
};

/* The response that handle_page() fills. */
struct page {
	uint64_t now_ms;
	quarantine_page_res *res;
};

/*
 * Reports to all other members that requests were in flight at a crash, or
 * clears the requests of it.  Sends as many messages as the fingerprints
 * need.
 */
void
quarantine_broadcast(struct quarantine *q, uint64_t crash_id, int cleared,
    const struct quarantine_fingerprint *prints, size_t count)
{
	quarantine_fingerprint_msg rows[QUARANTINE_REPORT_FINGERPRINTS];
	quarantine_report_arg arg = { .crash_id = crash_id,
		.cleared = cleared };
	size_t i, n;

	if (q->broadcast == NULL)
		return;
	arg.prints.prints_val = rows;
	for (; count > 0; prints += n, count -= n) {
		n = count < QUARANTINE_REPORT_FINGERPRINTS
			? count
			: QUARANTINE_REPORT_FINGERPRINTS;
		for (i = 0; i < n; i++) {
			rows[i].lo = prints[i].lo;
			rows[i].hi = prints[i].hi;
		}
		arg.prints.prints_len = (u_int)n;
		q->broadcast(q->broadcast_ctx,
		    &quarantine_procs[QUARANTINE_PROC_REPORT], &arg);
	}
}

/*
 * Fetches all crash reports and clearances of a peer and merges them.  A
 * node does this when it starts, and periodically to make up for lost
 * messages.  Blocks for up to 300 ms per page.  Returns 0, or -1 if the peer
 * failed to answer a request for a page.
 */
int
quarantine_sync(struct quarantine *q, rpc_call_fn call, void *ctx,
    const struct node_id *peer)
{
	quarantine_page_arg arg = { 0 };
	quarantine_page_res res;
	const quarantine_row_msg *r;
	struct quarantine_fingerprint p;
	u_int i;

	do {
		memset(&res, 0, sizeof(res));
		if (call(ctx, peer, &quarantine_procs[QUARANTINE_PROC_PAGE],
			&arg, &res, PAGE_TIMEOUT_MS) != RPC_DONE)
			return -1;
		for (i = 0; i < res.rows.rows_len; i++) {
			r = &res.rows.rows_val[i];
			p.lo = r->print.lo;
			p.hi = r->print.hi;
			quarantine_merge_report(q, &p, r->crash_id, r->cleared,
			    r->age_ms, clock_ms());
		}
		if (res.next != 0 && res.next <= arg.from)
			res.next = 0;
		arg.from = res.next;
		xdr_free((xdrproc_t)xdr_quarantine_page_res, (char *)&res);
	} while (arg.from != 0);
	return 0;
}

/*
 * Merges the crash reports or clearances that a peer has sent.
 */
static int
handle_report(
    void *ctx, const struct sockaddr_in *from, const void *argp, void *resp)
{
	const quarantine_report_arg *arg = argp;
	quarantine_report_res *res = resp;
	struct quarantine_fingerprint p;
	uint64_t now = clock_ms();
	u_int i;

	(void)from;
	for (i = 0; i < arg->prints.prints_len; i++) {
		p.lo = arg->prints.prints_val[i].lo;
		p.hi = arg->prints.prints_val[i].hi;
		quarantine_merge_report(
		    ctx, &p, arg->crash_id, arg->cleared, arg->age_ms, now);
	}
	res->accepted = 1;
	return 0;
}

/*
 * Returns one page of the crash reports and clearances known here.
 */
static int
handle_page(
    void *ctx, const struct sockaddr_in *from, const void *argp, void *resp)
{
	const quarantine_page_arg *arg = argp;
	struct page page = { clock_ms(), resp };

	(void)from;
	page.res->rows.rows_val =
	    calloc(QUARANTINE_PAGE_ROWS, sizeof(*page.res->rows.rows_val));
	if (page.res->rows.rows_val == NULL)
		return -1;
	page.res->next = quarantine_read_page(
	    ctx, arg->from, page.now_ms, add_row, &page, QUARANTINE_PAGE_ROWS);
	return 0;
}

/*
 * Appends one crash report or clearance to a page.
 */
static void
add_row(void *ctx, const struct quarantine_fingerprint *p,
    const struct quarantine_report *report)
{
	struct page *page = ctx;
	quarantine_row_msg *r;

	r = &page->res->rows.rows_val[page->res->rows.rows_len++];
	r->print.lo = p->lo;
	r->print.hi = p->hi;
	r->crash_id = report->crash_id;
	r->cleared = report->cleared;
	r->age_ms = (u_int)(page->now_ms - report->crashed_ms);
}
