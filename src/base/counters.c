#include <ck_pr.h>
#include <glib.h>

#include <jacinthhill/counters.h>

struct jh_counters {
	const char *const *names;
	size_t len;
	uint64_t value[];
};

struct jh_counters *
jh_counters_create(const char *const *names, size_t n)
{
	struct jh_counters *c;

	c = g_malloc0(sizeof(*c) + n * sizeof(c->value[0]));
	c->names = names;
	c->len = n;
	return c;
}

void
jh_counters_destroy(struct jh_counters *c)
{
	g_free(c);
}

void
jh_counters_add(struct jh_counters *c, size_t i, uint64_t delta)
{
	ck_pr_add_64(&c->value[i], delta);
}

uint64_t
jh_counters_get(const struct jh_counters *c, size_t i)
{
	return ck_pr_load_64(&c->value[i]);
}

size_t
jh_counters_len(const struct jh_counters *c)
{
	return c->len;
}

const char *
jh_counters_name(const struct jh_counters *c, size_t i)
{
	return c->names[i];
}
