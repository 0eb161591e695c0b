#include <math.h>
#include <signal.h>
#include <stdio.h>

#include <sodium.h>

#include <jacinthhill/clock.h>

#include "base/thread.h"
#include "call.h"

#define MAX_CALLS 16384

/* Exit status if a response was broken off, too short or out of order. */
#define EXIT_BAD_RESPONSE 1
#define EXIT_OPTIONS 2

static uint64_t
usec(double seconds)
{
	return (uint64_t)(seconds * (double)JH_USEC_PER_SEC);
}

static void
sleep_until(uint64_t when)
{
	uint64_t now = jh_now();

	if (when > now)
		g_usleep(when - now);
}

/* Waits until fewer requests than the limit are in progress. */
static void
wait_below(struct call_context *ctx, unsigned int limit)
{
	pthread_mutex_lock(&ctx->lock);
	while (ctx->in_progress >= limit)
		pthread_cond_wait(&ctx->ended, &ctx->lock);
	pthread_mutex_unlock(&ctx->lock);
}

/*
 * Sends requests until the time is over or their maximum number is reached.
 * Returns the time that took in microseconds.
 */
static uint64_t
send_all(struct call_context *ctx, struct shape *s)
{
	const struct load_options *o = ctx->opt;
	GRand *arrivals = g_rand_new_with_seed((guint32)o->seed ^ 0x5eedU);
	uint64_t end = ctx->started_at + usec(o->seconds);
	uint64_t due = ctx->started_at;
	struct shape_request q;
	bool shifted;
	gint64 n;

	for (n = 0; n < o->max_requests; n++) {
		if (o->concurrency > 0) {
			wait_below(ctx, (unsigned int)o->concurrency);
			due = jh_now();
		} else {
			due +=
			    usec(-log(1 - g_rand_double(arrivals)) / o->rate);
		}
		if (due >= end)
			break;
		shifted = o->shift_at >= 0 &&
			  due >= ctx->started_at + usec(o->shift_at);
		shape_next(s, shifted, &q);
		sleep_until(due);
		call_send(ctx, &q, due);
	}
	g_rand_free(arrivals);
	if (o->concurrency == 0)
		sleep_until(end);
	return jh_now() - ctx->started_at;
}

static int
run(const struct load_options *o)
{
	struct shape *s = shape_create(o);
	struct call_context ctx = {.opt = o};
	uint64_t took;
	int status = 0;

	if (s == NULL) {
		fprintf(stderr, "jhload: no shape named \"%s\"\n", o->shape);
		return EXIT_OPTIONS;
	}
	if (o->print_shared) {
		shape_print_shared(s);
		shape_destroy(s);
		return 0;
	}
	pthread_mutex_init(&ctx.lock, NULL);
	jh_cond_init(&ctx.ended);
	ctx.report = report_create(o);
	ctx.client = jh_http_client_create("load", MAX_CALLS);
	ctx.started_at = jh_now();
	took = send_all(&ctx, s);
	wait_below(&ctx, 1);
	jh_http_client_destroy(ctx.client);
	report_print(ctx.report, took);
	if (report_broken(ctx.report) > 0)
		status = EXIT_BAD_RESPONSE;
	report_destroy(ctx.report);
	shape_destroy(s);
	pthread_mutex_destroy(&ctx.lock);
	pthread_cond_destroy(&ctx.ended);
	return status;
}

int
main(int argc, char **argv)
{
	struct load_options o;
	int status = EXIT_OPTIONS;

	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0)
		return EXIT_OPTIONS;
	if (load_options_parse(&o, argc, argv))
		status = run(&o);
	load_options_clear(&o);
	return status;
}
