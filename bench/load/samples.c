#include "samples.h"

/* Limits a struct samples to 16 MB. */
#define MAX_SAMPLES (4 << 20)

void
samples_init(struct samples *s)
{
	s->values = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	s->dropped = 0;
}

void
samples_clear(struct samples *s)
{
	g_array_free(s->values, TRUE);
}

void
samples_add(struct samples *s, uint64_t usec)
{
	uint32_t v = (uint32_t)MIN(usec, G_MAXUINT32);

	if (s->values->len == MAX_SAMPLES)
		s->dropped++;
	else
		g_array_append_val(s->values, v);
}

static gint
by_value(gconstpointer a, gconstpointer b)
{
	const uint32_t *x = a, *y = b;

	return *x < *y ? -1 : *x > *y;
}

void
samples_sort(struct samples *s)
{
	g_array_sort(s->values, by_value);
}

double
samples_quantile(const struct samples *s, double q)
{
	guint n = s->values->len, i;

	if (n == 0)
		return 0;
	i = MIN((guint)(q * n), n - 1);
	return g_array_index(s->values, uint32_t, i) / 1000.0;
}
