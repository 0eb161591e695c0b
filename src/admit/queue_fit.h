#ifndef ADMIT_QUEUE_FIT_H
#define ADMIT_QUEUE_FIT_H

#include <stdint.h>

/*
 * A linear fit y = base + slope * x by least squares over samples whose weight
 * decays with each new one. n, x, y, xx and xy are the weighted sums.
 */
struct jh_queue_fit {
	double n, x, y, xx, xy;
	double base, slope;
};

/*
 * Starts with an assumed line, given by its points at x = 0 and x = x_scale;
 * their weight decays as samples arrive.
 */
void jh_queue_fit_init(
    struct jh_queue_fit *f, double base, double slope, double x_scale);
/* Adds a sample; base and slope stay at 0 or more. */
void jh_queue_fit_add(struct jh_queue_fit *f, double x, double y);
/* Sum of the estimates for count values of x that add up to x. */
double jh_queue_fit_at(const struct jh_queue_fit *f, double count, double x);

/* An exponentially weighted mean of samples. */
struct jh_queue_mean {
	double value;
};

void jh_queue_mean_add(struct jh_queue_mean *m, double sample);

/*
 * Exponentially weighted mean and mean square over time of a value. updated is
 * the time of the last sample, in microseconds.
 */
struct jh_queue_time_mean {
	double mean;
	double mean_square;
	uint64_t updated;
};

/*
 * Adds the time from the previous call until now, during which the value held.
 */
void jh_queue_time_mean_add(
    struct jh_queue_time_mean *m, uint64_t now, double value);
/* Standard deviation of the value over time. */
double jh_queue_time_mean_deviation(const struct jh_queue_time_mean *m);

#endif
