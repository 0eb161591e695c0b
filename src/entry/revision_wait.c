#include <pthread.h>

#include <jacinthhill/clock.h>

#include "entry/revision_wait.h"

#define WAIT_TIMEOUT_USEC (1 * JH_USEC_PER_SEC)

struct waiter {
	uint64_t revision;
	uint64_t deadline;
	void (*fn)(void *arg, bool reached);
	void *arg;
};

struct entry_revision_wait {
	pthread_mutex_t lock; /* guards the list */
	GArray *list; /* of struct waiter */
};

struct entry_revision_wait *
entry_revision_wait_create(void)
{
	struct entry_revision_wait *w = g_new0(struct entry_revision_wait, 1);

	pthread_mutex_init(&w->lock, NULL);
	w->list = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	return w;
}

void
entry_revision_wait_destroy(struct entry_revision_wait *w)
{
	g_array_free(w->list, TRUE);
	pthread_mutex_destroy(&w->lock);
	g_free(w);
}

void
entry_revision_wait_add(struct entry_revision_wait *w, uint64_t revision,
    void (*fn)(void *arg, bool reached), void *arg)
{
	struct waiter item = {revision, jh_now() + WAIT_TIMEOUT_USEC, fn, arg};

	pthread_mutex_lock(&w->lock);
	g_array_append_val(w->list, item);
	pthread_mutex_unlock(&w->lock);
}

void
entry_revision_wait_tick(struct entry_revision_wait *w, uint64_t revision)
{
	GArray *due = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	struct waiter item;
	uint64_t now = jh_now();
	guint i = 0;

	pthread_mutex_lock(&w->lock);
	while (i < w->list->len) {
		item = g_array_index(w->list, struct waiter, i);
		if (item.revision <= revision || now >= item.deadline) {
			g_array_append_val(due, item);
			g_array_remove_index_fast(w->list, i);
		} else {
			i++;
		}
	}
	pthread_mutex_unlock(&w->lock);
	for (i = 0; i < due->len; i++) {
		item = g_array_index(due, struct waiter, i);
		item.fn(item.arg, item.revision <= revision);
	}
	g_array_free(due, TRUE);
}
