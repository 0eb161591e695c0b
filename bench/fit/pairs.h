#ifndef BENCH_FIT_PAIRS_H
#define BENCH_FIT_PAIRS_H

#include <stdio.h>

#include <glib.h>

/* Predicted and observed time to the first token of a request, microseconds. */
struct fit_pair {
	double expected; /* from sending to the first token, as predicted */
	double observed; /* the same time, as it was */
};

/*
 * Reads log lines of jhplatform and returns an array of struct fit_pair, one
 * for each request that was sent once and got a first token, from its `sent`
 * and `ended` lines. Ignores other lines and any text before the first brace
 * of a line. The caller frees the array with g_array_free().
 */
GArray *fit_read(FILE *in);

#endif
