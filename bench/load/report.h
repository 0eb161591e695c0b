#ifndef BENCH_LOAD_REPORT_H
#define BENCH_LOAD_REPORT_H

#include <stdbool.h>

#include "options.h"
#include "samples.h"
#include "shape.h"

/* What came of one request. */
struct result {
	unsigned int org;
	bool background;
	bool payment;
	bool marked; /* arrived in the window after --mark-at */
	bool complete; /* whole and in order */
	const char *code; /* error code of a refusal, or what broke */
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t ttft; /* microseconds */
	uint64_t tokens;
	const GArray *gaps; /* of uint32_t, microseconds */
};

/* Collects results; any thread may add. */
struct report;

struct report *report_create(const struct load_options *o);
void report_destroy(struct report *r);
void report_add(struct report *r, const struct result *res);
/* Prints the table or the JSON; usec is the time that arrivals took. */
void report_print(struct report *r, uint64_t usec);
/* Requests that got a broken, short or misordered answer. */
uint64_t report_broken(const struct report *r);

#endif
