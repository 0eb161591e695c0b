#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "member/lease_record.h"

char *
lease_record_format(const struct lease_record *r)
{
	char incarnation[20], nonce[20];
	json_t *o;
	char *text, *out;

	/* JSON integers cannot hold unsigned 64-bit values. */
	g_snprintf(incarnation, sizeof(incarnation),
	    "%016" G_GINT64_MODIFIER "x", r->incarnation);
	g_snprintf(
	    nonce, sizeof(nonce), "%016" G_GINT64_MODIFIER "x", r->nonce);
	o = json_pack("{s:s, s:s, s:I, s:s}", "holder", r->holder,
	    "incarnation", incarnation, "deadline_usec",
	    (json_int_t)r->deadline, "nonce", nonce);
	text = json_dumps(o, JSON_COMPACT);
	out = g_strdup(text);
	free(text);
	json_decref(o);
	return out;
}

void
lease_record_parse(struct lease_record *r, struct jh_str text)
{
	json_t *o = json_loadb(text.ptr, text.len, 0, NULL);
	const char *holder, *incarnation, *nonce;
	json_int_t deadline;

	memset(r, 0, sizeof(*r));
	if (json_unpack(o, "{s:s, s:s, s:I, s:s}", "holder", &holder,
		"incarnation", &incarnation, "deadline_usec", &deadline,
		"nonce", &nonce) == 0 &&
	    deadline >= 0) {
		g_strlcpy(r->holder, holder, sizeof(r->holder));
		r->incarnation = g_ascii_strtoull(incarnation, NULL, 16);
		r->nonce = g_ascii_strtoull(nonce, NULL, 16);
		r->deadline = (uint64_t)deadline;
	}
	json_decref(o);
}
