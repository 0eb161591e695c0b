#include "refuse/slot.h"

/*
 * The record of an hour is created this long before the hour begins. If the
 * process crashes then, the whole next hour is unaccounted for, so the
 * time is short.
 */
#define OPEN_AHEAD_USEC (2 * JH_USEC_PER_MINUTE)

/* Limit of hours whose counts were dropped and whose record is unwritten. */
#define MAX_DROPPED_HOURS 1000

struct jh_refusals {
	struct jh_refusals_settings settings;
	char *instance;
	uint64_t phase; /* of the writes of this process in each minute */
	GPtrArray *slots; /* of struct jh_refusal_slot, hours ascending */
	uint64_t next_hour; /* first hour for which no slot was opened */
	uint64_t last_op;
	uint64_t dropped; /* hours whose counts were dropped */
	bool closed;
};

static void
free_slot(gpointer p)
{
	jh_refusal_slot_free(p);
}

static struct jh_refusal_slot *
open_hour(struct jh_refusals *r, uint64_t hour, unsigned int from)
{
	struct jh_refusal_slot *s;

	s = jh_refusal_slot_create(
	    jh_refusal_hour_create(hour, r->instance, r->settings.incarnation));
	s->record->from = s->record->covered_until = from;
	g_ptr_array_add(r->slots, s);
	r->next_hour = hour + 1;
	return s;
}

struct jh_refusals *
jh_refusals_create(const struct jh_refusals_settings *s, uint64_t now)
{
	struct jh_refusals *r = g_new0(struct jh_refusals, 1);

	r->settings = *s;
	r->instance = jh_str_dup(s->instance);
	r->phase = s->incarnation % JH_USEC_PER_MINUTE;
	r->slots = g_ptr_array_new_with_free_func(free_slot);
	open_hour(r, now / JH_USEC_PER_HOUR,
	    (unsigned int)(now / JH_USEC_PER_MINUTE % JH_MINUTES_PER_HOUR));
	return r;
}

void
jh_refusals_destroy(struct jh_refusals *r)
{
	if (r == NULL)
		return;
	g_ptr_array_free(r->slots, TRUE);
	g_free(r->instance);
	g_free(r);
}

/* Drops the counts of the oldest hours over max_hours, to limit memory. */
static void
drop_oldest_counts(struct jh_refusals *r)
{
	struct jh_refusal_slot *s;
	guint i, with_counts = 0;

	for (i = 0; i < r->slots->len; i++) {
		s = r->slots->pdata[i];
		with_counts += !s->counts_dropped;
	}
	for (i = 0; i < r->slots->len && with_counts > r->settings.max_hours;
	     i++) {
		s = r->slots->pdata[i];
		if (s->counts_dropped)
			continue;
		with_counts--;
		r->dropped++;
		/*
		 * If the object exists, the store has the hour as not closed,
		 * so that it is reported as unaccounted.
		 */
		if (s->exists)
			g_ptr_array_remove_index(r->slots, i--);
		else
			jh_refusal_slot_drop_counts(s);
	}
	while (r->slots->len - with_counts > MAX_DROPPED_HOURS)
		g_ptr_array_remove_index(r->slots, 0);
}

static uint64_t
next_open_time(const struct jh_refusals *r)
{
	return r->next_hour * JH_USEC_PER_HOUR - OPEN_AHEAD_USEC + r->phase;
}

/* Opens slots up to the present hour, and for the next if it is near. */
static void
open_hours(struct jh_refusals *r, uint64_t now)
{
	uint64_t hour = now / JH_USEC_PER_HOUR;

	if (r->closed)
		return;
	/* If the clock jumps ahead, opens no more hours than it can keep. */
	if (hour > r->next_hour + r->settings.max_hours)
		r->next_hour = hour - r->settings.max_hours;
	while (r->next_hour <= hour)
		open_hour(r, r->next_hour, 0);
	if (r->next_hour == hour + 1 && now >= next_open_time(r))
		open_hour(r, r->next_hour, 0);
	drop_oldest_counts(r);
}

static struct jh_refusal_slot *
find_slot(struct jh_refusals *r, uint64_t hour)
{
	struct jh_refusal_slot *s;
	guint i;

	for (i = 0; i < r->slots->len; i++) {
		s = r->slots->pdata[i];
		if (s->record->hour == hour && !s->counts_dropped)
			return s;
	}
	return NULL;
}

/* The slot of the present hour, or if the clock was set back the oldest. */
static struct jh_refusal_slot *
slot_for(struct jh_refusals *r, uint64_t now, unsigned int *minute)
{
	struct jh_refusal_slot *s;
	guint i;

	open_hours(r, now);
	*minute =
	    (unsigned int)(now / JH_USEC_PER_MINUTE % JH_MINUTES_PER_HOUR);
	s = find_slot(r, now / JH_USEC_PER_HOUR);
	if (s != NULL)
		return s;
	for (i = 0; i < r->slots->len; i++) {
		s = r->slots->pdata[i];
		if (!s->counts_dropped)
			break;
	}
	if (i == r->slots->len)
		s = open_hour(r, r->next_hour, 0);
	*minute = s->record->from;
	s->record->late++;
	return s;
}

void
jh_refusals_count(struct jh_refusals *r, uint64_t now, struct jh_str owner,
    struct jh_str class)
{
	struct jh_refusal_slot *s;
	unsigned int minute;

	s = slot_for(r, now, &minute);
	s->changes++;
	if (!jh_refusal_hour_add(s->record, r->settings.max_pairs,
		r->settings.max_bytes, owner, class, minute, 1))
		s->record->overflow[minute]++;
}

void
jh_refusals_peer_seen(struct jh_refusals *r, uint64_t now,
    struct jh_str instance, uint64_t incarnation)
{
	struct jh_refusal_slot *s;

	open_hours(r, now);
	s = find_slot(r, now / JH_USEC_PER_HOUR);
	if (s == NULL)
		return;
	if (!jh_refusal_hour_add_peer(s->record, r->settings.max_peers,
		r->settings.max_bytes, instance, incarnation,
		(unsigned int)(now / JH_USEC_PER_MINUTE % JH_MINUTES_PER_HOUR)))
		s->record->peers_omitted++;
}

struct jh_refusals_write *
jh_refusals_next(struct jh_refusals *r, uint64_t now)
{
	struct jh_refusals_write *w;
	struct jh_refusal_slot *s;
	guint i;

	open_hours(r, now);
	for (i = 0; i < r->slots->len; i++) {
		s = r->slots->pdata[i];
		if (s->op != 0 || s->due > now)
			continue;
		s->op = ++r->last_op;
		jh_refusal_slot_begin_write(s, now, r->closed);
		w = g_new0(struct jh_refusals_write, 1);
		w->op = s->op;
		w->object = jh_refusal_hour_name(s->record);
		w->create = !s->exists;
		w->version = s->version;
		w->value = jh_refusal_hour_encode(s->record, &w->value_len);
		return w;
	}
	return NULL;
}

void
jh_refusals_write_free(struct jh_refusals_write *w)
{
	if (w == NULL)
		return;
	g_free(w->object);
	g_free(w->value);
	g_free(w);
}

void
jh_refusals_result(struct jh_refusals *r, uint64_t now, uint64_t op,
    enum jh_store_result result, uint64_t version)
{
	struct jh_refusal_slot *s;
	guint i;

	for (i = 0; i < r->slots->len; i++) {
		s = r->slots->pdata[i];
		if (s->op != op)
			continue;
		s->op = 0;
		if (jh_refusal_slot_end_write(
			s, now, r->phase, result, version))
			g_ptr_array_remove_index(r->slots, i);
		return;
	}
}

uint64_t
jh_refusals_due(const struct jh_refusals *r)
{
	uint64_t due = r->closed ? JH_NEVER : next_open_time(r);
	const struct jh_refusal_slot *s;
	guint i;

	for (i = 0; i < r->slots->len; i++) {
		s = r->slots->pdata[i];
		if (s->op == 0)
			due = MIN(due, s->due);
	}
	return due;
}

void
jh_refusals_close(struct jh_refusals *r, uint64_t now)
{
	struct jh_refusal_slot *s;
	guint i;

	open_hours(r, now);
	r->closed = true;
	for (i = 0; i < r->slots->len; i++) {
		s = r->slots->pdata[i];
		s->changes++;
		s->due = now;
	}
}

bool
jh_refusals_idle(const struct jh_refusals *r)
{
	return r->closed && r->slots->len == 0;
}

uint64_t
jh_refusals_dropped(const struct jh_refusals *r)
{
	return r->dropped;
}
