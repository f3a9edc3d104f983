#ifndef BASE_HTTP_SYNTAX_H
#define BASE_HTTP_SYNTAX_H

#include <stddef.h>
#include <stdint.h>

#define HTTP_SYNTAX_ERROR SIZE_MAX

/* What the next byte of a response belongs to. */
enum http_syntax_state {
	SYNTAX_START,	   /* the status line, or empty lines before it */
	SYNTAX_STATUS,	   /* the version or status */
	SYNTAX_STATUS_END, /* what follows the status */
	SYNTAX_TEXT,	   /* a reason phrase or a field's value */
	SYNTAX_LINE_END,   /* the line feed after a carriage return */
	SYNTAX_FIELD,	   /* a field, or the empty line after the last */
	SYNTAX_NAME,
	SYNTAX_HEAD_END, /* the line feed of the empty line */
	SYNTAX_BODY,
	SYNTAX_CHUNK_SIZE,     /* the first digit */
	SYNTAX_CHUNK_DIGITS,   /* more digits, or what follows them */
	SYNTAX_CHUNK_BLANK,    /* blanks behind the digits */
	SYNTAX_CHUNK_TEXT,     /* an extension */
	SYNTAX_CHUNK_LINE_END, /* the line feed behind the size */
	SYNTAX_CHUNK_DATA,
	SYNTAX_CHUNK_CR, /* the line end behind the data */
	SYNTAX_CHUNK_LF,
	SYNTAX_DONE, /* nothing: the trailers have ended */
	SYNTAX_INVALID
};

/* The check of a response's syntax. */
struct http_syntax {
	enum http_syntax_state state;
	uint32_t matched; /* bytes of the status line */
	int in_trailers;
	uint64_t chunk_left; /* bytes */
};

/* What a line of a response is. */
enum http_line {
	HTTP_LINE_INVALID, /* or beyond the limit of bytes */
	HTTP_LINE_STATUS,
	HTTP_LINE_FIELD,
	HTTP_LINE_END, /* of a head */
	HTTP_LINE_TRAILER
};

/* The lines of one exchange's heads and trailers, as libcurl passes them on. */
struct http_lines {
	struct http_syntax syntax;
	int status;
	size_t bytes;
};

int http_status_is_valid(unsigned int);
int http_is_chunked(const char *, size_t);
void http_syntax_init(struct http_syntax *);
void http_syntax_begin_chunks(struct http_syntax *);
void http_syntax_begin_trailers(struct http_syntax *);
size_t http_syntax_check(struct http_syntax *, const char *, size_t);

void http_lines_init(struct http_lines *);
enum http_line http_lines_add(struct http_lines *, const char *, size_t);
size_t http_lines_receive(char *, size_t, size_t, void *);

#endif
