#include <string.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/members.h>

#define MIN_BACKOFF_USEC (JH_USEC_PER_SEC / 2)
#define MAX_BACKOFF_USEC (30 * JH_USEC_PER_SEC)

/* A member with what each source states of it. */
struct entry {
	struct jh_member member;
	bool list_leaving;
	bool reported_leaving;
	uint64_t previous_incarnation; /* the one before the present */
	bool in_list; /* used by jh_members_set_list() */
};

struct jh_members {
	GTree *by_id; /* instance id to struct entry, owned */
	uint64_t generation;
};

static void
free_entry(gpointer p)
{
	struct entry *e = p;
	struct jh_instance *i = &e->member.instance;

	g_free(i->id);
	g_free(i->zone);
	g_free(i->region);
	g_free(i->service);
	g_strfreev(i->models);
	g_free(e);
}

static int
compare_ids(gconstpointer a, gconstpointer b, gpointer arg)
{
	return strcmp(a, b);
}

struct jh_members *
jh_members_create(void)
{
	struct jh_members *m = g_new0(struct jh_members, 1);

	m->by_id = g_tree_new_full(compare_ids, NULL, NULL, free_entry);
	return m;
}

void
jh_members_destroy(struct jh_members *m)
{
	if (m == NULL)
		return;
	g_tree_unref(m->by_id);
	g_free(m);
}

static bool
update_leaving(struct entry *e)
{
	bool leaving = e->list_leaving || e->reported_leaving;
	bool changed = e->member.instance.leaving != leaving;

	e->member.instance.leaving = leaving;
	return changed;
}

/* Resets what was known of the process before its restart. */
static void
set_incarnation(struct entry *e, uint64_t incarnation)
{
	e->previous_incarnation = e->member.instance.incarnation;
	e->member.instance.incarnation = incarnation;
	e->member.failures = 0;
	e->member.backoff_until = 0;
	e->reported_leaving = false;
	e->list_leaving = false;
}

static bool
same_models(char **a, char **b)
{
	return g_strv_equal((const char *const *)a, (const char *const *)b);
}

static bool
same_description(const struct jh_instance *a, const struct jh_instance *b)
{
	return a->role == b->role &&
	       memcmp(&a->address, &b->address, sizeof(a->address)) == 0 &&
	       memcmp(&a->rpc_address, &b->rpc_address,
		   sizeof(a->rpc_address)) == 0 &&
	       strcmp(a->zone, b->zone) == 0 &&
	       strcmp(a->region, b->region) == 0 &&
	       g_strcmp0(a->service, b->service) == 0 &&
	       same_models(a->models, b->models);
}

/* Copies all but the incarnation and leaving; returns whether any changed. */
static bool
set_description(struct entry *e, const struct jh_instance *listed)
{
	struct jh_instance *old = &e->member.instance, *new;

	new = jh_instance_copy(listed);
	new->incarnation = old->incarnation;
	new->leaving = old->leaving;
	if (same_description(old, new)) {
		jh_instance_free(new);
		return false;
	}
	/* The old id is the tree's key, so it must not be freed. */
	g_free(new->id);
	new->id = old->id;
	g_free(old->zone);
	g_free(old->region);
	g_free(old->service);
	g_strfreev(old->models);
	*old = *new;
	g_free(new);
	return true;
}

static bool
update_entry(struct entry *e, const struct jh_instance *listed)
{
	uint64_t present = e->member.instance.incarnation;
	bool changed = set_description(e, listed);

	/* The list lags: the instance itself already reported a restart. */
	if (listed->incarnation != 0 &&
	    listed->incarnation == e->previous_incarnation)
		return changed;
	if (listed->incarnation != 0 && listed->incarnation != present) {
		set_incarnation(e, listed->incarnation);
		changed = true;
	}
	e->list_leaving = listed->leaving;
	return update_leaving(e) || changed;
}

static struct entry *
entry_create(const struct jh_instance *listed)
{
	struct jh_instance *copy = jh_instance_copy(listed);
	struct entry *e = g_new0(struct entry, 1);

	e->member.instance = *copy;
	e->list_leaving = listed->leaving;
	e->in_list = true;
	g_free(copy);
	return e;
}

static void
add_entry(struct jh_members *m, const struct jh_instance *listed)
{
	struct entry *e = entry_create(listed);

	g_tree_insert(m->by_id, e->member.instance.id, e);
}

static bool
drop_unlisted(struct jh_members *m)
{
	GTreeNode *n = g_tree_node_first(m->by_id), *next;
	bool dropped = false;
	struct entry *e;

	for (; n != NULL; n = next) {
		next = g_tree_node_next(n);
		e = g_tree_node_value(n);
		if (!e->in_list) {
			g_tree_remove(m->by_id, e->member.instance.id);
			dropped = true;
		}
	}
	return dropped;
}

static void
clear_marks(struct jh_members *m)
{
	GTreeNode *n = g_tree_node_first(m->by_id);

	for (; n != NULL; n = g_tree_node_next(n))
		((struct entry *)g_tree_node_value(n))->in_list = false;
}

bool
jh_members_set_list(
    struct jh_members *m, const struct jh_instance *const *list, size_t n)
{
	bool changed = false;
	struct entry *e;
	size_t i;

	if (n == 0 && g_tree_nnodes(m->by_id) > 0)
		return false;
	clear_marks(m);
	for (i = 0; i < n; i++) {
		e = g_tree_lookup(m->by_id, list[i]->id);
		if (e == NULL) {
			add_entry(m, list[i]);
			changed = true;
		} else {
			e->in_list = true;
			changed |= update_entry(e, list[i]);
		}
	}
	changed |= drop_unlisted(m);
	m->generation += changed ? 1 : 0;
	return changed;
}

void
jh_members_replied(
    struct jh_members *m, const char *id, uint64_t incarnation, bool leaving)
{
	struct entry *e = g_tree_lookup(m->by_id, id);
	bool changed = false;

	if (e == NULL ||
	    (incarnation != 0 && incarnation == e->previous_incarnation))
		return;
	if (incarnation != 0 && incarnation != e->member.instance.incarnation) {
		/* The first known incarnation is no restart: leaving stays. */
		if (e->member.instance.incarnation != 0)
			set_incarnation(e, incarnation);
		e->member.instance.incarnation = incarnation;
		changed = true;
	}
	e->member.failures = 0;
	e->member.backoff_until = 0;
	e->reported_leaving = e->reported_leaving || leaving;
	changed |= update_leaving(e);
	m->generation += changed ? 1 : 0;
}

void
jh_members_failed(
    struct jh_members *m, const char *id, uint64_t incarnation, uint64_t now)
{
	struct entry *e = g_tree_lookup(m->by_id, id);
	uint64_t backoff;

	if (e == NULL ||
	    (incarnation != 0 && e->member.instance.incarnation != 0 &&
		incarnation != e->member.instance.incarnation))
		return;
	/* Requests that fail together count as one failure. */
	if (now < e->member.backoff_until)
		return;
	backoff = MIN_BACKOFF_USEC << MIN(e->member.failures, 6U);
	e->member.backoff_until = now + MIN(backoff, MAX_BACKOFF_USEC);
	e->member.failures++;
}

const struct jh_member *
jh_members_find(const struct jh_members *m, const char *id)
{
	const struct entry *e = g_tree_lookup(m->by_id, id);

	return e == NULL ? NULL : &e->member;
}

bool
jh_member_usable(const struct jh_member *m, uint64_t now)
{
	return !m->instance.leaving && m->backoff_until <= now;
}

static bool
matches(const struct jh_instance *i, const struct jh_member_filter *f)
{
	return i->role == f->role &&
	       (f->zone == NULL || strcmp(i->zone, f->zone) == 0) &&
	       (f->region == NULL || strcmp(i->region, f->region) == 0) &&
	       (f->service == NULL || g_strcmp0(i->service, f->service) == 0) &&
	       (f->model == NULL ||
		   g_strv_contains((const char *const *)i->models, f->model));
}

void
jh_members_each(const struct jh_members *m,
    const struct jh_member_filter *filter,
    void (*fn)(void *arg, const struct jh_member *member), void *arg)
{
	GTreeNode *n = g_tree_node_first(m->by_id);
	const struct entry *e;

	for (; n != NULL; n = g_tree_node_next(n)) {
		e = g_tree_node_value(n);
		if (matches(&e->member.instance, filter))
			fn(arg, &e->member);
	}
}

size_t
jh_members_count_usable(const struct jh_members *m,
    const struct jh_member_filter *filter, uint64_t now)
{
	GTreeNode *n = g_tree_node_first(m->by_id);
	const struct entry *e;
	size_t count = 0;

	for (; n != NULL; n = g_tree_node_next(n)) {
		e = g_tree_node_value(n);
		if (matches(&e->member.instance, filter) &&
		    jh_member_usable(&e->member, now))
			count++;
	}
	return count;
}

uint64_t
jh_members_generation(const struct jh_members *m)
{
	return m->generation;
}
