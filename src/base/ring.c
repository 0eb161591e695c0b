#include <ck_ring.h>
#include <glib.h>

#include "base/ring.h"

/*
 * Tells ThreadSanitizer about each item that passes through the ring, because
 * it cannot see the fences of Concurrency Kit, which are inline assembly.
 */
#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#define RELEASE(item) __tsan_release(item)
#define ACQUIRE(item) __tsan_acquire(item)
#else
#define RELEASE(item) ((void)(item))
#define ACQUIRE(item) ((void)(item))
#endif

struct jh_ring {
	ck_ring_t ring;
	ck_ring_buffer_t *slots;
};

struct jh_ring *
jh_ring_create(unsigned int capacity)
{
	struct jh_ring *r = g_new0(struct jh_ring, 1);
	unsigned int size = 4;

	while (size <= capacity)
		size <<= 1;
	r->slots = g_new0(ck_ring_buffer_t, size);
	ck_ring_init(&r->ring, size);
	return r;
}

void
jh_ring_destroy(struct jh_ring *r)
{
	if (r == NULL)
		return;
	g_free(r->slots);
	g_free(r);
}

bool
jh_ring_push(struct jh_ring *r, void *item)
{
	RELEASE(item);
	return ck_ring_enqueue_mpmc(&r->ring, r->slots, item);
}

void *
jh_ring_pop(struct jh_ring *r)
{
	void *item = NULL;

	if (!ck_ring_dequeue_mpmc(&r->ring, r->slots, (void *)&item))
		return NULL;
	ACQUIRE(item);
	return item;
}
