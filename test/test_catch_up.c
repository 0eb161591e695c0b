#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "fakes/port.h"
#include "net/server.h"
#include "platform/catch_up.h"
#include "platform/mirror_server.h"

/* A process that asks its peers what the store may have lost. */

#define KIND "config"
#define MAX_PEERS 3

struct peer {
	struct plat_era *era;
	struct jh_newest *newest;
	struct plat_mirror_server *server; /* NULL: it is down */
	struct sockaddr_in address;
};

struct fixture {
	uv_loop_t loop;
	struct jh_uv_client *client;
	struct jh_json_log *log;
	struct jh_metrics *metrics;
	struct jh_newest *known;
	struct peer peers[MAX_PEERS];
	unsigned int n_peers;
	struct jh_uv_server *silent; /* a peer that never replies, or NULL */
	struct sockaddr_in silent_address;
	struct plat_catch_up *catch_up;
	bool done, reached;
	uint64_t began, took;
	unsigned int learned;
};

static const struct jh_uv_server_limits limits = {8192, 8192, 0, 0, 0};

static struct jh_content_order
order_of(uint64_t version)
{
	return (struct jh_content_order){0, version};
}

static void
know(struct jh_newest *n, const char *name, uint64_t version)
{
	struct jh_content_order order = order_of(version);
	char *text = g_strdup_printf("{\"metadata\":{\"name\":\"%s\"},"
				     "\"specification\":%" G_GUINT64_FORMAT "}",
	    name, version);
	GBytes *bytes = g_bytes_new_take(text, strlen(text));

	assert_true(jh_newest_offer(
	    n, name, &order, &(struct jh_position){0, 0}, bytes));
	g_bytes_unref(bytes);
}

static size_t
pick_peers(void *arg, struct sockaddr_in *out, size_t max)
{
	const struct fixture *f = arg;
	size_t n = 0;

	for (; n < f->n_peers; n++)
		out[n] = f->peers[n].address;
	if (f->silent != NULL)
		out[n++] = f->silent_address;
	assert_true(n <= max);
	return n;
}

static void
add_digest(void *arg, GString *query)
{
	const struct fixture *f = arg;

	plat_catch_up_add_digest(query, KIND, jh_newest_digest(f->known));
}

static bool
lacks(void *arg, const char *kind, const char *name,
    const struct jh_content_order *order)
{
	assert_string_equal(kind, KIND);
	return jh_newest_lacks(((struct fixture *)arg)->known, name, order);
}

static void
learn(void *arg, const char *kind, json_t *object)
{
	struct fixture *f = arg;

	assert_string_equal(kind, KIND);
	f->learned++;
	know(f->known,
	    json_string_value(
		json_object_get(json_object_get(object, "metadata"), "name")),
	    (uint64_t)json_integer_value(
		json_object_get(object, "specification")));
}

static void
on_done(void *arg, bool reached)
{
	struct fixture *f = arg;

	f->done = true;
	f->reached = reached;
	f->took = jh_now() - f->began;
}

static void
on_silent(void *arg, struct jh_server_request *v)
{
}

static const struct jh_uv_server_ops silent_ops = {.request = on_silent};

static int
set_up(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct plat_catch_up_spec spec = {.loop = &f->loop,
	    .peers = pick_peers,
	    .digests = add_digest,
	    .lacks = lacks,
	    .learn = learn,
	    .done = on_done,
	    .arg = f};

	uv_loop_init(&f->loop);
	spec.client = f->client = jh_uv_client_create(&f->loop);
	spec.log = f->log = jh_json_log_create(STDERR_FILENO, "test");
	f->metrics = jh_metrics_create();
	f->known = jh_newest_create();
	f->catch_up = plat_catch_up_create(&spec);
	*state = f;
	return 0;
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;
	unsigned int i;

	plat_catch_up_destroy(f->catch_up);
	for (i = 0; i < f->n_peers; i++)
		plat_mirror_server_destroy(f->peers[i].server);
	jh_uv_server_destroy(f->silent);
	jh_uv_client_destroy(f->client);
	uv_run(&f->loop, UV_RUN_DEFAULT);
	for (i = 0; i < f->n_peers; i++) {
		jh_newest_destroy(f->peers[i].newest);
		plat_era_destroy(f->peers[i].era);
	}
	jh_newest_destroy(f->known);
	jh_json_log_destroy(f->log);
	jh_metrics_destroy(f->metrics);
	assert_int_equal(uv_loop_close(&f->loop), 0);
	g_free(f);
	return 0;
}

/* Adds a peer that has settled. */
static struct peer *
add_peer(struct fixture *f)
{
	struct plat_era_spec era = {.log = f->log, .metrics = f->metrics};
	struct peer *p = &f->peers[f->n_peers++];
	struct plat_mirror_source source = {.kind = KIND};
	int error;

	p->address = fake_loopback(fake_port());
	p->newest = source.newest = jh_newest_create();
	p->era = plat_era_create(&era);
	p->server =
	    plat_mirror_server_create(&f->loop, &p->address, p->era, &error);
	assert_non_null(p->server);
	plat_mirror_server_add(p->server, &source);
	plat_mirror_server_serve_newest(p->server);
	return p;
}

/* Adds a peer whose server is down, or only just starts. */
static void
add_new_peer(struct fixture *f, bool down)
{
	struct peer *p = &f->peers[f->n_peers++];
	struct plat_era_spec era = {.log = f->log, .metrics = f->metrics};
	int error;

	p->address = fake_loopback(fake_port());
	p->era = plat_era_create(&era);
	if (!down)
		p->server = plat_mirror_server_create(
		    &f->loop, &p->address, p->era, &error);
}

static void
add_silent_peer(struct fixture *f)
{
	f->silent_address = fake_loopback(fake_port());
	f->silent = jh_uv_server_create(&f->loop, &limits, &silent_ops, NULL);
	assert_int_equal(jh_uv_server_listen(f->silent, &f->silent_address), 0);
}

static void
run(struct fixture *f)
{
	uint64_t until = jh_now() + 5 * JH_USEC_PER_SEC;

	f->began = jh_now();
	plat_catch_up_begin(f->catch_up);
	while (!f->done && jh_now() < until) {
		uv_run(&f->loop, UV_RUN_NOWAIT);
		g_usleep(1000);
	}
	assert_true(f->done);
}

static bool
knows(const struct fixture *f, const char *name, uint64_t version)
{
	struct jh_content_order order = order_of(version);

	return !jh_newest_lacks(f->known, name, &order);
}

/* Guards against an older content when one of the peers has a newer one. */
static void
newest_content_of_the_peers_is_learned(void **state)
{
	struct fixture *f = *state;

	know(f->known, "main", 6);
	know(f->known, "other", 3);
	know(add_peer(f)->newest, "main", 7);
	know(add_peer(f)->newest, "main", 8);
	know(f->peers[1].newest, "a/b c", 1);
	know(f->peers[1].newest, "other", 2);
	run(f);
	assert_true(f->reached);
	assert_true(knows(f, "main", 8));
	assert_true(knows(f, "a/b c", 1));
	assert_true(knows(f, "other", 3));
	assert_in_range(f->learned, 2, 3);
}

/* Guards against a start that waits for peers which have nothing to tell. */
static void
peers_that_start_or_are_down_are_not_awaited(void **state)
{
	struct fixture *f = *state;

	add_new_peer(f, false);
	add_new_peer(f, true);
	run(f);
	assert_false(f->reached);
	assert_true(f->took < PLAT_CATCH_UP_ASK_USEC);
}

/* Guards against a start that one silent peer delays. */
static void
silent_peer_delays_nothing_beside_two_others(void **state)
{
	struct fixture *f = *state;

	know(add_peer(f)->newest, "main", 7);
	add_peer(f);
	add_silent_peer(f);
	run(f);
	assert_true(f->reached);
	assert_true(knows(f, "main", 7));
	assert_true(f->took < PLAT_CATCH_UP_ASK_USEC);
}

/* Guards against a start that never ends because no peer can be reached. */
static void
wait_for_silent_peers_is_bounded(void **state)
{
	struct fixture *f = *state;

	add_silent_peer(f);
	run(f);
	assert_false(f->reached);
	assert_in_range(
	    f->took, PLAT_CATCH_UP_USEC, PLAT_CATCH_UP_USEC + JH_USEC_PER_SEC);
}

/* Guards against a process without peers that waits for any. */
static void
process_without_peers_does_not_wait(void **state)
{
	struct fixture *f = *state;

	run(f);
	assert_false(f->reached);
	assert_true(f->took < PLAT_CATCH_UP_ASK_USEC);
}

#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    CASE(newest_content_of_the_peers_is_learned),
	    CASE(peers_that_start_or_are_down_are_not_awaited),
	    CASE(silent_peer_delays_nothing_beside_two_others),
	    CASE(wait_for_silent_peers_is_bounded),
	    CASE(process_without_peers_does_not_wait),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
