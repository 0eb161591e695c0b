#include <string.h>

#include "state.h"

static const char *const mode_names[] = {"up", "down", "slow", "hang"};

static bool
set_mode(struct fake_store *s, const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(mode_names); i++) {
		if (strcmp(mode_names[i], name) == 0) {
			s->mode = (enum fake_mode)i;
			return true;
		}
	}
	return false;
}

bool
fake_store_control(struct fake_store *s, const json_t *o)
{
	const char *mode = NULL;
	json_int_t slow_ms = -1, responses_to_lose = -1, seed = -1;
	double loss_rate = -1;
	bool ok = true;

	if (json_unpack((json_t *)o, "{s?s, s?I, s?F, s?I, s?I !}", "mode",
		&mode, "slow_ms", &slow_ms, "lose_answers", &loss_rate,
		"lose_next", &responses_to_lose, "seed", &seed) != 0)
		return false;
	pthread_mutex_lock(&s->lock);
	if (mode != NULL)
		ok = set_mode(s, mode);
	if (slow_ms >= 0)
		s->slow_usec = (uint64_t)slow_ms * 1000;
	if (loss_rate >= 0)
		s->response_loss_rate = loss_rate;
	if (responses_to_lose >= 0)
		s->responses_to_lose = (uint64_t)responses_to_lose;
	if (seed >= 0)
		g_rand_set_seed(s->rand, (guint32)seed);
	pthread_cond_signal(&s->wake);
	pthread_mutex_unlock(&s->lock);
	return ok;
}

json_t *
fake_store_state(struct fake_store *s)
{
	json_t *o;

	pthread_mutex_lock(&s->lock);
	o = json_pack("{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "mode",
	    mode_names[s->mode], "revision",
	    (json_int_t)fake_table_revision(s->table), "writes",
	    (json_int_t)s->n_writes, "reads", (json_int_t)s->n_reads, "watches",
	    (json_int_t)s->n_watches, "throttled", (json_int_t)s->n_throttled,
	    "lost", (json_int_t)s->n_lost, "waiting",
	    (json_int_t)s->deferred->len);
	pthread_mutex_unlock(&s->lock);
	return o;
}
