/* Quarantine messages: crash reports, clearances, and pages of the table. */

const QUARANTINE_NEWS_PRINTS = 60;
const QUARANTINE_PAGE = 30;

struct quarantine_print_msg {
	unsigned hyper lo;
	unsigned hyper hi;
};

/*
 * Reports a server crash during which these requests were in flight, or
 * clears the requests of it because they have run without a crash since.
 */
struct quarantine_news_arg {
	unsigned hyper death;
	bool acquitted;
	unsigned int age_ms;
	quarantine_print_msg prints<QUARANTINE_NEWS_PRINTS>;
};

struct quarantine_news_res {
	bool taken;
};

struct quarantine_page_arg {
	unsigned int from;
};

struct quarantine_row_msg {
	quarantine_print_msg print;
	unsigned hyper death;
	bool acquitted;
	unsigned int age_ms;
};

/* next is the position of the next page, or 0 after the last page. */
struct quarantine_page_res {
	unsigned int next;
	quarantine_row_msg rows<QUARANTINE_PAGE>;
};
