#include <math.h>

#include "place/demand.h"

/* The short time follows a shift; the long one resolves low rates. */
#define SHORT_USEC 3e6
#define LONG_USEC 30e6

/* Standard deviations below the estimate; 1 widened by chance too often. */
#define CONFIDENCE 1.5

/* Weight of a new request in the mean work. */
#define WORK_GAIN 0.1

/* Load of a worker that one prefix may fill. */
#define TARGET_UTILISATION 0.7

/* A width narrows only if a load this much higher would still fit. */
#define NARROW_MARGIN 1.25
#define NARROW_HOLD_USEC 5000000ULL

static void
decay(struct jh_demand *d, uint64_t now)
{
	double dt;

	if (now <= d->last)
		return;
	dt = (double)(now - d->last);
	d->short_n *= exp(-dt / SHORT_USEC);
	d->long_n *= exp(-dt / LONG_USEC);
	d->last = now;
}

void
jh_demand_add(struct jh_demand *d, uint64_t now, double work)
{
	if (d->first == 0) {
		d->first = now == 0 ? 1 : now;
		d->last = now;
		d->work = work;
	}
	decay(d, now);
	d->short_n += 1;
	d->long_n += 1;
	d->work += WORK_GAIN * (work - d->work);
}

/* Arrivals a microsecond; age corrects for a count that began lately. */
static double
lower_rate(double n, double tau, double age)
{
	double low = n - CONFIDENCE * sqrt(n);

	if (low <= 0)
		return 0;
	return low / (tau * -expm1(-age / tau));
}

double
jh_demand_load(const struct jh_demand *d, uint64_t now)
{
	struct jh_demand at = *d;
	double age, rate;

	if (d->first == 0 || now <= d->first)
		return 0;
	decay(&at, now);
	/* A first second of arrivals is too short to extrapolate. */
	age = fmax((double)(now - d->first), 1e6);
	rate = fmax(lower_rate(at.short_n, SHORT_USEC, age),
	    lower_rate(at.long_n, LONG_USEC, age));
	return rate * at.work;
}

uint32_t
jh_demand_width(struct jh_demand *d, uint64_t now, double load)
{
	double need = load / TARGET_UTILISATION;
	uint32_t target = need < 1 ? 1 : (uint32_t)ceil(fmin(need, 1e6));

	if (target > d->width) {
		d->width = target;
		d->narrow_after = now + NARROW_HOLD_USEC;
	} else if (now >= d->narrow_after && d->width > 1 &&
		   need * NARROW_MARGIN < d->width - 1) {
		d->width = (uint32_t)ceil(fmax(need * NARROW_MARGIN, 1));
		d->narrow_after = now + NARROW_HOLD_USEC;
	}
	return d->width;
}
