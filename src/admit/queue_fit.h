#ifndef ADMIT_QUEUE_FIT_H
#define ADMIT_QUEUE_FIT_H

#include <stdint.h>

/*
 * A moving linear fit y = base + slope * x: least squares over samples whose
 * weight decays with each new one.
 */
struct jh_queue_fit {
	double n, x, y, xx, xy;
	double base, slope;
};

/* Starts from an assumed line, which fades as samples arrive. */
void jh_queue_fit_init(
    struct jh_queue_fit *f, double base, double slope, double x_scale);
void jh_queue_fit_add(struct jh_queue_fit *f, double x, double y);
double jh_queue_fit_at(const struct jh_queue_fit *f, double count, double x);

/* An exponentially weighted mean of samples. */
struct jh_queue_mean {
	double value;
};

void jh_queue_mean_add(struct jh_queue_mean *m, double sample);

/* Mean and mean square over time of a value, the past fading. */
struct jh_queue_level {
	double mean;
	double square;
	uint64_t at;
};

/* Says that the value has held since the previous call. */
void jh_queue_level_hold(struct jh_queue_level *l, uint64_t now, double value);
double jh_queue_level_deviation(const struct jh_queue_level *l);

#endif
