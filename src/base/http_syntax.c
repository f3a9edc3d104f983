#include <ctype.h>
#include <string.h>
#include <strings.h>

#include "base/http_syntax.h"

#define STATUS_MIN 100
#define STATUS_MAX 599
#define DELETE 0x7f
#define LINES_BYTES_MAX 262144 /* of all heads and trailers of an exchange */

/*
 * Checks the syntax of responses beside the libraries that parse them.
 * http_parser, which Debian builds without its strict mode, takes blanks in the
 * names of fields, any byte after a carriage return or behind a chunk, and
 * statuses of any number of digits.  libcurl passes on the lines of a head with
 * any byte but zero.
 */

/* The start of a status line; a 0 stands for any digit. */
static const char status_line[] = "HTTP/1.0 000";

static int is_token_char(unsigned char);
static int is_text_char(unsigned char);
static enum http_syntax_state end_line(char);
static enum http_syntax_state next_in_head(struct http_syntax *, char);
static int hex_digit(char);
static enum http_syntax_state end_chunk_size(char);
static enum http_syntax_state next_in_chunks(struct http_syntax *, char);
static int status_of(const char *);

/*
 * Returns 1 if a status code belongs to one of the five classes of HTTP,
 * else 0.
 */
int
http_status_is_valid(unsigned int status)
{
	return status >= STATUS_MIN && status <= STATUS_MAX;
}

/*
 * Returns 1 if the value of a Transfer-Encoding field names chunks and nothing
 * else, else 0.
 */
int
http_is_chunked(const char *value, size_t n)
{
	static const char coding[] = "chunked";

	while (n > 0 && (value[n - 1] == ' ' || value[n - 1] == '\t'))
		n--;
	return n == strlen(coding) && strncasecmp(value, coding, n) == 0;
}

/*
 * Returns 1 if a byte may be part of a field's name, else 0.
 */
static int
is_token_char(unsigned char c)
{
	return c < 0x80 &&
	       (isalnum(c) || (c != '\0' && strchr("!#$%&'*+-.^_`|~", c)));
}

/*
 * Returns 1 if a byte may be part of a field's value or a reason phrase, else
 * 0.
 */
static int
is_text_char(unsigned char c)
{
	return c == '\t' || (c >= ' ' && c != DELETE);
}

/*
 * Prepares the check of a response.
 */
void
http_syntax_init(struct http_syntax *s)
{
	s->state = SYNTAX_START;
	s->matched = 0;
	s->in_trailers = 0;
}

/*
 * Continues behind a head with a body in chunks.
 */
void
http_syntax_begin_chunks(struct http_syntax *s)
{
	s->state = SYNTAX_CHUNK_SIZE;
}

/*
 * Continues behind the last chunk.
 */
void
http_syntax_begin_trailers(struct http_syntax *s)
{
	s->state = SYNTAX_FIELD;
	s->in_trailers = 1;
}

/*
 * Returns the state after a byte that should end a line.
 */
static enum http_syntax_state
end_line(char c)
{
	if (c == '\n')
		return SYNTAX_FIELD;
	return c == '\r' ? SYNTAX_LINE_END : SYNTAX_INVALID;
}

/*
 * Returns the state after the next byte of a head or of trailers.
 */
static enum http_syntax_state
next_in_head(struct http_syntax *s, char c)
{
	char expected;

	switch (s->state) {
	case SYNTAX_START:
		if (c == '\r' || c == '\n')
			return SYNTAX_START;
		/* FALLTHROUGH */
	case SYNTAX_STATUS:
		expected = status_line[s->matched++];
		if (expected == '0' ? !isdigit((unsigned char)c)
				    : c != expected)
			return SYNTAX_INVALID;
		return status_line[s->matched] == '\0' ? SYNTAX_STATUS_END
						       : SYNTAX_STATUS;
	case SYNTAX_STATUS_END:
		return c == ' ' ? SYNTAX_TEXT : end_line(c);
	case SYNTAX_TEXT:
		return is_text_char((unsigned char)c) ? SYNTAX_TEXT
						      : end_line(c);
	case SYNTAX_LINE_END:
		return c == '\n' ? SYNTAX_FIELD : SYNTAX_INVALID;
	case SYNTAX_FIELD:
		if (c == '\r')
			return SYNTAX_HEAD_END;
		if (c == '\n')
			return s->in_trailers ? SYNTAX_DONE : SYNTAX_BODY;
		return is_token_char((unsigned char)c) ? SYNTAX_NAME
						       : SYNTAX_INVALID;
	case SYNTAX_NAME:
		if (c == ':')
			return SYNTAX_TEXT;
		return is_token_char((unsigned char)c) ? SYNTAX_NAME
						       : SYNTAX_INVALID;
	case SYNTAX_HEAD_END:
		if (c != '\n')
			return SYNTAX_INVALID;
		return s->in_trailers ? SYNTAX_DONE : SYNTAX_BODY;
	default:
		return SYNTAX_INVALID;
	}
}

/*
 * Returns the value of a hexadecimal digit, or -1.
 */
static int
hex_digit(char c)
{
	const char *digits = "0123456789abcdef", *p;

	p = c == '\0' ? NULL : strchr(digits, tolower((unsigned char)c));
	return p == NULL ? -1 : (int)(p - digits);
}

/*
 * Returns the state after a byte behind the size of a chunk.
 */
static enum http_syntax_state
end_chunk_size(char c)
{
	if (c == ' ' || c == '\t')
		return SYNTAX_CHUNK_BLANK;
	if (c == ';')
		return SYNTAX_CHUNK_TEXT;
	return c == '\r' ? SYNTAX_CHUNK_LINE_END : SYNTAX_INVALID;
}

/*
 * Returns the state after the next byte of a body in chunks, other than the
 * bytes of a chunk.
 */
static enum http_syntax_state
next_in_chunks(struct http_syntax *s, char c)
{
	int digit = hex_digit(c);

	switch (s->state) {
	case SYNTAX_CHUNK_SIZE:
		if (digit == -1)
			return SYNTAX_INVALID;
		s->chunk_left = (uint64_t)digit;
		return SYNTAX_CHUNK_DIGITS;
	case SYNTAX_CHUNK_DIGITS:
		if (digit == -1)
			return end_chunk_size(c);
		if (s->chunk_left > UINT64_MAX >> 4)
			return SYNTAX_INVALID;
		s->chunk_left = s->chunk_left << 4 | (uint64_t)digit;
		return SYNTAX_CHUNK_DIGITS;
	case SYNTAX_CHUNK_BLANK:
		return end_chunk_size(c);
	case SYNTAX_CHUNK_TEXT:
		if (is_text_char((unsigned char)c))
			return SYNTAX_CHUNK_TEXT;
		return c == '\r' ? SYNTAX_CHUNK_LINE_END : SYNTAX_INVALID;
	case SYNTAX_CHUNK_LINE_END:
		if (c != '\n')
			return SYNTAX_INVALID;
		if (s->chunk_left > 0)
			return SYNTAX_CHUNK_DATA;
		http_syntax_begin_trailers(s);
		return s->state;
	case SYNTAX_CHUNK_CR:
		return c == '\r' ? SYNTAX_CHUNK_LF : SYNTAX_INVALID;
	case SYNTAX_CHUNK_LF:
		return c == '\n' ? SYNTAX_CHUNK_SIZE : SYNTAX_INVALID;
	default:
		return SYNTAX_INVALID;
	}
}

/*
 * Checks received bytes.  Returns how many of them may be parsed before the
 * next call: those up to the end of the head, then all of a body, or those up
 * to the end of its trailers.  Returns HTTP_SYNTAX_ERROR if they are no valid
 * response.
 */
size_t
http_syntax_check(struct http_syntax *s, const char *p, size_t n)
{
	size_t i = 0, len;

	if (s->state == SYNTAX_BODY)
		return n;
	do {
		if (s->state == SYNTAX_CHUNK_DATA) {
			len = n - i;
			if (len >= s->chunk_left) {
				len = (size_t)s->chunk_left;
				s->state = SYNTAX_CHUNK_CR;
			}
			s->chunk_left -= len;
			i += len;
			continue;
		}
		s->state = s->state >= SYNTAX_CHUNK_SIZE
			       ? next_in_chunks(s, p[i])
			       : next_in_head(s, p[i]);
		if (s->state == SYNTAX_INVALID)
			return HTTP_SYNTAX_ERROR;
		i++;
	} while (i < n && s->state != SYNTAX_BODY && s->state != SYNTAX_DONE);
	return i;
}

/*
 * Prepares for the lines of an exchange.
 */
void
http_lines_init(struct http_lines *l)
{
	http_syntax_init(&l->syntax);
	l->status = 0;
	l->bytes = 0;
}

/*
 * Returns the status code of a valid status line.
 */
static int
status_of(const char *line)
{
	const char *digits = line + strlen("HTTP/1.1 ");

	return (digits[0] - '0') * 100 + (digits[1] - '0') * 10 +
	       (digits[2] - '0');
}

/*
 * Checks the next line, with its line end.  Behind an interim response another
 * head follows, behind the last head its trailers.
 */
enum http_line
http_lines_add(struct http_lines *l, const char *line, size_t n)
{
	struct http_syntax *s = &l->syntax;
	int first = s->state == SYNTAX_START;

	l->bytes += n;
	if (l->bytes > LINES_BYTES_MAX || http_syntax_check(s, line, n) != n ||
	    s->state == SYNTAX_START)
		return HTTP_LINE_INVALID;
	if (first) {
		l->status = status_of(line);
		return HTTP_LINE_STATUS;
	}
	if (s->in_trailers)
		return HTTP_LINE_TRAILER;
	if (s->state != SYNTAX_BODY)
		return HTTP_LINE_FIELD;
	if (l->status / 100 == 1)
		http_syntax_init(s);
	else
		http_syntax_begin_trailers(s);
	return HTTP_LINE_END;
}

/*
 * Receives a line from libcurl for a user that needs none of them.  Returns the
 * number of its bytes, or 0 to end the exchange.
 */
size_t
http_lines_receive(char *line, size_t size, size_t count, void *lines)
{
	return http_lines_add(lines, line, size * count) == HTTP_LINE_INVALID
		   ? 0
		   : size * count;
}
