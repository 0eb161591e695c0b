#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "member/rollout_record.h"

static void
clear_reservation(gpointer p)
{
	g_free(((struct rollout_reservation *)p)->instance);
}

static void
add_reservation(GArray *reservations, json_t *o)
{
	const char *instance, *incarnation, *nonce;
	struct rollout_reservation reservation = {0};
	json_int_t deadline;

	if (json_unpack(o, "{s:s, s:s, s:I, s:s}", "instance", &instance,
		"incarnation", &incarnation, "deadline_usec", &deadline,
		"nonce", &nonce) != 0 ||
	    deadline < 0)
		return;
	reservation.instance = g_strdup(instance);
	reservation.incarnation = g_ascii_strtoull(incarnation, NULL, 16);
	reservation.deadline = (uint64_t)deadline;
	reservation.nonce = g_ascii_strtoull(nonce, NULL, 16);
	g_array_append_val(reservations, reservation);
}

GArray *
rollout_record_parse(struct jh_str text)
{
	GArray *reservations =
	    g_array_new(FALSE, FALSE, sizeof(struct rollout_reservation));
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL), *o;
	size_t i;

	g_array_set_clear_func(reservations, clear_reservation);
	json_array_foreach(json_object_get(root, "out"), i, o)
	{
		add_reservation(reservations, o);
	}
	json_decref(root);
	return reservations;
}

static json_t *
format_reservation(const struct rollout_reservation *s)
{
	char incarnation[20], nonce[20];

	/* JSON integers cannot hold unsigned 64-bit values. */
	g_snprintf(incarnation, sizeof(incarnation),
	    "%016" G_GINT64_MODIFIER "x", s->incarnation);
	g_snprintf(
	    nonce, sizeof(nonce), "%016" G_GINT64_MODIFIER "x", s->nonce);
	return json_pack("{s:s, s:s, s:I, s:s}", "instance", s->instance,
	    "incarnation", incarnation, "deadline_usec",
	    (json_int_t)s->deadline, "nonce", nonce);
}

char *
rollout_record_format(const GArray *reservations)
{
	json_t *list = json_array(), *root;
	char *text, *out;
	guint i;

	for (i = 0; i < reservations->len; i++)
		json_array_append_new(
		    list, format_reservation(&g_array_index(
			      reservations, struct rollout_reservation, i)));
	root = json_pack("{s:o}", "out", list);
	text = json_dumps(root, JSON_COMPACT);
	out = g_strdup(text);
	free(text);
	json_decref(root);
	return out;
}

struct rollout_reservation *
rollout_record_find(const GArray *reservations, const char *instance)
{
	struct rollout_reservation *s;
	guint i;

	for (i = 0; i < reservations->len; i++) {
		s = &g_array_index(reservations, struct rollout_reservation, i);
		if (strcmp(s->instance, instance) == 0)
			return s;
	}
	return NULL;
}

void
rollout_record_remove(GArray *reservations, const char *instance)
{
	guint i;

	for (i = reservations->len; i-- > 0;) {
		if (strcmp(g_array_index(
			       reservations, struct rollout_reservation, i)
			       .instance,
			instance) == 0)
			g_array_remove_index(reservations, i);
	}
}

void
rollout_record_expire(GArray *reservations, uint64_t before)
{
	guint i;

	for (i = reservations->len; i-- > 0;) {
		if (g_array_index(reservations, struct rollout_reservation, i)
			.deadline < before)
			g_array_remove_index(reservations, i);
	}
}
