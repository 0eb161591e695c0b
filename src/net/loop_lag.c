#include <glib.h>

#include <jacinthhill/clock.h>

#include "net/loop_lag.h"

#define NSEC_PER_USEC 1000

struct jh_loop_lag {
	uv_prepare_t prepare; /* runs once in each iteration */
	uint64_t min_usec;
	uint64_t last; /* time of the last iteration; 0: none yet */
	uint64_t last_idle_usec; /* the loop's idle time until then */
	uint64_t polled; /* when the poll before returned; 0: none has */
	/* When this iteration ends at the latest, if nothing delays it. */
	uint64_t deadline;
	uint64_t gap_end; /* end of the last gap; 0: none so far */
	/* The same on the clock that runs while the host is suspended. */
	uint64_t boot_deadline;
	uint64_t resumed_at;
	uint64_t paused_for;
	void (*blocked)(void *arg, uint64_t usec);
	void *arg;
};

static bool
is_late(const struct jh_loop_lag *l, uint64_t now)
{
	return l->last != 0 && now > l->deadline &&
	       now - l->deadline > l->min_usec;
}

/* When the poll that begins now returns at the latest. */
static uint64_t
poll_deadline(const struct jh_loop_lag *l, uint64_t now)
{
	int msec = uv_backend_timeout(l->prepare.loop);

	return msec < 0 ? JH_NEVER : now + (uint64_t)msec * JH_USEC_PER_MSEC;
}

/*
 * Records a gap that has ended by now. Shorter ones that follow a long one are
 * the work that has gathered in it, and are not recorded.
 */
static void
note_pause(struct jh_loop_lag *l)
{
	uint64_t now = jh_boot_now(), took;

	if (l->last == 0 || now <= l->boot_deadline)
		return;
	took = now - l->boot_deadline;
	if (took <= l->min_usec)
		return;
	l->boot_deadline = now;
	if (took < l->paused_for && now - l->resumed_at <= l->paused_for)
		return;
	l->resumed_at = now;
	l->paused_for = took;
}

static void
on_prepare(uv_prepare_t *h)
{
	struct jh_loop_lag *l = h->data;
	uint64_t now = jh_now();
	uint64_t idle = uv_metrics_idle_time(h->loop) / NSEC_PER_USEC;
	uint64_t waited = idle - l->last_idle_usec;
	uint64_t took = now - l->last;

	if (l->last != 0)
		l->polled = l->last + waited;
	if (l->last != 0 && l->blocked != NULL && took > waited + l->min_usec)
		l->blocked(l->arg, took - waited);
	if (is_late(l, now))
		l->gap_end = now;
	note_pause(l);
	l->deadline = poll_deadline(l, now);
	l->boot_deadline = l->deadline == JH_NEVER
			       ? JH_NEVER
			       : jh_boot_now() + (l->deadline - now);
	l->last = now;
	l->last_idle_usec = idle;
}

struct jh_loop_lag *
jh_loop_lag_create(uv_loop_t *loop, uint64_t min_usec,
    void (*blocked)(void *arg, uint64_t usec), void *arg)
{
	struct jh_loop_lag *l = g_new0(struct jh_loop_lag, 1);

	l->min_usec = min_usec;
	l->blocked = blocked;
	l->arg = arg;
	uv_loop_configure(loop, UV_METRICS_IDLE_TIME);
	uv_prepare_init(loop, &l->prepare);
	l->prepare.data = l;
	uv_prepare_start(&l->prepare, on_prepare);
	uv_unref((uv_handle_t *)&l->prepare);
	return l;
}

uint64_t
jh_loop_lag_arrival(const struct jh_loop_lag *l)
{
	uint64_t idle = uv_metrics_idle_time(l->prepare.loop) / NSEC_PER_USEC;

	return l->polled == 0 || idle > l->last_idle_usec ? jh_now()
							  : l->polled;
}

bool
jh_loop_lag_ran_since(const struct jh_loop_lag *l, uint64_t since)
{
	return since >= l->gap_end && !is_late(l, jh_now());
}

uint64_t
jh_loop_lag_last_poll(const struct jh_loop_lag *l)
{
	return l->polled == 0 ? jh_now() : l->polled;
}

uint64_t
jh_loop_lag_resumed_at(struct jh_loop_lag *l, uint64_t *paused_for)
{
	note_pause(l);
	*paused_for = l->paused_for;
	return l->resumed_at;
}

static void
on_closed(uv_handle_t *h)
{
	g_free(h->data);
}

void
jh_loop_lag_destroy(struct jh_loop_lag *l)
{
	if (l != NULL)
		uv_close((uv_handle_t *)&l->prepare, on_closed);
}
