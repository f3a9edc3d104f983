/* Messages of the quarantine: strikes, acquittals, and all for newcomers. */

const QUARANTINE_NEWS_PRINTS = 60;
const QUARANTINE_PAGE = 30;

struct quarantine_print_msg {
	unsigned hyper lo;
	unsigned hyper hi;
};

/*
 * The server death that these requests were in flight at; or that they are
 * acquitted of, having run to their end since.
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

/* The next page begins at next; 0 ends the table. */
struct quarantine_page_res {
	unsigned int next;
	quarantine_row_msg rows<QUARANTINE_PAGE>;
};
