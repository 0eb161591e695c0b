#include <glib.h>

#include "admit/queue_heap.h"

/* Positions start at 1; position 0 marks a node that is in no heap. */

static bool
before(const struct jh_queue_heap_node *a, const struct jh_queue_heap_node *b)
{
	return a->key != b->key ? a->key < b->key : a->tie < b->tie;
}

static void
place(struct jh_queue_heap *h, struct jh_queue_heap_node *n, size_t pos)
{
	h->nodes[pos] = n;
	n->pos = pos;
}

static void
sift_up(struct jh_queue_heap *h, struct jh_queue_heap_node *n)
{
	size_t pos = n->pos;

	while (pos > 1 && before(n, h->nodes[pos / 2])) {
		place(h, h->nodes[pos / 2], pos);
		pos /= 2;
	}
	place(h, n, pos);
}

static void
sift_down(struct jh_queue_heap *h, struct jh_queue_heap_node *n)
{
	size_t pos = n->pos, child;

	for (;;) {
		child = 2 * pos;
		if (child > h->len)
			break;
		if (child < h->len &&
		    before(h->nodes[child + 1], h->nodes[child]))
			child++;
		if (!before(h->nodes[child], n))
			break;
		place(h, h->nodes[child], pos);
		pos = child;
	}
	place(h, n, pos);
}

void
jh_queue_heap_clear(struct jh_queue_heap *h)
{
	g_free(h->nodes);
	*h = (struct jh_queue_heap){0};
}

void
jh_queue_heap_insert(
    struct jh_queue_heap *h, struct jh_queue_heap_node *n, uint64_t key)
{
	if (h->len + 1 >= h->capacity) {
		h->capacity = h->capacity == 0 ? 16 : 2 * h->capacity;
		h->nodes =
		    g_renew(struct jh_queue_heap_node *, h->nodes, h->capacity);
	}
	n->key = key;
	place(h, n, ++h->len);
	sift_up(h, n);
}

void
jh_queue_heap_remove(struct jh_queue_heap *h, struct jh_queue_heap_node *n)
{
	struct jh_queue_heap_node *last;
	size_t pos = n->pos;

	if (pos == 0)
		return;
	last = h->nodes[h->len--];
	n->pos = 0;
	if (last == n)
		return;
	place(h, last, pos);
	sift_up(h, last);
	sift_down(h, last);
}

void
jh_queue_heap_update(
    struct jh_queue_heap *h, struct jh_queue_heap_node *n, uint64_t key)
{
	if (n->pos == 0) {
		jh_queue_heap_insert(h, n, key);
		return;
	}
	n->key = key;
	sift_up(h, n);
	sift_down(h, n);
}

struct jh_queue_heap_node *
jh_queue_heap_top(const struct jh_queue_heap *h)
{
	return h->len == 0 ? NULL : h->nodes[1];
}
