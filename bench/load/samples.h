#ifndef BENCH_LOAD_SAMPLES_H
#define BENCH_LOAD_SAMPLES_H

#include <stdint.h>

#include <glib.h>

/*
 * Samples in microseconds, up to a maximum number. Neither GLib nor any other
 * library that the build uses has a histogram with bounded relative error, so
 * quantiles are computed from the sorted samples and are exact.
 */
struct samples {
	GArray *values; /* of uint32_t */
	uint64_t dropped; /* samples beyond the maximum */
};

void samples_init(struct samples *s);
void samples_clear(struct samples *s);
void samples_add(struct samples *s, uint64_t usec);
void samples_sort(struct samples *s);
/*
 * Quantile q of the samples in milliseconds, or 0 without samples.
 * samples_sort() must have been called.
 */
double samples_quantile(const struct samples *s, double q);

#endif
