#include <string.h>

#include "place_stats.h"

void
place_stats_init(struct place_stats *s)
{
	memset(s, 0, sizeof(*s));
	s->ttft = g_array_new(FALSE, FALSE, sizeof(float));
}

void
place_stats_clear(struct place_stats *s)
{
	g_array_free(s->ttft, TRUE);
}

static gint
cmp_float(gconstpointer a, gconstpointer b)
{
	float x = *(const float *)a, y = *(const float *)b;

	return x < y ? -1 : x > y;
}

double
place_stats_percentile(struct place_stats *s, double share)
{
	guint i;

	if (s->ttft->len == 0)
		return 0;
	g_array_sort(s->ttft, cmp_float);
	i = (guint)(share * s->ttft->len);
	return (double)g_array_index(s->ttft, float, MIN(i, s->ttft->len - 1));
}

double
place_stats_hit(const struct place_stats *s)
{
	return s->prompt_tokens == 0
		   ? 0
		   : (double)s->hit_tokens / (double)s->prompt_tokens;
}

double
place_stats_hit_bound(const struct place_stats *s)
{
	return s->prompt_tokens == 0
		   ? 0
		   : (double)s->hit_bound / (double)s->prompt_tokens;
}
