#include <math.h>

#include <jacinthhill/clock.h>

#include "queue_load.h"

/* Log-normal distribution of sizes in tokens, limited to [1, 8 * median]. */
struct size {
	double median;
	double sigma;
};

static const struct size prompts[JH_RANKS] = {
    [JH_RANK_URGENT] = {300, 0.8},
    [JH_RANK_BACKGROUND] = {800, 0.8},
};

static const struct size outputs[JH_RANKS] = {
    [JH_RANK_URGENT] = {80, 0.6},
    [JH_RANK_BACKGROUND] = {250, 0.6},
};

static const uint64_t deadlines[JH_RANKS] = {
    [JH_RANK_URGENT] = 2 * JH_USEC_PER_SEC,
    [JH_RANK_BACKGROUND] = 30 * JH_USEC_PER_SEC,
};

static const char *const orgs[QUEUE_ORGS] = {"large-1", "large-2", "small-1",
    "small-2", "small-3", "small-4", "small-5", "small-6"};

const double queue_urgent_share = 0.75;

static double
draw_normal(GRand *rand)
{
	double a = 1 - g_rand_double(rand), b = g_rand_double(rand);

	return sqrt(-2 * log(a)) * cos(2 * G_PI * b);
}

static uint32_t
draw_size(GRand *rand, const struct size *s)
{
	double v = s->median * exp(s->sigma * draw_normal(rand));

	return (uint32_t)CLAMP(v, 1, 8 * s->median);
}

double
queue_load_total(const struct queue_load *l)
{
	double sum = 0;
	int o, r;

	for (o = 0; o < QUEUE_ORGS; o++) {
		for (r = 0; r < JH_RANKS; r++)
			sum += l->rate[o][r];
	}
	return sum;
}

void
queue_request_draw(GRand *rand, enum jh_rank rank, struct queue_request *out)
{
	const struct size *a = &outputs[rank];

	*out = (struct queue_request){.output_tokens = draw_size(rand, a)};
	out->item.rank = rank;
	out->item.prefill = draw_size(rand, &prompts[rank]);
	/* The queue knows only the mean output length of the class. */
	out->item.decode = (uint32_t)(a->median * exp(a->sigma * a->sigma / 2));
}

static void
draw_source(const struct queue_load *l, GRand *rand, unsigned int *org,
    enum jh_rank *rank)
{
	double x = g_rand_double(rand) * queue_load_total(l);
	unsigned int o;
	int r;

	*org = QUEUE_ORGS - 1;
	*rank = JH_RANK_URGENT;
	for (o = 0; o < QUEUE_ORGS; o++) {
		for (r = 0; r < JH_RANKS; r++) {
			if (l->rate[o][r] > 0 && x < l->rate[o][r]) {
				*org = o;
				*rank = r;
				return;
			}
			x -= l->rate[o][r];
		}
	}
}

void
queue_load_draw(const struct queue_load *l, GRand *rand, uint64_t *now,
    uint64_t id, struct queue_request *out)
{
	double gap = -log(1 - g_rand_double(rand)) / queue_load_total(l);
	enum jh_rank rank;
	unsigned int org;

	*now += (uint64_t)(gap * JH_USEC_PER_SEC) + 1;
	draw_source(l, rand, &org, &rank);
	queue_request_draw(rand, rank, out);
	out->org = org;
	out->arrived = *now;
	out->item.id = id;
	out->item.org = jh_str_from(orgs[org]);
	out->item.deadline = *now + deadlines[rank];
}
