#include <jacinthhill/clock.h>

#include "soak/state.h"

/* Between two requests with the part, over all routers. */
#define MIN_INTERVAL_MSEC 50
#define MAX_INTERVAL_MSEC 350
/* From a crash to the worker's next start. */
#define MIN_RESTART_MSEC 1000
#define MAX_RESTART_MSEC 2000
/* Shared first parts, and shared parts at later places. */
#define FIRST_PARTS 4
#define COMMON_FIRST_SHARE 4 /* all but one in this many have the first */
#define LATER_PARTS 6
#define MAX_LATER_PARTS 3

void
soak_poison_prepare(struct soak_fixture *fx)
{
	guint i;

	for (i = 0; i < fx->plan->len; i++) {
		const struct soak_fault *f =
		    &g_array_index(fx->plan, struct soak_fault, i);
		if (f->kind == FAULT_POISON_PART)
			g_snprintf(fx->poison.part, sizeof(fx->poison.part),
			    "%08x", f->variant);
	}
}

void
soak_poison_start(struct soak_fixture *fx, const struct soak_fault *f)
{
	fx->poison.until = fx->started + f->until;
	fx->poison.next = jh_now();
}

bool
soak_poison_due(struct soak_fixture *fx)
{
	struct soak_poison *p = &fx->poison;
	uint64_t now = jh_now();

	if (now >= p->until || now < p->next)
		return false;
	p->next = now + (uint64_t)g_rand_int_range(
			    fx->rand, MIN_INTERVAL_MSEC, MAX_INTERVAL_MSEC) *
			    JH_USEC_PER_MSEC;
	return true;
}

struct soak_prompt
soak_prompt_draw(struct soak_fixture *fx, bool poisoned)
{
	struct soak_prompt prompt;
	GString *s = g_string_new(NULL);
	gint32 n = 1 + g_rand_int_range(fx->rand, 0, MAX_LATER_PARTS + 1), i;
	gint32 place = poisoned ? g_rand_int_range(fx->rand, 0, n + 1) : -1;
	/* Most prompts of a route begin with the same part. */
	gint32 first = g_rand_int_range(fx->rand, 0, COMMON_FIRST_SHARE) != 0
			   ? 0
			   : g_rand_int_range(fx->rand, 1, FIRST_PARTS);

	for (i = 0; i <= n; i++) {
		if (i == place)
			g_string_append_printf(s, "%s:150,", fx->poison.part);
		if (i == 0)
			g_string_append_printf(s, "a%d:200,", first);
		else if (i < n)
			g_string_append_printf(s, "b%d:80,",
			    g_rand_int_range(fx->rand, 0, LATER_PARTS));
		else
			g_string_append_printf(s, "f%u:100", fx->sent);
	}
	prompt.first_part = g_strndup(s->str, strcspn(s->str, ":"));
	prompt.parts = g_string_free(s, FALSE);
	return prompt;
}

void
soak_poison_crashed(void *arg, struct fake_worker *fake)
{
	struct soak_fixture *fx = arg;
	unsigned int number = fake_worker_number(fake);
	struct soak_worker *worker = &fx->workers[number];
	struct soak_fault f = {.target = number};
	uint64_t delay = (uint64_t)g_rand_int_range(
			     fx->rand, MIN_RESTART_MSEC, MAX_RESTART_MSEC) *
			 JH_USEC_PER_MSEC;

	soak_checker_crashed_by_part(
	    fx->checker, jh_now(), number, jh_now() + delay);
	if (worker->unavailable)
		return; /* it drains, and its exit starts it again */
	worker->unavailable = true;
	soak_schedule(fx, delay, soak_start_worker, &f);
}
