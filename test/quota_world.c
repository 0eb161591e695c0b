#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "quota_world.h"

static const struct jh_quota_limit limit = {{RATE, CONCURRENT}};

/* A message under way; grants have grant.holder set. */
struct message {
	uint64_t at;
	struct jh_quota_report report;
	struct jh_quota_grant grant;
};

void
start_granter(struct world *w, int i)
{
	uint64_t ids[HOLDERS];
	int h;

	jh_quota_granter_destroy(w->granters[i]);
	w->granter_ids[i] = w->next_granter_id++;
	w->granters[i] =
	    jh_quota_granter_create(w->granter_ids[i], w->now, &limit);
	for (h = 0; h < HOLDERS; h++)
		ids[h] = (uint64_t)h + 1;
	jh_quota_granter_set_members(w->granters[i], w->now, ids, HOLDERS);
}

void
believe(struct world *w, int h, int granter)
{
	w->believed[h] = w->granter_ids[granter];
	jh_quota_holder_set_view(
	    w->holders[h], w->now, w->believed[h], HOLDERS);
}

void
world_open(struct world *w, guint32 seed)
{
	int i;

	memset(w, 0, sizeof(*w));
	w->rand = g_rand_new_with_seed(seed);
	w->now = JH_USEC_PER_SEC;
	w->next_granter_id = 100;
	w->messages = g_array_new(FALSE, FALSE, sizeof(struct message));
	for (i = 0; i < MAX_GRANTERS; i++)
		start_granter(w, i);
	for (i = 0; i < HOLDERS; i++) {
		w->holders[i] =
		    jh_quota_holder_create((uint64_t)i + 1, w->now, &limit);
		believe(w, i, 0);
	}
}

void
world_close(struct world *w)
{
	int i;

	for (i = 0; i < MAX_GRANTERS; i++)
		jh_quota_granter_destroy(w->granters[i]);
	for (i = 0; i < HOLDERS; i++)
		jh_quota_holder_destroy(w->holders[i]);
	g_array_free(w->messages, TRUE);
	g_rand_free(w->rand);
}

bool
chance(struct world *w, int in_1000)
{
	return g_rand_int_range(w->rand, 0, 1000) < in_1000;
}

static void
send(struct world *w, struct message m)
{
	int copies = chance(w, w->drop) ? 0 : 1 + chance(w, w->twice);

	while (copies-- > 0) {
		m.at = w->now + (uint64_t)(g_rand_double(w->rand) *
					   (double)w->max_delay);
		g_array_append_val(w->messages, m);
	}
}

static void
deliver_report(struct world *w, const struct jh_quota_report *r)
{
	struct message answer = {0};
	int i;

	for (i = 0; i < MAX_GRANTERS; i++) {
		if (w->granter_ids[i] == r->granter &&
		    jh_quota_granter_report(
			w->granters[i], w->now, r, &answer.grant))
			send(w, answer);
	}
}

static void
deliver_grant(struct world *w, const struct jh_quota_grant *g)
{
	int h = (int)g->holder - 1;

	if (!jh_quota_holder_grant(w->holders[h], w->now, g))
		return;
	w->held_granter[h] = g->granter;
	w->held_until[h] =
	    w->sent_at[h][g->report % 1024] + JH_QUOTA_LIFETIME_USEC;
}

static bool
is_paused(const struct world *w, const struct message *m)
{
	int i;

	for (i = 0; i < MAX_GRANTERS; i++) {
		if (m->grant.holder == 0 &&
		    w->granter_ids[i] == m->report.granter &&
		    w->now < w->paused_until[i])
			return true;
	}
	return false;
}

static void
deliver_due(struct world *w)
{
	struct message m;
	guint i = 0;

	while (i < w->messages->len) {
		m = g_array_index(w->messages, struct message, i);
		if (m.at > w->now || is_paused(w, &m)) {
			i++;
			continue;
		}
		g_array_remove_index_fast(w->messages, i);
		if (m.grant.holder != 0)
			deliver_grant(w, &m.grant);
		else
			deliver_report(w, &m.report);
	}
}

static void
report_all(struct world *w)
{
	struct message m = {0};
	int h;

	for (h = 0; h < HOLDERS; h++) {
		/* Offsets keep the holders from reporting at once. */
		if ((w->now / STEP + (uint64_t)h * 7) %
			(JH_QUOTA_REPORT_USEC / STEP) !=
		    0)
			continue;
		if (w->demand[h] > 0 &&
		    jh_quota_holder_take(w->holders[h], w->now, w->demand[h]) ==
			JH_QUOTA_OK)
			jh_quota_holder_done(w->holders[h], w->now, 0);
		if (!jh_quota_holder_report(w->holders[h], w->now, &m.report))
			continue;
		w->sent_at[h][m.report.seq % 1024] = w->now;
		send(w, m);
	}
}

uint64_t
sum_allowed(const struct world *w, enum jh_quota_kind kind)
{
	uint64_t sum = 0;
	int h;

	for (h = 0; h < HOLDERS; h++)
		sum += jh_quota_holder_allowed(w->holders[h], w->now, kind);
	return sum;
}

/* Granters whose allocations are in force at some holder. */
static uint64_t
granters_in_force(const struct world *w)
{
	uint64_t n = 0;
	int h, i;

	for (h = 0; h < HOLDERS; h++) {
		if (w->now >= w->held_until[h])
			continue;
		for (i = 0; i < h; i++) {
			if (w->now < w->held_until[i] &&
			    w->held_granter[i] == w->held_granter[h])
				break;
		}
		n += i == h;
	}
	return n;
}

void
step(struct world *w)
{
	uint64_t k;

	w->now += STEP;
	deliver_due(w);
	report_all(w);
	k = granters_in_force(w);
	w->max_split = MAX(w->max_split, k);
	assert_true(sum_allowed(w, JH_QUOTA_RATE) <= RATE * MAX(k, 1));
	assert_true(
	    sum_allowed(w, JH_QUOTA_CONCURRENT) <= CONCURRENT * MAX(k, 1));
}

void
run(struct world *w, uint64_t seconds)
{
	uint64_t end = w->now + seconds * JH_USEC_PER_SEC;

	while (w->now < end)
		step(w);
}

/* Half of the holders are idle, so that there is something to lend. */
void
change_demand(struct world *w)
{
	w->demand[g_rand_int_range(w->rand, 0, HOLDERS)] =
	    chance(w, 500) ? 0
			   : (uint64_t)g_rand_int_range(w->rand, 0, 2 * RATE);
}
