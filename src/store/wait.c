#include <pthread.h>
#include <string.h>

#include "store/store.h"

struct jh_store_waiter {
	pthread_mutex_t lock;
	pthread_cond_t cond;
	bool done;
	struct jh_store_reply reply;
	GStringChunk *text;
};

struct jh_store_waiter *
jh_store_waiter_create(void)
{
	struct jh_store_waiter *w = g_new0(struct jh_store_waiter, 1);

	pthread_mutex_init(&w->lock, NULL);
	pthread_cond_init(&w->cond, NULL);
	w->text = g_string_chunk_new(1024);
	return w;
}

static struct jh_str
copy_str(struct jh_store_waiter *w, struct jh_str s)
{
	return (struct jh_str){
	    g_string_chunk_insert_len(w->text, s.ptr, (gssize)s.len), s.len};
}

static void
copy_reply(struct jh_store_waiter *w, const struct jh_store_reply *reply)
{
	struct jh_store_item *items = NULL;
	size_t i;

	w->reply = *reply;
	w->reply.value = copy_str(w, reply->value);
	if (reply->n_items > 0)
		items = g_memdup2(
		    reply->items, reply->n_items * sizeof(reply->items[0]));
	for (i = 0; i < reply->n_items; i++) {
		items[i].key = g_string_chunk_insert(w->text, items[i].key);
		items[i].value = copy_str(w, items[i].value);
	}
	w->reply.items = items;
}

static void
on_reply(void *arg, const struct jh_store_reply *reply)
{
	struct jh_store_waiter *w = arg;

	pthread_mutex_lock(&w->lock);
	copy_reply(w, reply);
	w->done = true;
	pthread_cond_signal(&w->cond);
	pthread_mutex_unlock(&w->lock);
}

struct jh_store_callback
jh_store_waiter_callback(struct jh_store_waiter *w)
{
	return (struct jh_store_callback){on_reply, w};
}

const struct jh_store_reply *
jh_store_waiter_wait(struct jh_store_waiter *w)
{
	pthread_mutex_lock(&w->lock);
	while (!w->done)
		pthread_cond_wait(&w->cond, &w->lock);
	pthread_mutex_unlock(&w->lock);
	return &w->reply;
}

void
jh_store_waiter_destroy(struct jh_store_waiter *w)
{
	g_free((struct jh_store_item *)w->reply.items);
	g_string_chunk_free(w->text);
	pthread_cond_destroy(&w->cond);
	pthread_mutex_destroy(&w->lock);
	g_free(w);
}
