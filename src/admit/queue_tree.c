#include <stdbool.h>
#include <stddef.h>

#include "admit/queue_tree.h"

void
jh_queue_sum_add(struct jh_queue_sum *s, const struct jh_queue_sum *d)
{
	s->count += d->count;
	s->prefill += d->prefill;
	s->cost += d->cost;
}

void
jh_queue_sum_sub(struct jh_queue_sum *s, const struct jh_queue_sum *d)
{
	s->count -= d->count;
	s->prefill -= d->prefill;
	s->cost -= d->cost;
}

/*
 * The finalizer of SplitMix64; turns sequence numbers into random priorities.
 */
static uint64_t
mix(uint64_t x)
{
	x += 0x9e3779b97f4a7c15ULL;
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

static bool
before(const struct jh_queue_tree_node *a, const struct jh_queue_tree_node *b)
{
	return a->deadline != b->deadline ? a->deadline < b->deadline
					  : a->seq < b->seq;
}

static void
update_sums(struct jh_queue_tree_node *n)
{
	n->subtree = n->own;
	if (n->left != NULL)
		jh_queue_sum_add(&n->subtree, &n->left->subtree);
	if (n->right != NULL)
		jh_queue_sum_add(&n->subtree, &n->right->subtree);
}

static struct jh_queue_tree_node *
rotate_right(struct jh_queue_tree_node *n)
{
	struct jh_queue_tree_node *top = n->left;

	n->left = top->right;
	top->right = n;
	update_sums(n);
	update_sums(top);
	return top;
}

static struct jh_queue_tree_node *
rotate_left(struct jh_queue_tree_node *n)
{
	struct jh_queue_tree_node *top = n->right;

	n->right = top->left;
	top->left = n;
	update_sums(n);
	update_sums(top);
	return top;
}

/* Recursion depth is the depth of the treap. */
static struct jh_queue_tree_node *
insert(struct jh_queue_tree_node *root, struct jh_queue_tree_node *n)
{
	if (root == NULL) {
		update_sums(n);
		return n;
	}
	if (before(n, root)) {
		root->left = insert(root->left, n);
		update_sums(root);
		return root->left->priority > root->priority
			   ? rotate_right(root)
			   : root;
	}
	root->right = insert(root->right, n);
	update_sums(root);
	return root->right->priority > root->priority ? rotate_left(root)
						      : root;
}

static struct jh_queue_tree_node *
merge(struct jh_queue_tree_node *a, struct jh_queue_tree_node *b)
{
	if (a == NULL || b == NULL)
		return a == NULL ? b : a;
	if (a->priority > b->priority) {
		a->right = merge(a->right, b);
		update_sums(a);
		return a;
	}
	b->left = merge(a, b->left);
	update_sums(b);
	return b;
}

static struct jh_queue_tree_node *
detach(struct jh_queue_tree_node *root, const struct jh_queue_tree_node *n)
{
	if (root == n)
		return merge(root->left, root->right);
	if (before(n, root))
		root->left = detach(root->left, n);
	else
		root->right = detach(root->right, n);
	update_sums(root);
	return root;
}

void
jh_queue_tree_insert(struct jh_queue_tree *t, struct jh_queue_tree_node *n)
{
	n->left = n->right = NULL;
	n->priority = mix(n->seq);
	t->root = insert(t->root, n);
}

void
jh_queue_tree_remove(struct jh_queue_tree *t, struct jh_queue_tree_node *n)
{
	t->root = detach(t->root, n);
}

struct jh_queue_tree_node *
jh_queue_tree_first(const struct jh_queue_tree *t)
{
	struct jh_queue_tree_node *n = t->root;

	while (n != NULL && n->left != NULL)
		n = n->left;
	return n;
}

struct jh_queue_tree_node *
jh_queue_tree_last(const struct jh_queue_tree *t)
{
	struct jh_queue_tree_node *n = t->root;

	while (n != NULL && n->right != NULL)
		n = n->right;
	return n;
}

struct jh_queue_sum
jh_queue_tree_sum(const struct jh_queue_tree *t, uint64_t deadline)
{
	const struct jh_queue_tree_node *n = t->root;
	struct jh_queue_sum sum = {0};

	while (n != NULL) {
		if (n->deadline > deadline) {
			n = n->left;
			continue;
		}
		jh_queue_sum_add(&sum, &n->own);
		if (n->left != NULL)
			jh_queue_sum_add(&sum, &n->left->subtree);
		n = n->right;
	}
	return sum;
}
