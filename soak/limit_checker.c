#include <string.h>

#include "soak/limit_checker.h"

struct arrival {
	uint64_t at;
	uint64_t stalled;
};

struct worker {
	double limit; /* negative: none */
	double highest; /* of the limits in the last window */
	uint64_t lowered_at; /* when the limit last became lower */
	uint64_t named_at; /* first */
	uint64_t *told; /* by router; 0: not yet */
	GArray *arrivals; /* struct arrival, of the last window */
};

struct soak_limit_checker {
	unsigned int workers, routers;
	uint64_t contact;
	struct worker *worker;
};

struct soak_limit_checker *
soak_limit_checker_create(
    unsigned int workers, unsigned int routers, uint64_t contact)
{
	struct soak_limit_checker *lc = g_new0(struct soak_limit_checker, 1);
	unsigned int i;

	lc->workers = workers;
	lc->routers = routers;
	lc->contact = contact;
	lc->worker = g_new0(struct worker, workers);
	for (i = 0; i < workers; i++) {
		lc->worker[i].limit = -1;
		lc->worker[i].told = g_new0(uint64_t, routers);
		lc->worker[i].arrivals =
		    g_array_new(FALSE, FALSE, sizeof(struct arrival));
	}
	return lc;
}

void
soak_limit_checker_destroy(struct soak_limit_checker *lc)
{
	unsigned int i;

	for (i = 0; i < lc->workers; i++) {
		g_free(lc->worker[i].told);
		g_array_free(lc->worker[i].arrivals, TRUE);
	}
	g_free(lc->worker);
	g_free(lc);
}

static void
begin(struct soak_limit_checker *lc, struct worker *w, uint64_t now)
{
	w->named_at = now;
	w->highest = w->limit;
	memset(w->told, 0, lc->routers * sizeof(*w->told));
	g_array_set_size(w->arrivals, 0);
}

void
soak_limit_checker_named(struct soak_limit_checker *lc, uint64_t now,
    unsigned int worker, double limit)
{
	struct worker *w = &lc->worker[worker];
	double before = w->limit;

	w->limit = limit;
	if (before < 0 || limit < 0)
		begin(lc, w, now);
	else if (limit < before)
		w->lowered_at = now;
	w->highest = MAX(w->highest, limit);
}

void
soak_limit_checker_restarted(
    struct soak_limit_checker *lc, uint64_t now, unsigned int worker)
{
	begin(lc, &lc->worker[worker], now);
}

void
soak_limit_checker_told(struct soak_limit_checker *lc, uint64_t now,
    unsigned int worker, unsigned int router)
{
	struct worker *w = &lc->worker[worker];

	if (w->limit >= 0 && w->told[router] == 0)
		w->told[router] = now;
}

static void
drop_old(struct worker *w, uint64_t now)
{
	guint n = 0;

	while (n < w->arrivals->len &&
	       g_array_index(w->arrivals, struct arrival, n).at +
		       SOAK_LIMIT_WINDOW_USEC <=
		   now)
		n++;
	g_array_remove_range(w->arrivals, 0, n);
}

unsigned int
soak_limit_checker_arrived(struct soak_limit_checker *lc, uint64_t now,
    unsigned int worker, unsigned int router, bool excused, uint64_t stalled,
    double *allowed)
{
	struct worker *w = &lc->worker[worker];
	struct arrival a = {now, stalled};
	uint64_t window = SOAK_LIMIT_WINDOW_USEC;

	if (w->limit < 0 || excused || w->told[router] == 0 ||
	    now < w->told[router] + SOAK_LIMIT_TOLD_USEC)
		return 0;
	drop_old(w, now);
	g_array_append_val(w->arrivals, a);
	if (w->lowered_at + 2 * SOAK_LIMIT_WINDOW_USEC < now)
		w->highest = w->limit;
	if (now < w->named_at + lc->contact)
		return 0;
	/* While the soak did not run, requests waited to be read. */
	window +=
	    stalled - g_array_index(w->arrivals, struct arrival, 0).stalled;
	*allowed = SOAK_LIMIT_FACTOR * w->highest * (double)window /
		       (double)JH_USEC_PER_SEC +
		   SOAK_LIMIT_SLACK;
	return w->arrivals->len > *allowed ? w->arrivals->len : 0;
}
