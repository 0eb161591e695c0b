#include <string.h>

#include "refuse/hour.h"

/* Upper bounds of the encoded sizes in bytes. */
#define BASE_BYTES 2048 /* the fixed fields and the overflow row */
#define MINUTE_BYTES 6 /* [59,], without the count */
#define PAIR_BYTES 40 /* without its names */
#define PEER_BYTES 72 /* without its instance name */

static void
free_pair(gpointer p)
{
	struct jh_refusal_pair *pair = p;

	g_free(pair->owner);
	g_free(pair->class);
	g_array_free(pair->minutes, TRUE);
	g_free(pair);
}

static void
free_peer(gpointer p)
{
	struct jh_refusal_peer *peer = p;

	g_free(peer->instance);
	g_free(peer);
}

struct jh_refusal_hour *
jh_refusal_hour_create(
    uint64_t hour, const char *instance, uint64_t incarnation)
{
	struct jh_refusal_hour *h = g_new0(struct jh_refusal_hour, 1);

	h->hour = hour;
	h->instance = g_strdup(instance);
	h->incarnation = incarnation;
	h->pairs = g_ptr_array_new_with_free_func(free_pair);
	h->by_name =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	h->peers = g_ptr_array_new_with_free_func(free_peer);
	h->bytes = BASE_BYTES + strlen(instance);
	return h;
}

void
jh_refusal_hour_free(struct jh_refusal_hour *h)
{
	if (h == NULL)
		return;
	g_hash_table_destroy(h->by_name);
	g_ptr_array_free(h->pairs, TRUE);
	g_ptr_array_free(h->peers, TRUE);
	g_free(h->instance);
	g_free(h);
}

/*
 * Whether the name is short and needs no JSON escapes, so that its encoded size
 * is bounded.
 */
static bool
is_plain_name(struct jh_str s)
{
	size_t i;

	if (s.len > JH_REFUSALS_NAME_MAX ||
	    !g_utf8_validate(s.ptr, (gssize)s.len, NULL))
		return false;
	for (i = 0; i < s.len; i++) {
		if ((unsigned char)s.ptr[i] < 0x20 || s.ptr[i] == '"' ||
		    s.ptr[i] == '\\')
			return false;
	}
	return true;
}

static size_t
digits(uint64_t v)
{
	size_t n = 1;

	while (v >= 10) {
		v /= 10;
		n++;
	}
	return n;
}

/* Adds to the encoded size unless that would exceed max_bytes. */
static bool
reserve_bytes(struct jh_refusal_hour *h, size_t max_bytes, size_t bytes)
{
	if (h->bytes + bytes > max_bytes)
		return false;
	h->bytes += bytes;
	return true;
}

static struct jh_refusal_pair *
add_pair(struct jh_refusal_hour *h, size_t max_pairs, size_t max_bytes,
    struct jh_str owner, struct jh_str class, char *name)
{
	struct jh_refusal_pair *p;

	if (h->pairs->len >= max_pairs ||
	    !reserve_bytes(h, max_bytes, PAIR_BYTES + owner.len + class.len))
		return NULL;
	p = g_new0(struct jh_refusal_pair, 1);
	p->owner = jh_str_dup(owner);
	p->class = jh_str_dup(class);
	p->minutes =
	    g_array_new(FALSE, FALSE, sizeof(struct jh_refusal_minute));
	g_ptr_array_add(h->pairs, p);
	g_hash_table_insert(h->by_name, g_strdup(name), p);
	return p;
}

static bool
add_to_minute(struct jh_refusal_hour *h, size_t max_bytes,
    struct jh_refusal_pair *p, unsigned int minute, uint64_t count)
{
	struct jh_refusal_minute minute_count = {minute, count}, *c;
	guint i = p->minutes->len;

	while (i > 0) {
		c = &g_array_index(p->minutes, struct jh_refusal_minute, i - 1);
		if (c->minute == minute) {
			if (!reserve_bytes(h, max_bytes,
				digits(c->count + count) - digits(c->count)))
				return false;
			c->count += count;
			return true;
		}
		if (c->minute < minute)
			break;
		i--;
	}
	if (!reserve_bytes(h, max_bytes, MINUTE_BYTES + digits(count)))
		return false;
	g_array_insert_val(p->minutes, i, minute_count);
	return true;
}

bool
jh_refusal_hour_add(struct jh_refusal_hour *h, size_t max_pairs,
    size_t max_bytes, struct jh_str owner, struct jh_str class,
    unsigned int minute, uint64_t count)
{
	struct jh_refusal_pair *p;
	char *name;

	if (!is_plain_name(owner) || !is_plain_name(class))
		return false;
	name = g_strdup_printf(
	    "%.*s\n%.*s", (int)owner.len, owner.ptr, (int)class.len, class.ptr);
	p = g_hash_table_lookup(h->by_name, name);
	if (p == NULL)
		p = add_pair(h, max_pairs, max_bytes, owner, class, name);
	g_free(name);
	return p != NULL && add_to_minute(h, max_bytes, p, minute, count);
}

bool
jh_refusal_hour_add_peer(struct jh_refusal_hour *h, size_t max_peers,
    size_t max_bytes, struct jh_str instance, uint64_t incarnation,
    unsigned int minute)
{
	struct jh_refusal_peer *p;
	guint i;

	for (i = 0; i < h->peers->len; i++) {
		p = h->peers->pdata[i];
		if (p->incarnation == incarnation &&
		    jh_str_eq(jh_str_from(p->instance), instance))
			return true;
	}
	if (!is_plain_name(instance) || h->peers->len >= max_peers ||
	    h->bytes + PEER_BYTES + instance.len > max_bytes)
		return false;
	p = g_new0(struct jh_refusal_peer, 1);
	p->instance = jh_str_dup(instance);
	p->incarnation = incarnation;
	p->from = minute;
	g_ptr_array_add(h->peers, p);
	h->bytes += PEER_BYTES + instance.len;
	return true;
}

char *
jh_refusals_prefix(uint64_t hour)
{
	GDateTime *t = g_date_time_new_from_unix_utc((gint64)(hour * 3600));
	char *text = g_date_time_format(t, "refusals/%Y-%m-%dT%H/");

	g_date_time_unref(t);
	return text;
}

char *
jh_refusal_hour_name(const struct jh_refusal_hour *h)
{
	char *prefix = jh_refusals_prefix(h->hour);
	char *name;

	name = g_strdup_printf("%s%s-%016" G_GINT64_MODIFIER "x", prefix,
	    h->instance, h->incarnation);
	g_free(prefix);
	return name;
}
