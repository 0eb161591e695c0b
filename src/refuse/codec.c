#include <string.h>

#include <jansson.h>

#include "refuse/hour.h"

#define RECORD_FORMAT 1
#define INCARNATION_LEN 16

G_DEFINE_QUARK(jh_refusals_error_quark, jh_refusals_error)

static json_t *
encode_uint(uint64_t v)
{
	return json_integer((json_int_t)MIN(v, (uint64_t)G_MAXINT64));
}

static json_t *
encode_hex(uint64_t v)
{
	char text[INCARNATION_LEN + 1];

	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", v);
	return json_string(text);
}

static json_t *
encode_minute_count(unsigned int minute, uint64_t count)
{
	json_t *minute_count = json_array();

	json_array_append_new(minute_count, encode_uint(minute));
	json_array_append_new(minute_count, encode_uint(count));
	return minute_count;
}

static json_t *
encode_pair(const struct jh_refusal_pair *p)
{
	json_t *o = json_object(), *minutes = json_array();
	struct jh_refusal_minute *c;
	guint i;

	for (i = 0; i < p->minutes->len; i++) {
		c = &g_array_index(p->minutes, struct jh_refusal_minute, i);
		json_array_append_new(
		    minutes, encode_minute_count(c->minute, c->count));
	}
	json_object_set_new(o, "owner", json_string(p->owner));
	json_object_set_new(o, "class", json_string(p->class));
	json_object_set_new(o, "minutes", minutes);
	return o;
}

static json_t *
encode_peer(const struct jh_refusal_peer *p)
{
	json_t *o = json_object();

	json_object_set_new(o, "instance", json_string(p->instance));
	json_object_set_new(o, "incarnation", encode_hex(p->incarnation));
	json_object_set_new(o, "from", encode_uint(p->from));
	return o;
}

char *
jh_refusal_hour_encode(const struct jh_refusal_hour *h, size_t *len)
{
	json_t *o = json_object(), *rows = json_array();
	json_t *overflow = json_array(), *peers = json_array();
	char *text, *out;
	guint i;

	for (i = 0; i < h->pairs->len; i++)
		json_array_append_new(rows, encode_pair(h->pairs->pdata[i]));
	for (i = 0; i < JH_MINUTES_PER_HOUR; i++) {
		if (h->overflow[i] > 0)
			json_array_append_new(
			    overflow, encode_minute_count(i, h->overflow[i]));
	}
	for (i = 0; i < h->peers->len; i++)
		json_array_append_new(peers, encode_peer(h->peers->pdata[i]));
	json_object_set_new(o, "format", encode_uint(RECORD_FORMAT));
	json_object_set_new(o, "hour", encode_uint(h->hour));
	json_object_set_new(o, "instance", json_string(h->instance));
	json_object_set_new(o, "incarnation", encode_hex(h->incarnation));
	json_object_set_new(o, "write", encode_uint(h->write_number));
	json_object_set_new(o, "from", encode_uint(h->from));
	json_object_set_new(o, "covered_until", encode_uint(h->covered_until));
	json_object_set_new(o, "closed", json_boolean(h->closed));
	json_object_set_new(o, "late", encode_uint(h->late));
	json_object_set_new(o, "rows", rows);
	json_object_set_new(o, "overflow", overflow);
	json_object_set_new(o, "seen", peers);
	json_object_set_new(o, "seen_cut", encode_uint(h->peers_omitted));
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	out = g_strdup(text);
	free(text);
	*len = strlen(out);
	return out;
}

static bool
get_uint(json_t *v, uint64_t max, uint64_t *out)
{
	if (!json_is_integer(v) || json_integer_value(v) < 0 ||
	    (uint64_t)json_integer_value(v) > max)
		return false;
	*out = (uint64_t)json_integer_value(v);
	return true;
}

static bool
get_minute(json_t *o, const char *name, uint64_t max, unsigned int *out)
{
	uint64_t v;

	if (!get_uint(json_object_get(o, name), max, &v))
		return false;
	*out = (unsigned int)v;
	return true;
}

static bool
get_hex(json_t *v, uint64_t *out)
{
	const char *s = json_string_value(v);
	guint64 n;

	if (s == NULL || strlen(s) != INCARNATION_LEN ||
	    !g_ascii_string_to_unsigned(s, 16, 0, G_MAXUINT64, &n, NULL))
		return false;
	*out = n;
	return true;
}

static bool
get_minute_count(json_t *v, uint64_t *minute, uint64_t *count)
{
	return json_array_size(v) == 2 &&
	       get_uint(
		   json_array_get(v, 0), JH_MINUTES_PER_HOUR - 1, minute) &&
	       get_uint(json_array_get(v, 1), G_MAXINT64, count);
}

static bool
decode_row(struct jh_refusal_hour *h, json_t *o)
{
	const char *owner = json_string_value(json_object_get(o, "owner"));
	const char *class = json_string_value(json_object_get(o, "class"));
	json_t *minutes = json_object_get(o, "minutes"), *minute_count;
	uint64_t minute, count;
	size_t i;

	if (owner == NULL || class == NULL || !json_is_array(minutes))
		return false;
	json_array_foreach(minutes, i, minute_count)
	{
		if (!get_minute_count(minute_count, &minute, &count) ||
		    !jh_refusal_hour_add(h, SIZE_MAX, SIZE_MAX,
			jh_str_from(owner), jh_str_from(class),
			(unsigned int)minute, count))
			return false;
	}
	return true;
}

static bool
decode_peer(struct jh_refusal_hour *h, json_t *o)
{
	const char *name = json_string_value(json_object_get(o, "instance"));
	uint64_t incarnation;
	unsigned int from;

	return name != NULL &&
	       get_hex(json_object_get(o, "incarnation"), &incarnation) &&
	       get_minute(o, "from", JH_MINUTES_PER_HOUR - 1, &from) &&
	       jh_refusal_hour_add_peer(
		   h, SIZE_MAX, SIZE_MAX, jh_str_from(name), incarnation, from);
}

static bool
decode_lists(struct jh_refusal_hour *h, json_t *o)
{
	json_t *rows = json_object_get(o, "rows");
	json_t *overflow = json_object_get(o, "overflow");
	json_t *peers = json_object_get(o, "seen"), *v;
	uint64_t minute, count;
	size_t i;

	if (!json_is_array(rows) || !json_is_array(overflow) ||
	    !json_is_array(peers))
		return false;
	json_array_foreach(rows, i, v)
	{
		if (!decode_row(h, v))
			return false;
	}
	json_array_foreach(overflow, i, v)
	{
		if (!get_minute_count(v, &minute, &count))
			return false;
		h->overflow[minute] += count;
	}
	json_array_foreach(peers, i, v)
	{
		if (!decode_peer(h, v))
			return false;
	}
	return true;
}

static bool
decode_scalars(struct jh_refusal_hour *h, json_t *o)
{
	json_t *closed = json_object_get(o, "closed");

	h->closed = json_is_true(closed);
	return json_is_boolean(closed) &&
	       json_integer_value(json_object_get(o, "format")) ==
		   RECORD_FORMAT &&
	       get_uint(json_object_get(o, "hour"), G_MAXINT32, &h->hour) &&
	       get_hex(json_object_get(o, "incarnation"), &h->incarnation) &&
	       get_uint(
		   json_object_get(o, "write"), G_MAXINT64, &h->write_number) &&
	       get_uint(json_object_get(o, "late"), G_MAXINT64, &h->late) &&
	       get_uint(json_object_get(o, "seen_cut"), G_MAXINT64,
		   &h->peers_omitted) &&
	       get_minute(o, "from", JH_MINUTES_PER_HOUR, &h->from) &&
	       get_minute(
		   o, "covered_until", JH_MINUTES_PER_HOUR, &h->covered_until);
}

struct jh_refusal_hour *
jh_refusal_hour_decode(struct jh_str text, GError **err)
{
	struct jh_refusal_hour *h = NULL;
	const char *instance;
	json_t *o;

	o = json_loadb(text.ptr == NULL ? "" : text.ptr, text.len,
	    JSON_REJECT_DUPLICATES, NULL);
	instance = json_string_value(json_object_get(o, "instance"));
	if (instance != NULL) {
		h = jh_refusal_hour_create(0, instance, 0);
		if (!decode_scalars(h, o) || !decode_lists(h, o)) {
			jh_refusal_hour_free(h);
			h = NULL;
		}
	}
	json_decref(o);
	if (h == NULL)
		g_set_error(err, JH_REFUSALS_ERROR, JH_REFUSALS_ERROR_INVALID,
		    "refusal record is malformed");
	return h;
}
