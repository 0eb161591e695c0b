#include <pthread.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "feed/crash_log.h"

struct crash_log {
	pthread_mutex_t lock; /* guards the table */
	struct jh_suspects *table;
};

struct crash_log *
crash_log_create(void)
{
	struct jh_suspects_settings s = {JH_SUSPECTS_DEFAULTS};
	struct crash_log *l = g_new0(struct crash_log, 1);

	pthread_mutex_init(&l->lock, NULL);
	l->table = jh_suspects_create(&s);
	return l;
}

void
crash_log_destroy(struct crash_log *l)
{
	jh_suspects_destroy(l->table);
	pthread_mutex_destroy(&l->lock);
	g_free(l);
}

void
crash_log_crashed(struct crash_log *l, uint64_t reporter, uint64_t seq,
    const struct jh_fingerprint *batch, size_t n, size_t n_begun)
{
	pthread_mutex_lock(&l->lock);
	jh_suspects_crashed(
	    l->table, jh_now(), reporter, seq, batch, n, n_begun);
	pthread_mutex_unlock(&l->lock);
}

void
crash_log_hint(
    struct crash_log *l, struct jh_fingerprint print, unsigned int crashes)
{
	pthread_mutex_lock(&l->lock);
	jh_suspects_hint(l->table, jh_now(), print, crashes);
	pthread_mutex_unlock(&l->lock);
}

void
crash_log_note(struct crash_log *l, uint64_t reporter, uint64_t seq,
    struct jh_fingerprint print, bool sole)
{
	struct jh_crash c = {.fingerprint = print,
	    .reporter = reporter,
	    .seq = seq,
	    .remaining_usec = UINT64_MAX,
	    .sole = sole};

	pthread_mutex_lock(&l->lock);
	jh_suspects_merge(l->table, jh_now(), &c, 1);
	pthread_mutex_unlock(&l->lock);
}

void
crash_log_succeeded(struct crash_log *l, struct jh_fingerprint print)
{
	pthread_mutex_lock(&l->lock);
	jh_suspects_succeeded(l->table, jh_now(), print);
	pthread_mutex_unlock(&l->lock);
}

void
crash_log_progressed(struct crash_log *l, struct jh_fingerprint print)
{
	pthread_mutex_lock(&l->lock);
	jh_suspects_progressed(l->table, jh_now(), print);
	pthread_mutex_unlock(&l->lock);
}

enum jh_suspect_state
crash_log_state(struct crash_log *l, struct jh_fingerprint print)
{
	enum jh_suspect_state state;

	pthread_mutex_lock(&l->lock);
	state = jh_suspects_state(l->table, jh_now(), print, NULL);
	pthread_mutex_unlock(&l->lock);
	return state;
}

enum jh_suspect_decision
crash_log_may_run(struct crash_log *l, struct jh_fingerprint print,
    const struct jh_fingerprint *running, size_t n)
{
	enum jh_suspect_decision decision;

	pthread_mutex_lock(&l->lock);
	decision = jh_suspects_may_run(l->table, jh_now(), print, running, n);
	pthread_mutex_unlock(&l->lock);
	return decision;
}

void
crash_log_parts_crashed(struct crash_log *l, uint64_t reporter, uint64_t seq,
    const struct jh_fingerprint *part, size_t n)
{
	uint64_t now = jh_now();

	pthread_mutex_lock(&l->lock);
	jh_suspects_parts_crashed(l->table, now, now, reporter, seq, part, n);
	pthread_mutex_unlock(&l->lock);
}

void
crash_log_call_crashed(struct crash_log *l, uint64_t sent, uint64_t reporter,
    uint64_t seq, const struct jh_fingerprint *part, size_t n)
{
	uint64_t now = jh_now();

	pthread_mutex_lock(&l->lock);
	jh_suspects_unbegun_crashed(
	    l->table, now, now, sent, reporter, seq, part, n);
	pthread_mutex_unlock(&l->lock);
}

void
crash_log_backend_ended(struct crash_log *l, uint64_t reporter, uint64_t seq)
{
	uint64_t now = jh_now();

	pthread_mutex_lock(&l->lock);
	jh_suspects_engine_ended(l->table, now, now, reporter, seq);
	pthread_mutex_unlock(&l->lock);
}

void
crash_log_parts_succeeded(
    struct crash_log *l, const struct jh_fingerprint *part, size_t n)
{
	pthread_mutex_lock(&l->lock);
	jh_suspects_parts_succeeded(l->table, jh_now(), part, n);
	pthread_mutex_unlock(&l->lock);
}

bool
crash_log_allows_retry(
    struct crash_log *l, const struct jh_fingerprint *part, size_t n)
{
	unsigned int crashes;

	pthread_mutex_lock(&l->lock);
	crashes = jh_suspects_parts_all_crashes(l->table, jh_now(), part, n);
	pthread_mutex_unlock(&l->lock);
	return crashes < JH_SUSPECT_NO_RETRY_CRASHES;
}

bool
crash_log_refuses_parts(
    struct crash_log *l, const struct jh_fingerprint *part, size_t n)
{
	unsigned int crashes, unbegun;
	uint64_t now = jh_now();

	pthread_mutex_lock(&l->lock);
	crashes = jh_suspects_parts_crashes(l->table, now, part, n, NULL);
	unbegun = jh_suspects_unbegun_crashes(l->table, now, part, n, NULL);
	pthread_mutex_unlock(&l->lock);
	return MAX(crashes, unbegun) >= JH_SUSPECT_QUARANTINE_CRASHES;
}

void
crash_log_export(struct crash_log *l, u_int *n, struct jh_wire_crash **list)
{
	struct jh_crash *all = g_new(struct jh_crash, JH_MAX_CRASHES);
	size_t i, len;

	pthread_mutex_lock(&l->lock);
	len = jh_suspects_export_latest(
	    l->table, jh_now(), 0, 0, all, JH_MAX_CRASHES);
	pthread_mutex_unlock(&l->lock);
	*n = (u_int)len;
	*list = g_new0(struct jh_wire_crash, len);
	for (i = 0; i < len; i++) {
		(*list)[i].print_high = all[i].fingerprint.high;
		(*list)[i].print_low = all[i].fingerprint.low;
		(*list)[i].reporter = all[i].reporter;
		(*list)[i].sequence = all[i].seq;
		(*list)[i].remaining_ms =
		    (u_int)(all[i].remaining_usec / JH_USEC_PER_MSEC);
		(*list)[i].sole = all[i].sole || all[i].had_output;
		(*list)[i].cleared = all[i].cleared;
	}
	g_free(all);
}

void
crash_log_merge(struct crash_log *l, const struct jh_wire_crash *list, u_int n)
{
	struct jh_crash c;
	bool is_part;
	u_int i;

	pthread_mutex_lock(&l->lock);
	for (i = 0; i < n; i++) {
		c = (struct jh_crash){
		    .fingerprint = {list[i].print_high, list[i].print_low},
		    .reporter = list[i].reporter,
		    .seq = list[i].sequence,
		    .remaining_usec = list[i].remaining_ms * JH_USEC_PER_MSEC,
		    .cleared = list[i].cleared != 0};
		is_part = jh_fingerprint_is_part(c.fingerprint) ||
			  jh_fingerprint_is_unbegun(c.fingerprint);
		c.sole = list[i].sole && !is_part;
		c.had_output = list[i].sole && is_part;
		jh_suspects_merge(l->table, jh_now(), &c, 1);
	}
	pthread_mutex_unlock(&l->lock);
}

void
crash_log_expire(struct crash_log *l)
{
	pthread_mutex_lock(&l->lock);
	jh_suspects_expire(l->table, jh_now());
	pthread_mutex_unlock(&l->lock);
}

size_t
crash_log_len(struct crash_log *l)
{
	size_t n;

	pthread_mutex_lock(&l->lock);
	n = jh_suspects_len(l->table);
	pthread_mutex_unlock(&l->lock);
	return n;
}
