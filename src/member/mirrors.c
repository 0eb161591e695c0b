#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "member/mirrors.h"

struct process {
	char *name;
	uint64_t rank;
	uint64_t backoff_until; /* 0: it served, or was not asked */
};

struct jh_mirrors {
	uint64_t rank; /* hash of this process's name */
	GPtrArray *peers; /* other processes as struct process, by rank */
};

static uint64_t
hash_name(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

static void
free_process(void *p)
{
	struct process *process = p;

	g_free(process->name);
	g_free(process);
}

struct jh_mirrors *
jh_mirrors_create(const char *self)
{
	struct jh_mirrors *r = g_new0(struct jh_mirrors, 1);

	r->rank = hash_name(self);
	r->peers = g_ptr_array_new_with_free_func(free_process);
	return r;
}

void
jh_mirrors_destroy(struct jh_mirrors *r)
{
	if (r == NULL)
		return;
	g_ptr_array_free(r->peers, TRUE);
	g_free(r);
}

void
jh_mirrors_add(struct jh_mirrors *r, const char *name)
{
	struct process *p = g_new0(struct process, 1);
	guint at;

	jh_mirrors_remove(r, name);
	p->name = g_strdup(name);
	p->rank = hash_name(name);
	for (at = 0; at < r->peers->len; at++) {
		const struct process *o = g_ptr_array_index(r->peers, at);
		if (o->rank > p->rank)
			break;
	}
	g_ptr_array_insert(r->peers, (gint)at, p);
}

void
jh_mirrors_remove(struct jh_mirrors *r, const char *name)
{
	guint i;

	for (i = 0; i < r->peers->len; i++) {
		const struct process *o = g_ptr_array_index(r->peers, i);
		if (strcmp(o->name, name) != 0)
			continue;
		g_ptr_array_remove_index(r->peers, i);
		return;
	}
}

/* The number of processes of lower rank than this one. */
static guint
position(const struct jh_mirrors *r)
{
	guint i;

	for (i = 0; i < r->peers->len; i++) {
		const struct process *o = g_ptr_array_index(r->peers, i);
		if (o->rank > r->rank)
			break;
	}
	return i;
}

bool
jh_mirrors_unused(const struct jh_mirrors *r)
{
	return r->peers->len + 1 <= JH_MIRRORS_MIN_ZONE;
}

const char *
jh_mirrors_source(const struct jh_mirrors *r, uint64_t now)
{
	const guint n_mirrors =
	    MAX(1U + r->peers->len / JH_MIRRORS_GROUP_SIZE, JH_MIRRORS_MIN);
	const struct process *p;
	guint i;

	if (jh_mirrors_unused(r) || position(r) < n_mirrors)
		return NULL;
	for (i = 0; i < n_mirrors; i++) {
		p = g_ptr_array_index(r->peers, (r->rank + i) % n_mirrors);
		if (now >= p->backoff_until)
			return p->name;
	}
	return NULL;
}

void
jh_mirrors_source_failed(struct jh_mirrors *r, uint64_t now, const char *name)
{
	struct process *p;
	guint i;

	for (i = 0; i < r->peers->len; i++) {
		p = g_ptr_array_index(r->peers, i);
		if (strcmp(p->name, name) == 0)
			p->backoff_until = now + JH_MIRRORS_BACKOFF_USEC;
	}
}
