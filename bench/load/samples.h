#ifndef BENCH_LOAD_SAMPLES_H
#define BENCH_LOAD_SAMPLES_H

#include <stdint.h>

#include <glib.h>

/*
 * Exact samples in microseconds, up to a bounded count. Neither GLib nor a
 * declared package has a histogram with bounded relative error, so quantiles
 * come from the sorted samples.
 */
struct samples {
	GArray *values; /* of uint32_t */
	uint64_t dropped; /* beyond the bound */
};

void samples_init(struct samples *s);
void samples_clear(struct samples *s);
void samples_add(struct samples *s, uint64_t usec);
void samples_sort(struct samples *s);
/* Milliseconds at quantile q of sorted samples; 0 without samples. */
double samples_quantile(const struct samples *s, double q);

#endif
