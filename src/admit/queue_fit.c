#include <math.h>

#include <jacinthhill/clock.h>

#include "admit/queue_fit.h"

/* Weight that old samples keep at each new one: half after about 23. */
#define FIT_DECAY 0.97
#define MEAN_GAIN 0.05
/* Variance of x relative to its squared mean below which the slope is kept. */
#define FIT_MIN_RELATIVE_VARIANCE 0.01
/*
 * Time constant of means over time. It must be several times as long as an item
 * occupies a slot; otherwise the mean follows each burst of requests, and
 * background work fills the gap before the next burst.
 */
#define TIME_MEAN_USEC (60.0 * JH_USEC_PER_SEC)

static void
add(struct jh_queue_fit *f, double x, double y)
{
	f->n += 1;
	f->x += x;
	f->y += y;
	f->xx += x * x;
	f->xy += x * y;
}

/* Keeps base and slope at 0 or more: neither is negative for a real engine. */
static void
solve(struct jh_queue_fit *f)
{
	double mx = f->x / f->n, my = f->y / f->n;
	double var = f->xx / f->n - mx * mx;

	if (var > FIT_MIN_RELATIVE_VARIANCE * mx * mx)
		f->slope = (f->xy / f->n - mx * my) / var;
	if (f->slope < 0)
		f->slope = 0;
	f->base = my - f->slope * mx;
	if (f->base < 0) {
		f->base = 0;
		f->slope = mx > 0 ? my / mx : f->slope;
	}
}

void
jh_queue_fit_init(
    struct jh_queue_fit *f, double base, double slope, double x_scale)
{
	*f = (struct jh_queue_fit){0};
	add(f, 0, base);
	add(f, x_scale, base + slope * x_scale);
	f->base = base;
	f->slope = slope;
}

void
jh_queue_fit_add(struct jh_queue_fit *f, double x, double y)
{
	f->n *= FIT_DECAY;
	f->x *= FIT_DECAY;
	f->y *= FIT_DECAY;
	f->xx *= FIT_DECAY;
	f->xy *= FIT_DECAY;
	add(f, x, y);
	solve(f);
}

double
jh_queue_fit_at(const struct jh_queue_fit *f, double count, double x)
{
	return count * f->base + x * f->slope;
}

void
jh_queue_mean_add(struct jh_queue_mean *m, double sample)
{
	m->value += MEAN_GAIN * (sample - m->value);
}

void
jh_queue_time_mean_add(struct jh_queue_time_mean *m, uint64_t now, double value)
{
	double gain = 1 - exp(-(double)(now - m->updated) / TIME_MEAN_USEC);

	m->mean += gain * (value - m->mean);
	m->mean_square += gain * (value * value - m->mean_square);
	m->updated = now;
}

double
jh_queue_time_mean_deviation(const struct jh_queue_time_mean *m)
{
	double variance = m->mean_square - m->mean * m->mean;

	return variance > 0 ? sqrt(variance) : 0;
}
