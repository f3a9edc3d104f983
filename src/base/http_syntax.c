#include <ctype.h>
#include <string.h>

#include "base/http_syntax.h"

#define STATUS_MIN 100
#define STATUS_MAX 599
#define DELETE 0x7f

/*
 * Checks the syntax of responses beside the libraries that parse them.
 * http_parser, which Debian builds without its strict mode, takes blanks in the
 * names of fields, any byte after a carriage return, and statuses of any number
 * of digits.  libcurl passes on the lines of a head with any byte but zero.
 */

/* The start of a status line; a 0 stands for any digit. */
static const char status_line[] = "HTTP/1.0 000";

static int is_token_char(unsigned char);
static int is_text_char(unsigned char);
static enum http_syntax_state end_line(char);
static enum http_syntax_state next_state(struct http_syntax *, char);

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
 * Returns the status code of a valid status line.
 */
int
http_status_of_line(const char *line)
{
	const char *digits = line + strlen("HTTP/1.1 ");

	return (digits[0] - '0') * 100 + (digits[1] - '0') * 10 +
	       (digits[2] - '0');
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
 * Returns the state after the next byte of a head.
 */
static enum http_syntax_state
next_state(struct http_syntax *s, char c)
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
			return SYNTAX_BODY;
		return is_token_char((unsigned char)c) ? SYNTAX_NAME
						       : SYNTAX_INVALID;
	case SYNTAX_NAME:
		if (c == ':')
			return SYNTAX_TEXT;
		return is_token_char((unsigned char)c) ? SYNTAX_NAME
						       : SYNTAX_INVALID;
	case SYNTAX_HEAD_END:
		return c == '\n' ? SYNTAX_BODY : SYNTAX_INVALID;
	case SYNTAX_BODY:
	case SYNTAX_INVALID:
		break;
	}
	return s->state;
}

/*
 * Checks received bytes.  Returns how many of them may be parsed before the
 * next call: those up to the end of the head, or all of a body.  Returns
 * HTTP_SYNTAX_ERROR if they are no valid response.
 */
size_t
http_syntax_check(struct http_syntax *s, const char *p, size_t n)
{
	size_t i;

	if (s->state == SYNTAX_BODY)
		return n;
	for (i = 0; i < n && s->state != SYNTAX_BODY; i++) {
		s->state = next_state(s, p[i]);
		if (s->state == SYNTAX_INVALID)
			return HTTP_SYNTAX_ERROR;
	}
	return i;
}
