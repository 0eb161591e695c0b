#include <string.h>

#include "net/head_check.h"

/* Characters of a token beside letters and digits (RFC 9110, 5.6.2). */
#define TOKEN_MARKS "!#$%&'*+-.^_`|~"

/* The same of a host and port (RFC 3986, 3.2.2). */
#define HOST_MARKS "-._~!$&'()*+,;=:[]%"

static bool
is_space(char c)
{
	return c == ' ' || c == '\t';
}

static bool
is_line_end(char c)
{
	return c == '\r' || c == '\n';
}

static bool
is_one_of(char c, const char *marks)
{
	return g_ascii_isalnum(c) || (c != '\0' && strchr(marks, c) != NULL);
}

static bool
is_token(char c)
{
	return is_one_of(c, TOKEN_MARKS);
}

/* Whether a status line may have this byte here. */
static bool
fits_status_line(size_t position, char c)
{
	static const char version[] = "HTTP/1.";
	const size_t minor = sizeof(version) - 1, status = minor + 2;

	if (position < minor)
		return c == version[position];
	if (position == minor)
		return g_ascii_isdigit(c);
	if (position < status)
		return c == ' ';
	if (position == status)
		return c >= '1' && c <= '5';
	if (position < status + 3)
		return g_ascii_isdigit(c);
	return position > status + 3 || c == ' ' || c == '\r' || c == '\n';
}

static bool
is_valid_byte(const struct jh_head_lines *l, char c, bool of_response)
{
	if (l->last == '\r' && c != '\n')
		return false;
	if (l->line == 0)
		return !of_response || fits_status_line(l->position, c);
	if (is_line_end(c))
		return !l->in_name;
	if (l->position == 0 && is_space(c))
		return of_response && l->line > 1;
	if (l->position == 0)
		return is_token(c);
	if (l->in_name)
		return c == ':' || is_token(c);
	return c == '\t' || !g_ascii_iscntrl(c);
}

/* Checks one byte after the empty lines before a message. */
static bool
check_byte(struct jh_head_lines *l, char c, bool of_response)
{
	bool is_empty =
	    l->position == 0 || (l->position == 1 && l->last == '\r');

	if (!is_valid_byte(l, c, of_response))
		return false;
	if (l->line > 0 && l->position == 0)
		l->in_name = is_token(c);
	else if (c == ':')
		l->in_name = false;
	l->position++;
	if (c == '\n') {
		l->ended = is_empty;
		l->line++;
		l->position = 0;
	}
	l->last = c;
	return true;
}

bool
jh_head_lines_check(
    struct jh_head_lines *l, const char *p, size_t n, bool of_response)
{
	size_t i;

	for (i = 0; i < n && !l->ended; i++) {
		l->started |= p[i] != '\r' && p[i] != '\n';
		if (l->started && !check_byte(l, p[i], of_response))
			return false;
	}
	return true;
}

static bool
consists_of(struct jh_str s, const char *marks)
{
	size_t i;

	for (i = 0; i < s.len; i++)
		if (!is_one_of(s.ptr[i], marks))
			return false;
	return true;
}

bool
jh_head_has_valid_coding(const struct jh_head *head)
{
	unsigned int codings = 0;
	size_t i;

	for (i = 0; i < jh_head_count(head); i++) {
		if (!jh_str_caseeq(jh_head_name(head, i), "Transfer-Encoding"))
			continue;
		codings++;
		if (!jh_str_caseeq(jh_head_value(head, i), "chunked"))
			return false;
	}
	return codings <= 1;
}

static bool
is_visible(struct jh_str s)
{
	size_t i;

	for (i = 0; i < s.len; i++)
		if (g_ascii_iscntrl(s.ptr[i]) || s.ptr[i] == ' ')
			return false;
	return true;
}

bool
jh_head_has_valid_target(const struct jh_head *head)
{
	unsigned int hosts = 0;
	size_t i;

	for (i = 0; i < jh_head_count(head); i++) {
		if (!jh_str_caseeq(jh_head_name(head, i), "Host"))
			continue;
		hosts++;
		if (!consists_of(jh_head_value(head, i), HOST_MARKS))
			return false;
	}
	return hosts <= 1 && is_visible(jh_head_target(head));
}
