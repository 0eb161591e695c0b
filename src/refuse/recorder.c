#include "refuse/slot.h"

/*
 * An hour is opened this long before it begins. A process that dies in this
 * time leaves the whole next hour unaccounted, so it is kept short.
 */
#define OPEN_AHEAD_USEC (2 * JH_USEC_PER_MINUTE)

/* Hours without counts that wait to be shown as unaccounted. */
#define MAX_STUBS 1000

struct jh_refusals {
	struct jh_refusals_settings set;
	char *instance;
	uint64_t phase; /* of our writes within each minute */
	GPtrArray *slots; /* of struct jh_refusal_slot, hours ascending */
	uint64_t next_hour; /* first hour without a slot so far */
	uint64_t last_op;
	uint64_t dropped;
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
	    jh_refusal_hour_create(hour, r->instance, r->set.incarnation));
	s->data->from = s->data->covered_until = from;
	g_ptr_array_add(r->slots, s);
	r->next_hour = hour + 1;
	return s;
}

struct jh_refusals *
jh_refusals_create(const struct jh_refusals_settings *s, uint64_t now)
{
	struct jh_refusals *r = g_new0(struct jh_refusals, 1);

	r->set = *s;
	r->instance = jh_str_dup(s->instance);
	r->phase = s->incarnation % JH_USEC_PER_MINUTE;
	r->slots = g_ptr_array_new_with_free_func(free_slot);
	open_hour(r, now / JH_USEC_PER_HOUR,
	    (unsigned int)(now / JH_USEC_PER_MINUTE % JH_MINUTES));
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

/* Bounds the memory taken by hours that cannot be written. */
static void
drop_oldest(struct jh_refusals *r)
{
	struct jh_refusal_slot *s;
	guint i, full = 0;

	for (i = 0; i < r->slots->len; i++) {
		s = r->slots->pdata[i];
		full += !s->stub;
	}
	for (i = 0; i < r->slots->len && full > r->set.max_hours; i++) {
		s = r->slots->pdata[i];
		if (s->stub)
			continue;
		full--;
		r->dropped++;
		/* An object that exists stays open there: unaccounted. */
		if (s->exists)
			g_ptr_array_remove_index(r->slots, i--);
		else
			jh_refusal_slot_strip(s);
	}
	while (r->slots->len - full > MAX_STUBS)
		g_ptr_array_remove_index(r->slots, 0);
}

static uint64_t
open_at(const struct jh_refusals *r)
{
	return r->next_hour * JH_USEC_PER_HOUR - OPEN_AHEAD_USEC + r->phase;
}

/* Opens the hours up to the present one, and the next when it is near. */
static void
roll(struct jh_refusals *r, uint64_t now)
{
	uint64_t hour = now / JH_USEC_PER_HOUR;

	if (r->closed)
		return;
	/* A clock that leaps ahead opens no more hours than are held. */
	if (hour > r->next_hour + r->set.max_hours)
		r->next_hour = hour - r->set.max_hours;
	while (r->next_hour <= hour)
		open_hour(r, r->next_hour, 0);
	if (r->next_hour == hour + 1 && now >= open_at(r))
		open_hour(r, r->next_hour, 0);
	drop_oldest(r);
}

static struct jh_refusal_slot *
find_slot(struct jh_refusals *r, uint64_t hour)
{
	struct jh_refusal_slot *s;
	guint i;

	for (i = 0; i < r->slots->len; i++) {
		s = r->slots->pdata[i];
		if (s->data->hour == hour && !s->stub)
			return s;
	}
	return NULL;
}

/* The slot of now, or the oldest held if the clock has stepped back. */
static struct jh_refusal_slot *
slot_of(struct jh_refusals *r, uint64_t now, unsigned int *minute)
{
	struct jh_refusal_slot *s;
	guint i;

	roll(r, now);
	*minute = (unsigned int)(now / JH_USEC_PER_MINUTE % JH_MINUTES);
	s = find_slot(r, now / JH_USEC_PER_HOUR);
	if (s != NULL)
		return s;
	for (i = 0; i < r->slots->len; i++) {
		s = r->slots->pdata[i];
		if (!s->stub)
			break;
	}
	if (i == r->slots->len)
		s = open_hour(r, r->next_hour, 0);
	*minute = s->data->from;
	s->data->late++;
	return s;
}

void
jh_refusals_count(struct jh_refusals *r, uint64_t now, struct jh_str owner,
    struct jh_str class)
{
	struct jh_refusal_slot *s;
	unsigned int minute;

	s = slot_of(r, now, &minute);
	s->changes++;
	if (!jh_refusal_hour_add(s->data, r->set.max_pairs, r->set.max_bytes,
		owner, class, minute, 1))
		s->data->overflow[minute]++;
}

void
jh_refusals_seen(struct jh_refusals *r, uint64_t now, struct jh_str instance,
    uint64_t incarnation)
{
	struct jh_refusal_slot *s;

	roll(r, now);
	s = find_slot(r, now / JH_USEC_PER_HOUR);
	if (s == NULL)
		return;
	if (!jh_refusal_hour_see(s->data, r->set.max_seen, r->set.max_bytes,
		instance, incarnation,
		(unsigned int)(now / JH_USEC_PER_MINUTE % JH_MINUTES)))
		s->data->seen_cut++;
}

struct jh_refusals_write *
jh_refusals_next(struct jh_refusals *r, uint64_t now)
{
	struct jh_refusals_write *w;
	struct jh_refusal_slot *s;
	guint i;

	roll(r, now);
	for (i = 0; i < r->slots->len; i++) {
		s = r->slots->pdata[i];
		if (s->op != 0 || s->due > now)
			continue;
		s->op = ++r->last_op;
		jh_refusal_slot_cover(s, now, r->closed);
		w = g_new0(struct jh_refusals_write, 1);
		w->op = s->op;
		w->object = jh_refusal_hour_name(s->data);
		w->create = !s->exists;
		w->version = s->version;
		w->value = jh_refusal_hour_encode(s->data, &w->value_len);
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
		if (jh_refusal_slot_result(s, now, r->phase, result, version))
			g_ptr_array_remove_index(r->slots, i);
		return;
	}
}

uint64_t
jh_refusals_due(const struct jh_refusals *r)
{
	uint64_t due = r->closed ? JH_NEVER : open_at(r);
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

	roll(r, now);
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
