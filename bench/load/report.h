#ifndef BENCH_LOAD_REPORT_H
#define BENCH_LOAD_REPORT_H

#include <stdbool.h>

#include "options.h"
#include "samples.h"
#include "shape.h"

/* Result of one request. */
struct result {
	unsigned int org;
	bool background;
	bool payment;
	bool marked; /* due in the 5 s after --mark-at */
	bool complete; /* all tokens arrived in order */
	const char *code; /* error code, or how the call failed */
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t ttft; /* time to first token, microseconds */
	uint64_t tokens;
	const GArray *gaps; /* between tokens; of uint32_t, microseconds */
};

/* Collects results; report_add() may be called by any thread. */
struct report;

struct report *report_create(const struct load_options *o);
void report_destroy(struct report *r);
void report_add(struct report *r, const struct result *res);
/* Prints a table or, with --json, JSON; usec is the duration of arrivals. */
void report_print(struct report *r, uint64_t usec);
/* Number of responses that were broken off, too short or out of order. */
uint64_t report_broken(const struct report *r);

#endif
