#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "member/rollout_record.h"

static void
clear_seat(gpointer p)
{
	g_free(((struct rollout_seat *)p)->instance);
}

static void
add_seat(GArray *seats, json_t *o)
{
	const char *instance, *incarnation, *nonce;
	struct rollout_seat seat = {0};
	json_int_t deadline;

	if (json_unpack(o, "{s:s, s:s, s:I, s:s}", "instance", &instance,
		"incarnation", &incarnation, "deadline_usec", &deadline,
		"nonce", &nonce) != 0 ||
	    deadline < 0)
		return;
	seat.instance = g_strdup(instance);
	seat.incarnation = g_ascii_strtoull(incarnation, NULL, 16);
	seat.deadline = (uint64_t)deadline;
	seat.nonce = g_ascii_strtoull(nonce, NULL, 16);
	g_array_append_val(seats, seat);
}

GArray *
rollout_record_parse(struct jh_str text)
{
	GArray *seats = g_array_new(FALSE, FALSE, sizeof(struct rollout_seat));
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL), *o;
	size_t i;

	g_array_set_clear_func(seats, clear_seat);
	json_array_foreach(json_object_get(root, "out"), i, o)
	{
		add_seat(seats, o);
	}
	json_decref(root);
	return seats;
}

static json_t *
format_seat(const struct rollout_seat *s)
{
	char incarnation[20], nonce[20];

	/* JSON integers have no room for 64 bits without a sign. */
	g_snprintf(incarnation, sizeof(incarnation),
	    "%016" G_GINT64_MODIFIER "x", s->incarnation);
	g_snprintf(
	    nonce, sizeof(nonce), "%016" G_GINT64_MODIFIER "x", s->nonce);
	return json_pack("{s:s, s:s, s:I, s:s}", "instance", s->instance,
	    "incarnation", incarnation, "deadline_usec",
	    (json_int_t)s->deadline, "nonce", nonce);
}

char *
rollout_record_format(const GArray *seats)
{
	json_t *list = json_array(), *root;
	char *text, *out;
	guint i;

	for (i = 0; i < seats->len; i++)
		json_array_append_new(list,
		    format_seat(&g_array_index(seats, struct rollout_seat, i)));
	root = json_pack("{s:o}", "out", list);
	text = json_dumps(root, JSON_COMPACT);
	out = g_strdup(text);
	free(text);
	json_decref(root);
	return out;
}

struct rollout_seat *
rollout_record_find(const GArray *seats, const char *instance)
{
	struct rollout_seat *s;
	guint i;

	for (i = 0; i < seats->len; i++) {
		s = &g_array_index(seats, struct rollout_seat, i);
		if (strcmp(s->instance, instance) == 0)
			return s;
	}
	return NULL;
}

void
rollout_record_remove(GArray *seats, const char *instance)
{
	guint i;

	for (i = seats->len; i-- > 0;) {
		if (strcmp(
			g_array_index(seats, struct rollout_seat, i).instance,
			instance) == 0)
			g_array_remove_index(seats, i);
	}
}

void
rollout_record_expire(GArray *seats, uint64_t before)
{
	guint i;

	for (i = seats->len; i-- > 0;) {
		if (g_array_index(seats, struct rollout_seat, i).deadline <
		    before)
			g_array_remove_index(seats, i);
	}
}
