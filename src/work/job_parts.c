#include <stdio.h>

#include <glib.h>

#include "work/job_parts.h"

void
jh_job_parts_format(const struct jh_job_parts *p, char out[JH_JOB_PARTS_SIZE])
{
	size_t i;

	*out = '\0';
	for (i = 0; i < p->n; i++)
		out += sprintf(out, "%s%016" G_GINT64_MODIFIER "x",
		    i == 0 ? "" : ",", p->part[i].low);
}

bool
jh_job_parts_parse(struct jh_job_parts *out, const char *text)
{
	char **list = g_strsplit(text, ",", -1);
	guint64 hash;
	guint i;

	out->n = 0;
	if (g_strv_length(list) > G_N_ELEMENTS(out->part))
		goto malformed;
	for (i = 0; list[i] != NULL; i++) {
		if (!g_ascii_string_to_unsigned(
			list[i], 16, 0, G_MAXUINT64, &hash, NULL))
			goto malformed;
		out->part[out->n++] = jh_fingerprint_of_part(hash);
	}
	g_strfreev(list);
	return true;
malformed:
	g_strfreev(list);
	return false;
}
