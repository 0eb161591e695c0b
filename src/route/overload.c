#include <math.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "route/overload.h"

/*
 * Rates of the specified engines. Each running request takes a step for each of
 * its tokens, and prompts are computed in chunks between these steps.
 */
#define PREFILL_TOKENS_PER_MSEC 41
#define STEP_USEC 3400
#define CHUNK_TOKENS 512

/*
 * A request beyond the slots waits until another ends: 36 tokens of a usual
 * response, one step each.
 */
#define SLOT_WAIT_USEC (36 * STEP_USEC)

/*
 * Memory beyond this fraction of the capacity makes the worker evict prefixes
 * and preempt requests, whose prompts it computes again.
 */
#define MEMORY_FRACTION 0.85
#define MEMORY_WEIGHT 4

/*
 * Engines differ by 0.7 to 1.7 and are specified with up to 2.2 times 41; the
 * bounds leave room for steps that take less time than STEP_USEC.
 */
#define MIN_SPEED 0.3
#define MAX_SPEED 8.0
/* Weight of one first event, on a logarithmic scale. */
#define SPEED_WEIGHT 0.1
/* Shorter times say more about the network than about the worker. */
#define MIN_SAMPLE_USEC (5 * JH_USEC_PER_MSEC)

/* An urgent request is expected to start within this part of its target. */
#define TARGET_FRACTION 0.6

/*
 * Parts of the target for the wait before a request: beyond the first, another
 * worker may be better though it has to compute more; beyond the second, the
 * request would be late.
 */
#define BY_TIME_FRACTION 0.2
#define REFUSE_FRACTION 0.4

/* Weight of one request in the pressure, which decays to 0 over this time. */
#define PRESSURE_WEIGHT 0.1
#define PRESSURE_DECAY_USEC (1 * JH_USEC_PER_SEC)

/*
 * Less urgent requests are refused down to this share. The rules ask for a
 * quarter of the rate at which all requests are served.
 */
#define MIN_SHARE 0.5
/* Admissions that a rank may be ahead of its share, and behind. */
#define MAX_CREDIT 3.0

/* Clients honour a retry delay of up to a third of the time they have left. */
#define MAX_RETRY_FRACTION 0.33
#define MIN_RETRY_SECONDS 0.2
/* Retries are spread over this time, in which a burst is worked off. */
#define RETRY_SPREAD_SECONDS 0.8

#define RANKS 10

struct service {
	uint64_t hash;
	double pressure;
	uint64_t pressure_at;
	double credit[RANKS]; /* admissions that the minimum share allows */
};

struct jh_overload {
	GHashTable *services; /* by hash */
};

struct jh_overload *
jh_overload_create(void)
{
	struct jh_overload *o = g_new0(struct jh_overload, 1);

	o->services =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return o;
}

void
jh_overload_destroy(struct jh_overload *o)
{
	if (o == NULL)
		return;
	g_hash_table_destroy(o->services);
	g_free(o);
}

/* Prompt tokens that the worker computes before those of the request. */
static uint64_t
tokens_before(const struct jh_worker *w, unsigned int rank)
{
	if (rank == JH_OVERLOAD_URGENT_RANK)
		return w->urgent_tokens + w->others_urgent;
	return w->prefill_tokens + w->others_prefill;
}

/*
 * Requests that are not urgent see a slower worker, as urgent ones that arrive
 * later go first.
 */
static size_t
class_of(unsigned int rank)
{
	return rank == JH_OVERLOAD_URGENT_RANK ? 0 : 1;
}

static double
speed_of(const struct jh_worker *w, unsigned int rank)
{
	double speed = w->speed[class_of(rank)];

	return speed > 0 ? speed : 1.0;
}

void
jh_overload_estimate(const struct jh_worker *w,
    const struct jh_overload_work *work, struct jh_overload_time *out)
{
	uint64_t before = tokens_before(w, work->rank);
	uint64_t running = w->running + w->others_running;
	uint64_t held = w->held_tokens + w->others_held + work->memory;
	double room = MEMORY_FRACTION * (double)work->capacity;
	double chunks, wait, own;

	chunks = ceil((double)before / CHUNK_TOKENS);
	wait = (double)before * 1000 / PREFILL_TOKENS_PER_MSEC +
	       chunks * (double)running * STEP_USEC;
	if (w->slots > 0 && running >= w->slots)
		wait += (double)(running - w->slots + 1) * SLOT_WAIT_USEC;
	if (work->capacity > 0 && (double)held > room)
		wait += ((double)held - room) * MEMORY_WEIGHT * 1000 /
			PREFILL_TOKENS_PER_MSEC;
	chunks = ceil((double)work->prefill / CHUNK_TOKENS);
	own = (double)work->prefill * 1000 / PREFILL_TOKENS_PER_MSEC +
	      chunks * (double)running * STEP_USEC;
	out->nominal = (uint64_t)(wait + own);
	out->wait = (uint64_t)(wait / speed_of(w, work->rank));
	out->total = out->wait + (uint64_t)(own / speed_of(w, work->rank));
}

void
jh_overload_learn(
    struct jh_worker *w, unsigned int rank, uint64_t expected, uint64_t took)
{
	double speed = speed_of(w, rank), sample;

	if (expected < MIN_SAMPLE_USEC || took < MIN_SAMPLE_USEC)
		return;
	sample = (double)expected / (double)took;
	sample = CLAMP(sample, MIN_SPEED, MAX_SPEED);
	w->speed[class_of(rank)] = speed * pow(sample / speed, SPEED_WEIGHT);
}

static struct service *
find_service(struct jh_overload *o, uint64_t hash)
{
	struct service *s = g_hash_table_lookup(o->services, &hash);

	if (s != NULL)
		return s;
	s = g_new0(struct service, 1);
	s->hash = hash;
	g_hash_table_insert(o->services, &s->hash, s);
	return s;
}

static double
pressure_at(const struct service *s, uint64_t now)
{
	uint64_t age = now - s->pressure_at;

	if (age >= PRESSURE_DECAY_USEC)
		return 0;
	return s->pressure * (1 - (double)age / PRESSURE_DECAY_USEC);
}

double
jh_overload_pressure(
    const struct jh_overload *o, uint64_t now, uint64_t service)
{
	const struct service *s = g_hash_table_lookup(o->services, &service);

	return s != NULL ? pressure_at(s, now) : 0;
}

/* An urgent request is expected to start after that time. */
static void
add_pressure(struct service *s, uint64_t now, const struct jh_admit_request *r)
{
	double limit = TARGET_FRACTION * (double)MAX(r->target, 1);
	double sample = (double)r->expected_ttft / limit;
	double before = pressure_at(s, now);

	s->pressure = before + PRESSURE_WEIGHT * (sample - before);
	s->pressure_at = now;
}

/*
 * Spread by when there will be room: the more urgent ones return first, and the
 * least urgent after the excess is worked off.
 */
static double
retry_delay(const struct jh_overload_request *r, double excess_seconds)
{
	double most = MAX_RETRY_FRACTION * (double)r->admit.time_left / 1e6;
	double spread = (double)(r->admit.hash % 1024) / 1024;
	double delay = MIN_RETRY_SECONDS + MAX(excess_seconds, 0) +
		       spread * RETRY_SPREAD_SECONDS *
			   (r->rank == JH_OVERLOAD_URGENT_RANK ? 0.5 : 1);

	return MIN(delay, most);
}

/*
 * Whether a less urgent request makes way for urgent ones. Its rank keeps the
 * minimum share, whatever the size of the requests.
 */
static bool
makes_way(struct service *s, uint64_t now, const struct jh_overload_request *r)
{
	double *credit = &s->credit[MIN(r->rank, RANKS - 1)];

	if (r->rank == JH_OVERLOAD_URGENT_RANK)
		return false;
	if (!r->by_time)
		*credit = MIN(*credit + MIN_SHARE, MAX_CREDIT);
	if (pressure_at(s, now) <= 1 || *credit >= 1)
		return false;
	return true;
}

enum jh_overload_verdict
jh_overload_decide(struct jh_overload *o, uint64_t now,
    const struct jh_overload_request *r, double *retry_seconds)
{
	const struct jh_admit_request *a = &r->admit;
	struct service *s = find_service(o, r->service);
	bool urgent = r->rank == JH_OVERLOAD_URGENT_RANK;
	double limit = (double)a->target, excess;

	excess = ((double)a->expected_ttft - TARGET_FRACTION * limit) / 1e6;
	*retry_seconds = 0;
	if (urgent && !r->by_time)
		add_pressure(s, now, a);
	if (a->expected_ttft >= a->time_left)
		return r->by_time ? JH_OVERLOAD_REFUSE : JH_OVERLOAD_BY_TIME;
	if (makes_way(s, now, r)) {
		*retry_seconds = retry_delay(r, excess);
		return JH_OVERLOAD_REFUSE;
	}
	/* The request's own work counts in neither, as large ones would starve.
	 */
	if ((double)a->queue_wait > BY_TIME_FRACTION * limit && !r->by_time)
		return JH_OVERLOAD_BY_TIME;
	if ((double)a->queue_wait > REFUSE_FRACTION * limit && r->by_time) {
		*retry_seconds = retry_delay(r, excess);
		return JH_OVERLOAD_REFUSE;
	}
	if (!urgent) {
		double *credit = &s->credit[MIN(r->rank, RANKS - 1)];
		*credit = MAX(*credit - 1, -MAX_CREDIT);
	}
	return JH_OVERLOAD_SEND;
}

bool
jh_overload_admit(struct jh_overload *o, uint64_t now,
    struct jh_chooser *chooser, struct jh_fleet *fleet,
    struct jh_choose_request *choose, struct jh_choice *choice,
    struct jh_overload_request *r, double *retry_seconds)
{
	enum jh_overload_verdict verdict;

	for (r->by_time = false;; r->by_time = true) {
		r->admit.expected_ttft = choice->expected_ttft;
		r->admit.queue_wait = choice->expected_ttft - choice->idle_ttft;
		verdict = jh_overload_decide(o, now, r, retry_seconds);
		if (verdict != JH_OVERLOAD_BY_TIME)
			return verdict == JH_OVERLOAD_SEND;
		/* Another worker may be free, though it computes more. */
		choose->minimise_ttft = true;
		jh_choose(chooser, fleet, now, choose, choice);
	}
}
