#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "member/mirrors.h"

struct process {
	char *name;
	uint64_t rank;
};

struct jh_mirrors {
	uint64_t rank; /* hash of this process's name */
	GPtrArray *peers; /* other processes as struct process, by rank */
	unsigned int failures; /* of sources */
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
	return r->peers->len + 1 <= JH_MIRRORS_GROUP_SIZE;
}

const char *
jh_mirrors_source(const struct jh_mirrors *r)
{
	const guint n_mirrors =
	    MAX(1U + r->peers->len / JH_MIRRORS_GROUP_SIZE, 1U);
	const struct process *p;

	if (jh_mirrors_unused(r) || position(r) < n_mirrors)
		return NULL;
	p = g_ptr_array_index(r->peers, (r->rank + r->failures) % n_mirrors);
	return p->name;
}

void
jh_mirrors_source_failed(struct jh_mirrors *r)
{
	r->failures++;
}
