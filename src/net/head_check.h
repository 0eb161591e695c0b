#ifndef NET_HEAD_CHECK_H
#define NET_HEAD_CHECK_H

#include <stdbool.h>
#include <stddef.h>

#include "net/head.h"

/*
 * Rejects what RFC 9110 and 9112 call invalid in a head and the parser takes:
 * the next server might read another head than this one.
 */

/* Follows the lines of a head, in pieces of any size. All 0: before a head. */
struct jh_head_lines {
	bool started; /* past the empty lines that may come before a message */
	bool ended; /* the empty line after the last field has been read */
	size_t line; /* from 0 */
	size_t position; /* in the line, from 0 */
	bool in_name; /* of a field, before its colon */
	char last;
};

/*
 * Checks the next bytes of a message, up to the end of its head. Returns false
 * - for a CR without a LF (RFC 9112, 2.2);
 * - for a line that begins with space, unless it continues a field of a
 *   response (RFC 9112, 2.2 and 5.2);
 * - for another line than a token, a colon and a value without control
 *   characters (RFC 9110, 5.5 and 5.6.2);
 * - for a response whose first line is not a version, a space and a status of
 *   three digits from 100 to 599 (RFC 9112, 4; RFC 9110, 15).
 */
bool jh_head_lines_check(
    struct jh_head_lines *l, const char *p, size_t n, bool of_response);

/*
 * Whether the transfer coding is "chunked", once, if one is given (RFC 9112,
 * 6.1).
 */
bool jh_head_has_valid_coding(const struct jh_head *head);
/*
 * Whether the target has no space or control character, and there is one valid
 * Host at most (RFC 9112, 3.2). A request without one matches no route.
 */
bool jh_head_has_valid_target(const struct jh_head *head);

#endif
