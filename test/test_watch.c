#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <sys/socket.h>

#include <jacinthhill/clock.h>

#include "net/front.h"
#include "platform/watch.h"

/* A store that lists one object and may leave watches without an answer. */
struct world {
	uv_loop_t loop;
	struct jh_front *store;
	struct jh_caller *caller;
	struct jh_metrics *metrics;
	struct jh_trace *trace;
	struct plat_store *client;
	struct plat_watch *watch;
	struct sockaddr_in address;
	bool silent; /* watches get no answer */
	bool changed; /* there is a newer object */
	unsigned int watches;
	unsigned int last_wait_ms;
	uint64_t seen; /* revision of the object that was given last */
};

static void
on_store(void *arg, struct jh_visit *v)
{
	struct world *w = arg;
	char *target = jh_str_dup(jh_head_target(jh_visit_head(v)));
	const char *wait = strstr(target, "waitMs=");
	const char *answer =
	    "{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":3},"
	    "\"specification\":1}],\"hasMore\":false,\"storeRevision\":9}";

	if (wait != NULL) {
		w->watches++;
		w->last_wait_ms = (unsigned int)atoi(wait + 7);
		answer = w->changed
			     ? "{\"events\":[{\"deleted\":false,\"object\":{"
			       "\"metadata\":{\"name\":\"a\",\"revision\":12},"
			       "\"specification\":2}}],\"storeRevision\":12}"
			     : NULL;
	}
	if (answer != NULL && !(w->silent && wait != NULL))
		jh_visit_answer(v, 200, "OK", JH_STR(""), jh_str_from(answer));
	g_free(target);
}

static const struct jh_front_ops store_ops = {on_store};

static void
on_object(void *arg, const struct plat_object *o)
{
	struct world *w = arg;

	w->seen = o->revision;
}

static void
world_init(struct world *w)
{
	const struct jh_front_limits limits = {8192, 8192, 0, 0, 0};
	struct plat_watch_spec spec = {.kind = "config", .arg = w};
	socklen_t len = sizeof(w->address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	memset(w, 0, sizeof(*w));
	w->address.sin_family = AF_INET;
	w->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(
	    bind(fd, (struct sockaddr *)&w->address, sizeof(w->address)), 0);
	getsockname(fd, (struct sockaddr *)&w->address, &len);
	close(fd);
	uv_loop_init(&w->loop);
	w->store = jh_front_create(&w->loop, &limits, &store_ops, w);
	assert_int_equal(jh_front_listen(w->store, &w->address), 0);
	w->caller = jh_caller_create(&w->loop);
	w->metrics = jh_metrics_create();
	w->trace = jh_trace_create(STDERR_FILENO, "test");
	w->client = plat_store_create(w->caller, &w->address, w->metrics);
	spec.loop = &w->loop;
	spec.store = w->client;
	spec.trace = w->trace;
	spec.object = on_object;
	w->watch = plat_watch_create(&spec);
	plat_watch_set_wait(w->watch, 12000);
}

static void
world_clear(struct world *w)
{
	plat_watch_destroy(w->watch);
	plat_store_destroy(w->client);
	jh_caller_destroy(w->caller);
	jh_front_destroy(w->store);
	uv_run(&w->loop, UV_RUN_DEFAULT);
	jh_trace_destroy(w->trace);
	jh_metrics_destroy(w->metrics);
	assert_int_equal(uv_loop_close(&w->loop), 0);
}

/* Runs the loop and, as datagrams would, tells of others' progress. */
static void
run_for(struct world *w, uint64_t usec, uint64_t others)
{
	uint64_t until = jh_now() + usec, told = 0;

	while (jh_now() < until) {
		uv_run(&w->loop, UV_RUN_NOWAIT);
		if (others != 0 && jh_now() - told > 200000) {
			told = jh_now();
			plat_watch_behind(w->watch, others);
		}
		g_usleep(1000);
	}
}

/*
 * Guards against a watch that hangs on a silent store, and hangs again when it
 * was asked again too early: a configuration then stays unknown for many
 * seconds while other entries have it.
 */
static void
silent_watch_is_asked_until_it_answers(void **state)
{
	struct world w;
	unsigned int before;

	world_init(&w);
	w.silent = true;
	run_for(&w, 500000, 0);
	assert_true(plat_watch_listed(w.watch));
	assert_int_equal(w.watches, 1);
	assert_int_equal(w.last_wait_ms, 12000);
	run_for(&w, 1000000, 12);
	before = w.watches;
	assert_true(before > 1);
	assert_true(w.last_wait_ms <= 500);
	run_for(&w, 2500000, 12);
	assert_true(w.watches > before);
	w.silent = false;
	w.changed = true;
	run_for(&w, 2500000, 12);
	assert_int_equal(w.seen, 12);
	assert_int_equal(plat_watch_mark(w.watch), 12);
	world_clear(&w);
}

/* Guards against calls for news that is none. */
static void
known_revision_is_not_asked_for(void **state)
{
	struct world w;

	world_init(&w);
	w.silent = true;
	run_for(&w, 1200000, 9);
	assert_int_equal(w.watches, 1);
	assert_int_equal(plat_watch_mark(w.watch), 3);
	world_clear(&w);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(silent_watch_is_asked_until_it_answers),
	    cmocka_unit_test(known_revision_is_not_asked_for),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
