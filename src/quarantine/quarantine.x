/* Quarantine messages: crash reports, clearances, and pages of the table. */

const QUARANTINE_REPORT_FINGERPRINTS = 60;
const QUARANTINE_PAGE_ROWS = 30;

struct quarantine_fingerprint_msg {
	unsigned hyper lo;
	unsigned hyper hi;
};

/*
 * Reports a server crash during which these requests were in flight, or
 * clears the requests of it because they have run without a crash since.
 */
struct quarantine_report_arg {
	unsigned hyper crash_id;
	bool cleared;
	unsigned int age_ms;
	quarantine_fingerprint_msg prints<QUARANTINE_REPORT_FINGERPRINTS>;
};

struct quarantine_report_res {
	bool accepted;
};

struct quarantine_page_arg {
	unsigned int from;
};

struct quarantine_row_msg {
	quarantine_fingerprint_msg print;
	unsigned hyper crash_id;
	bool cleared;
	unsigned int age_ms;
};

/* next is the position of the next page, or 0 after the last page. */
struct quarantine_page_res {
	unsigned int next;
	quarantine_row_msg rows<QUARANTINE_PAGE_ROWS>;
};
