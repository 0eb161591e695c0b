#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "member/readers.h"

struct process {
	char *name;
	uint64_t rank;
};

struct jh_readers {
	uint64_t rank; /* of this process */
	GPtrArray *others; /* struct process, in order of rank */
	unsigned int shift; /* sources that did not serve */
};

static uint64_t
rank_of(const char *name)
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

struct jh_readers *
jh_readers_create(const char *self)
{
	struct jh_readers *r = g_new0(struct jh_readers, 1);

	r->rank = rank_of(self);
	r->others = g_ptr_array_new_with_free_func(free_process);
	return r;
}

void
jh_readers_destroy(struct jh_readers *r)
{
	if (r == NULL)
		return;
	g_ptr_array_free(r->others, TRUE);
	g_free(r);
}

void
jh_readers_add(struct jh_readers *r, const char *name)
{
	struct process *p = g_new0(struct process, 1);
	guint at;

	jh_readers_remove(r, name);
	p->name = g_strdup(name);
	p->rank = rank_of(name);
	for (at = 0; at < r->others->len; at++) {
		const struct process *o = g_ptr_array_index(r->others, at);
		if (o->rank > p->rank)
			break;
	}
	g_ptr_array_insert(r->others, (gint)at, p);
}

void
jh_readers_remove(struct jh_readers *r, const char *name)
{
	guint i;

	for (i = 0; i < r->others->len; i++) {
		const struct process *o = g_ptr_array_index(r->others, i);
		if (strcmp(o->name, name) != 0)
			continue;
		g_ptr_array_remove_index(r->others, i);
		return;
	}
}

/* Processes of lower rank than this one. */
static guint
place(const struct jh_readers *r)
{
	guint i;

	for (i = 0; i < r->others->len; i++) {
		const struct process *o = g_ptr_array_index(r->others, i);
		if (o->rank > r->rank)
			break;
	}
	return i;
}

bool
jh_readers_all(const struct jh_readers *r)
{
	return r->others->len + 1 <= JH_READERS_EACH;
}

const char *
jh_readers_source(const struct jh_readers *r)
{
	const guint readers = MAX(1U + r->others->len / JH_READERS_EACH, 1U);
	const struct process *p;

	if (jh_readers_all(r) || place(r) < readers)
		return NULL;
	p = g_ptr_array_index(r->others, (r->rank + r->shift) % readers);
	return p->name;
}

void
jh_readers_failed(struct jh_readers *r)
{
	r->shift++;
}
