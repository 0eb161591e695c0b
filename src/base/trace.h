#ifndef BASE_TRACE_H
#define BASE_TRACE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Structured log: one JSON object a line on a file descriptor. Lines wait in a
 * bounded buffer and are written without blocking; lines over the rate or the
 * buffer are counted and reported in a later line.
 */
struct jh_trace;

/* Lines a second, and bytes that wait for a slow reader. */
#define JH_TRACE_RATE 400
#define JH_TRACE_BUFFER_LEN (256 * 1024)

struct jh_trace *jh_trace_create(int fd, const char *process);
/* Writes what it can without blocking. */
void jh_trace_destroy(struct jh_trace *t);

/*
 * Adds a line. fmt and what follows are keys and values as json_pack() of
 * jansson takes them, without the braces.
 */
void jh_trace(struct jh_trace *t, const char *event, const char *fmt, ...);
/* Hands waiting lines to the system. */
void jh_trace_flush(struct jh_trace *t);
uint64_t jh_trace_dropped(const struct jh_trace *t);

#endif
