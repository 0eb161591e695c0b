#include <math.h>

#include "place/demand.h"

/*
 * Time constants of the two decaying counts: the short one follows a change
 * quickly, the long one resolves low rates.
 */
#define SHORT_USEC 3e6
#define LONG_USEC 30e6

/*
 * Standard deviations by which the rate is taken below its estimate; with 1,
 * random arrivals widened a prefix too often.
 */
#define CONFIDENCE_DEVIATIONS 1.5

/* Weight of a new request in the mean work of a request. */
#define WORK_GAIN 0.1

/* Utilisation of a worker up to which one prefix may load it. */
#define TARGET_UTILISATION 0.7

/*
 * The width is reduced only if a load this many times as high still fits, and
 * not within the hold time after its last change.
 */
#define NARROW_MARGIN 1.25
#define NARROW_HOLD_USEC 5000000ULL

static void
decay(struct jh_demand *d, uint64_t now)
{
	double dt;

	if (now <= d->last_update)
		return;
	dt = (double)(now - d->last_update);
	d->short_count *= exp(-dt / SHORT_USEC);
	d->long_count *= exp(-dt / LONG_USEC);
	d->last_update = now;
}

void
jh_demand_add(struct jh_demand *d, uint64_t now, double work)
{
	if (d->first_seen == 0) {
		d->first_seen = now == 0 ? 1 : now;
		d->last_update = now;
		d->mean_work = work;
	}
	decay(d, now);
	d->short_count += 1;
	d->long_count += 1;
	d->mean_work += WORK_GAIN * (work - d->mean_work);
}

/*
 * Lower bound of the arrivals per microsecond, from a count n that decays with
 * time constant tau. age corrects for a count that began recently.
 */
static double
lower_rate(double n, double tau, double age)
{
	double low = n - CONFIDENCE_DEVIATIONS * sqrt(n);

	if (low <= 0)
		return 0;
	return low / (tau * -expm1(-age / tau));
}

double
jh_demand_load(const struct jh_demand *d, uint64_t now)
{
	struct jh_demand at = *d;
	double age, rate;

	if (d->first_seen == 0 || now <= d->first_seen)
		return 0;
	decay(&at, now);
	/* Less than a second of arrivals is too short to extrapolate from. */
	age = fmax((double)(now - d->first_seen), 1e6);
	rate = fmax(lower_rate(at.short_count, SHORT_USEC, age),
	    lower_rate(at.long_count, LONG_USEC, age));
	return rate * at.mean_work;
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
