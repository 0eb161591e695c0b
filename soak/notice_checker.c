#include <string.h>

#include <glib.h>

#include "soak/notice_checker.h"

/* What a router knows of a worker. */
struct notice {
	uint64_t leaving_at; /* passed on first; 0: not yet */
	uint64_t refused_at; /* first, for the time that ends then */
	uint64_t refused_until;
	uint64_t stalled; /* of the soak, at refused_at */
	unsigned int arrivals; /* that the rule on refusals counts */
};

struct soak_notice_checker {
	unsigned int workers, routers;
	uint64_t drain;
	uint64_t *started; /* by worker */
	struct notice *notices; /* by worker and router */
};

struct soak_notice_checker *
soak_notice_checker_create(
    unsigned int workers, unsigned int routers, uint64_t drain)
{
	struct soak_notice_checker *nc = g_new0(struct soak_notice_checker, 1);

	nc->workers = workers;
	nc->routers = routers;
	nc->drain = drain;
	nc->started = g_new0(uint64_t, workers);
	nc->notices = g_new0(struct notice, (gsize)workers * routers);
	return nc;
}

void
soak_notice_checker_destroy(struct soak_notice_checker *nc)
{
	g_free(nc->started);
	g_free(nc->notices);
	g_free(nc);
}

static struct notice *
notice_of(
    struct soak_notice_checker *nc, unsigned int worker, unsigned int router)
{
	return &nc->notices[worker * nc->routers + router];
}

void
soak_notice_checker_restarted(
    struct soak_notice_checker *nc, uint64_t now, unsigned int worker)
{
	nc->started[worker] = now;
	memset(
	    notice_of(nc, worker, 0), 0, nc->routers * sizeof(struct notice));
}

void
soak_notice_checker_leaving(struct soak_notice_checker *nc, uint64_t now,
    unsigned int worker, unsigned int router, uint64_t started)
{
	struct notice *n = notice_of(nc, worker, router);

	if (started > nc->started[worker] && n->leaving_at == 0)
		n->leaving_at = now;
}

void
soak_notice_checker_refused(struct soak_notice_checker *nc, uint64_t now,
    unsigned int worker, unsigned int router, uint64_t until, uint64_t stalled)
{
	struct notice *n = notice_of(nc, worker, router);

	if (now < n->refused_until)
		return;
	n->refused_at = now;
	n->refused_until = until;
	n->stalled = stalled;
	n->arrivals = 0;
}

enum soak_notice_rule
soak_notice_checker_arrived(struct soak_notice_checker *nc, uint64_t now,
    const struct soak_notice_arrival *a)
{
	struct notice *n = notice_of(nc, a->worker, a->router);
	uint64_t counted;

	/* A router that has restarted since passed nothing on. */
	if (n->leaving_at != 0 && a->interrupted >= n->leaving_at)
		n->leaving_at = 0;
	if (n->leaving_at != 0 && a->sent > n->leaving_at + nc->drain)
		return SOAK_NOTICE_DRAIN;
	if (now >= n->refused_until || a->interrupted >= n->refused_at ||
	    a->disturbed >= n->refused_at)
		return SOAK_NOTICE_OBEYED;
	/* While the soak did not run, requests waited to be read. */
	counted = n->refused_at + SOAK_REFUSED_USEC + a->stalled - n->stalled;
	if (now <= counted || ++n->arrivals <= SOAK_REFUSED_REQUESTS)
		return SOAK_NOTICE_OBEYED;
	return SOAK_NOTICE_BUDGET;
}
