#ifndef BENCH_FIT_PAIRS_H
#define BENCH_FIT_PAIRS_H

#include <stdio.h>

#include <glib.h>

/* The prediction for one request and what became of it, microseconds. */
struct fit_pair {
	double expected; /* first token after sending, as predicted */
	double observed;
};

/*
 * Reads log lines of jhplatform and pairs the `sent` and `ended` lines of
 * requests that were sent once and got an answer. Text before the first brace
 * of a line is passed over, as are other lines. Free with g_array_free().
 */
GArray *fit_read(FILE *in);

#endif
