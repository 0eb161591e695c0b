#ifndef BASE_JSON_LOG_H
#define BASE_JSON_LOG_H

#include <stddef.h>
#include <stdint.h>

/*
 * Structured log: lines of one JSON object each, written to a file descriptor.
 * Lines are buffered and written without blocking. A line that exceeds the rate
 * limit, or that finds the buffer full, is dropped; a later line reports how
 * many were.
 */
struct jh_json_log;

/* Rate limit, and size in bytes at which the buffer is full. */
#define JH_JSON_LOG_LINES_PER_SEC 400
#define JH_JSON_LOG_BUFFER_LEN (256 * 1024)

/*
 * Sets fd to non-blocking mode; the caller closes it. process is the value of
 * the member "process" of each line.
 */
struct jh_json_log *jh_json_log_create(int fd, const char *process);
/* Writes as many buffered lines as it can without blocking. */
void jh_json_log_destroy(struct jh_json_log *t);

/*
 * Adds a line with members "event", "at_ms" (wall clock) and "process", and
 * those given by fmt and its arguments in the form of json_pack() of jansson,
 * without the braces.
 */
void jh_json_log(
    struct jh_json_log *t, const char *event, const char *fmt, ...);
/* Writes buffered lines, as many as it can without blocking. */
void jh_json_log_flush(struct jh_json_log *t);
/* Number of lines dropped so far. */
uint64_t jh_json_log_dropped(const struct jh_json_log *t);

#endif
