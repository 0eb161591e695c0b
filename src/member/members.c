#include <string.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/members.h>

#define FIRST_HOLD_USEC (JH_USEC_PER_SEC / 2)
#define MAX_HOLD_USEC (30 * JH_USEC_PER_SEC)

/* A member with the sources of its facts. */
struct known {
	struct jh_member member;
	bool list_leaving;
	bool heard_leaving;
	uint64_t previous; /* incarnation before the present one */
	bool in_list; /* marks during jh_members_set_list() */
};

struct jh_members {
	GTree *by_id; /* owns struct known */
	uint64_t generation;
};

static void
free_known(gpointer p)
{
	struct known *k = p;
	struct jh_instance *i = &k->member.instance;

	g_free(i->id);
	g_free(i->zone);
	g_free(i->region);
	g_free(i->service);
	g_strfreev(i->models);
	g_free(k);
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

	m->by_id = g_tree_new_full(compare_ids, NULL, NULL, free_known);
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
set_leaving(struct known *k)
{
	bool leaving = k->list_leaving || k->heard_leaving;
	bool changed = k->member.instance.leaving != leaving;

	k->member.instance.leaving = leaving;
	return changed;
}

/* What was known of the former process does not hold for its successor. */
static void
set_incarnation(struct known *k, uint64_t incarnation)
{
	k->previous = k->member.instance.incarnation;
	k->member.instance.incarnation = incarnation;
	k->member.failures = 0;
	k->member.held_until = 0;
	k->heard_leaving = false;
	k->list_leaving = false;
}

static bool
same_models(char **a, char **b)
{
	return g_strv_equal((const char *const *)a, (const char *const *)b);
}

static bool
same_place(const struct jh_instance *a, const struct jh_instance *b)
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

/* Takes over what only the list tells. */
static bool
take_place(struct known *k, const struct jh_instance *listed)
{
	struct jh_instance *old = &k->member.instance, *new;

	new = jh_instance_copy(listed);
	new->incarnation = old->incarnation;
	new->leaving = old->leaving;
	if (same_place(old, new)) {
		jh_instance_free(new);
		return false;
	}
	/* The tree's key is the old id, which is equal: keep that. */
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
update(struct known *k, const struct jh_instance *listed)
{
	uint64_t present = k->member.instance.incarnation;
	bool changed = take_place(k, listed);

	/* The list has not yet seen the restart that we have heard of. */
	if (listed->incarnation != 0 && listed->incarnation == k->previous)
		return changed;
	if (listed->incarnation != 0 && listed->incarnation != present) {
		set_incarnation(k, listed->incarnation);
		changed = true;
	}
	k->list_leaving = listed->leaving;
	return set_leaving(k) || changed;
}

static struct known *
known_create(const struct jh_instance *listed)
{
	struct jh_instance *copy = jh_instance_copy(listed);
	struct known *k = g_new0(struct known, 1);

	k->member.instance = *copy;
	k->list_leaving = listed->leaving;
	k->in_list = true;
	g_free(copy);
	return k;
}

static void
add(struct jh_members *m, const struct jh_instance *listed)
{
	struct known *k = known_create(listed);

	g_tree_insert(m->by_id, k->member.instance.id, k);
}

static bool
drop_unlisted(struct jh_members *m)
{
	GTreeNode *n = g_tree_node_first(m->by_id), *next;
	bool dropped = false;
	struct known *k;

	for (; n != NULL; n = next) {
		next = g_tree_node_next(n);
		k = g_tree_node_value(n);
		if (!k->in_list) {
			g_tree_remove(m->by_id, k->member.instance.id);
			dropped = true;
		}
	}
	return dropped;
}

static void
unmark(struct jh_members *m)
{
	GTreeNode *n = g_tree_node_first(m->by_id);

	for (; n != NULL; n = g_tree_node_next(n))
		((struct known *)g_tree_node_value(n))->in_list = false;
}

bool
jh_members_set_list(
    struct jh_members *m, const struct jh_instance *const *list, size_t n)
{
	bool changed = false;
	struct known *k;
	size_t i;

	if (n == 0 && g_tree_nnodes(m->by_id) > 0)
		return false;
	unmark(m);
	for (i = 0; i < n; i++) {
		k = g_tree_lookup(m->by_id, list[i]->id);
		if (k == NULL) {
			add(m, list[i]);
			changed = true;
		} else {
			k->in_list = true;
			changed |= update(k, list[i]);
		}
	}
	changed |= drop_unlisted(m);
	m->generation += changed ? 1 : 0;
	return changed;
}

void
jh_members_heard(
    struct jh_members *m, const char *id, uint64_t incarnation, bool leaving)
{
	struct known *k = g_tree_lookup(m->by_id, id);
	bool changed = false;

	if (k == NULL || (incarnation != 0 && incarnation == k->previous))
		return;
	if (incarnation != 0 && incarnation != k->member.instance.incarnation) {
		/* A first number is no restart: leaving stays as listed. */
		if (k->member.instance.incarnation != 0)
			set_incarnation(k, incarnation);
		k->member.instance.incarnation = incarnation;
		changed = true;
	}
	k->member.failures = 0;
	k->member.held_until = 0;
	k->heard_leaving = k->heard_leaving || leaving;
	changed |= set_leaving(k);
	m->generation += changed ? 1 : 0;
}

void
jh_members_failed(
    struct jh_members *m, const char *id, uint64_t incarnation, uint64_t now)
{
	struct known *k = g_tree_lookup(m->by_id, id);
	uint64_t hold;

	if (k == NULL ||
	    (incarnation != 0 && k->member.instance.incarnation != 0 &&
		incarnation != k->member.instance.incarnation))
		return;
	/* Requests that fail together are one failure. */
	if (now < k->member.held_until)
		return;
	hold = FIRST_HOLD_USEC << MIN(k->member.failures, 6U);
	k->member.held_until = now + MIN(hold, MAX_HOLD_USEC);
	k->member.failures++;
}

const struct jh_member *
jh_members_find(const struct jh_members *m, const char *id)
{
	const struct known *k = g_tree_lookup(m->by_id, id);

	return k == NULL ? NULL : &k->member;
}

bool
jh_member_usable(const struct jh_member *m, uint64_t now)
{
	return !m->instance.leaving && m->held_until <= now;
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
	const struct known *k;

	for (; n != NULL; n = g_tree_node_next(n)) {
		k = g_tree_node_value(n);
		if (matches(&k->member.instance, filter))
			fn(arg, &k->member);
	}
}

size_t
jh_members_count_usable(const struct jh_members *m,
    const struct jh_member_filter *filter, uint64_t now)
{
	GTreeNode *n = g_tree_node_first(m->by_id);
	const struct known *k;
	size_t count = 0;

	for (; n != NULL; n = g_tree_node_next(n)) {
		k = g_tree_node_value(n);
		if (matches(&k->member.instance, filter) &&
		    jh_member_usable(&k->member, now))
			count++;
	}
	return count;
}

uint64_t
jh_members_generation(const struct jh_members *m)
{
	return m->generation;
}
