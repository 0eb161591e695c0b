#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "quota_simulation.h"

static const struct jh_quota_limit limit = {{RATE, CONCURRENT}};

/* A message in transit: a grant if grant.holder is not 0, else a report. */
struct message {
	uint64_t at;
	struct jh_quota_report report;
	struct jh_quota_grant grant;
};

void
start_granter(struct quota_simulation *sim, int i)
{
	jh_quota_granter_destroy(sim->granters[i]);
	sim->granter_ids[i] = sim->next_granter_id++;
	sim->granters[i] =
	    jh_quota_granter_create(sim->granter_ids[i], sim->now, &limit);
	set_known(sim, i, HOLDERS);
}

void
set_known(struct quota_simulation *sim, int granter, unsigned int n)
{
	uint64_t ids[HOLDERS];
	unsigned int h;

	for (h = 0; h < n; h++)
		ids[h] = h + 1;
	jh_quota_granter_set_members(
	    sim->granters[granter], sim->now, ids, n, HOLDERS - n);
}

void
set_granter(struct quota_simulation *sim, int h, int granter)
{
	sim->current_granter[h] = sim->granter_ids[granter];
	jh_quota_holder_set_view(
	    sim->holders[h], sim->now, sim->current_granter[h], HOLDERS);
}

void
simulation_open(struct quota_simulation *sim, guint32 seed)
{
	int i;

	memset(sim, 0, sizeof(*sim));
	sim->rand = g_rand_new_with_seed(seed);
	sim->now = JH_USEC_PER_SEC;
	sim->next_granter_id = 100;
	sim->messages = g_array_new(FALSE, FALSE, sizeof(struct message));
	for (i = 0; i < MAX_GRANTERS; i++)
		start_granter(sim, i);
	for (i = 0; i < HOLDERS; i++) {
		sim->holders[i] =
		    jh_quota_holder_create((uint64_t)i + 1, sim->now, &limit);
		set_granter(sim, i, 0);
	}
}

void
simulation_close(struct quota_simulation *sim)
{
	int i;

	for (i = 0; i < MAX_GRANTERS; i++)
		jh_quota_granter_destroy(sim->granters[i]);
	for (i = 0; i < HOLDERS; i++)
		jh_quota_holder_destroy(sim->holders[i]);
	g_array_free(sim->messages, TRUE);
	g_rand_free(sim->rand);
}

bool
chance(struct quota_simulation *sim, int in_1000)
{
	return g_rand_int_range(sim->rand, 0, 1000) < in_1000;
}

static void
send(struct quota_simulation *sim, struct message m)
{
	int copies = chance(sim, sim->drop) ? 0 : 1 + chance(sim, sim->twice);

	while (copies-- > 0) {
		m.at = sim->now + (uint64_t)(g_rand_double(sim->rand) *
					     (double)sim->max_delay);
		g_array_append_val(sim->messages, m);
	}
}

static void
deliver_report(struct quota_simulation *sim, const struct jh_quota_report *r)
{
	struct message reply = {0};
	int i;

	for (i = 0; i < MAX_GRANTERS; i++) {
		if (sim->granter_ids[i] == r->granter &&
		    jh_quota_granter_handle_report(
			sim->granters[i], sim->now, r, &reply.grant))
			send(sim, reply);
	}
}

static void
deliver_grant(struct quota_simulation *sim, const struct jh_quota_grant *g)
{
	int h = (int)g->holder - 1;

	if (!jh_quota_holder_apply_grant(sim->holders[h], sim->now, g))
		return;
	sim->held_granter[h] = g->granter;
	sim->allocation_until[h] =
	    sim->sent_at[h][g->report % 1024] + JH_QUOTA_LIFETIME_USEC;
}

static bool
is_paused(const struct quota_simulation *sim, const struct message *m)
{
	int i;

	for (i = 0; i < MAX_GRANTERS; i++) {
		if (m->grant.holder == 0 &&
		    sim->granter_ids[i] == m->report.granter &&
		    sim->now < sim->paused_until[i])
			return true;
	}
	return false;
}

static void
deliver_due(struct quota_simulation *sim)
{
	struct message m;
	guint i = 0;

	while (i < sim->messages->len) {
		m = g_array_index(sim->messages, struct message, i);
		if (m.at > sim->now || is_paused(sim, &m)) {
			i++;
			continue;
		}
		g_array_remove_index_fast(sim->messages, i);
		if (m.grant.holder != 0)
			deliver_grant(sim, &m.grant);
		else
			deliver_report(sim, &m.report);
	}
}

static void
report_all(struct quota_simulation *sim)
{
	struct message m = {0};
	int h;

	for (h = 0; h < HOLDERS; h++) {
		/* Offsets spread the reports of the holders over time. */
		if ((sim->now / STEP + (uint64_t)h * 7) %
			(JH_QUOTA_REPORT_USEC / STEP) !=
		    0)
			continue;
		if (sim->demand[h] > 0 &&
		    jh_quota_holder_admit(sim->holders[h], sim->now,
			sim->demand[h]) == JH_QUOTA_OK)
			jh_quota_holder_finish(sim->holders[h], sim->now, 0);
		if (!jh_quota_holder_make_report(
			sim->holders[h], sim->now, &m.report))
			continue;
		sim->sent_at[h][m.report.seq % 1024] = sim->now;
		send(sim, m);
	}
}

uint64_t
sum_allowed(const struct quota_simulation *sim, enum jh_quota_kind kind)
{
	uint64_t sum = 0;
	int h;

	for (h = 0; h < HOLDERS; h++)
		sum += jh_quota_holder_allowed(sim->holders[h], sim->now, kind);
	return sum;
}

/* Number of granters whose allocations are in force at some holder. */
static uint64_t
granters_in_force(const struct quota_simulation *sim)
{
	uint64_t n = 0;
	int h, i;

	for (h = 0; h < HOLDERS; h++) {
		if (sim->now >= sim->allocation_until[h])
			continue;
		for (i = 0; i < h; i++) {
			if (sim->now < sim->allocation_until[i] &&
			    sim->held_granter[i] == sim->held_granter[h])
				break;
		}
		n += i == h;
	}
	return n;
}

void
step(struct quota_simulation *sim)
{
	uint64_t k;

	sim->now += STEP;
	deliver_due(sim);
	report_all(sim);
	k = granters_in_force(sim);
	sim->max_split = MAX(sim->max_split, k);
	assert_true(sum_allowed(sim, JH_QUOTA_RATE) <= RATE * MAX(k, 1));
	assert_true(
	    sum_allowed(sim, JH_QUOTA_CONCURRENT) <= CONCURRENT * MAX(k, 1));
}

void
run(struct quota_simulation *sim, uint64_t seconds)
{
	uint64_t end = sim->now + seconds * JH_USEC_PER_SEC;

	while (sim->now < end)
		step(sim);
}

/* Half of the holders have no demand, so that others can use their share. */
void
change_demand(struct quota_simulation *sim)
{
	sim->demand[g_rand_int_range(sim->rand, 0, HOLDERS)] =
	    chance(sim, 500)
		? 0
		: (uint64_t)g_rand_int_range(sim->rand, 0, 2 * RATE);
}
