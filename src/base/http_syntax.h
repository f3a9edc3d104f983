#ifndef BASE_HTTP_SYNTAX_H
#define BASE_HTTP_SYNTAX_H

int http_status_is_valid(unsigned int);

#endif
