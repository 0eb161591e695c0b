#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <jacinthhill/clock.h>

#include "base/thread.h"
#include "ctl/in_force.h"
#include "ctl/instances.h"
#include "rpc/server.h"

/* Instances asked at one time. */
#define ASKERS 32
#define ASK_AGAIN_USEC (250 * JH_USEC_PER_MSEC)

/* The dump section with the revision and its confirmed age. */
#define CATALOGUE_SECTION "catalogue"

/* What one instance was last found to have. */
struct holding {
	const struct jh_instance *instance;
	json_int_t revision; /* -1: no answer */
	json_int_t age_ms; /* since the copy was confirmed; -1: never */
	uint64_t asked_at;
	bool in_force;
};

struct asking {
	int next; /* atomic: the next instance to ask */
	struct ctl *ctl;
	uint64_t revision;
	uint64_t begun_at; /* the revision had been accepted by then */
	struct holding *all;
	guint n;
};

static json_t *
fetch(const struct ctl *c, const struct jh_instance *i)
{
	char section[] = CATALOGUE_SECTION;
	struct jh_dump_args args = {section};
	struct jh_text_reply reply = {0};
	json_t *root;

	if (!jh_rpc_call(&i->rpc_address, &c->settings.secret, JH_DUMP, &args,
		&reply, ctl_deadline(c), NULL))
		return NULL;
	root = json_loads(reply.text, 0, NULL);
	jh_rpc_reply_clear(JH_DUMP, &reply);
	return root;
}

/*
 * A copy has every edit up to its revision, and every edit accepted before it
 * was confirmed; its revision alone may rise late, because the store's rises
 * with objects of other kinds as well.
 */
static bool
has_all(const struct asking *a, const struct holding *h)
{
	/* The age was cut to whole milliseconds. */
	uint64_t age = (uint64_t)(h->age_ms + 1) * JH_USEC_PER_MSEC;

	if (h->revision < 0)
		return false;
	if ((uint64_t)h->revision >= a->revision)
		return true;
	return h->age_ms >= 0 && h->asked_at >= a->begun_at + age;
}

static void
ask(struct asking *a, struct holding *h)
{
	json_t *root, *o;

	h->asked_at = jh_now();
	h->revision = -1;
	h->age_ms = -1;
	root = fetch(a->ctl, h->instance);
	o = json_object_get(root, CATALOGUE_SECTION);
	if (json_is_integer(json_object_get(o, "revision"))) {
		h->revision =
		    json_integer_value(json_object_get(o, "revision"));
		h->age_ms =
		    json_integer_value(json_object_get(o, "confirmed_age_ms"));
	}
	h->in_force = has_all(a, h);
	json_decref(root);
}

/* Asks one instance after another until all have been taken. */
static void *
ask_main(void *arg)
{
	struct asking *a = arg;
	guint i;

	while ((i = (guint)g_atomic_int_add(&a->next, 1)) < a->n) {
		if (!a->all[i].in_force)
			ask(a, &a->all[i]);
	}
	return NULL;
}

/* Asks those that lack something; returns how many still do. */
static guint
ask_round(struct asking *a)
{
	pthread_t askers[ASKERS];
	guint i, n = MIN(ASKERS, a->n), lacking = 0;

	a->next = 0;
	for (i = 0; i < n; i++)
		askers[i] = jh_thread_create("ask", ask_main, a);
	for (i = 0; i < n; i++)
		pthread_join(askers[i], NULL);
	for (i = 0; i < a->n; i++)
		lacking += !a->all[i].in_force;
	return lacking;
}

static const char *
word(const struct holding *h)
{
	if (h->in_force)
		return "in_force";
	return h->revision < 0 ? "no_answer" : "behind";
}

static void
print_table(const struct asking *a, guint lacking)
{
	FILE *out = a->ctl->out;
	const struct holding *h;
	guint i;

	for (i = 0; i < a->n; i++) {
		h = &a->all[i];
		fprintf(out, "%-20s %-10s %10lld %8lld ms  %s\n",
		    h->instance->id, h->instance->zone, (long long)h->revision,
		    (long long)h->age_ms, word(h));
	}
	fprintf(out,
	    "revision %" G_GUINT64_FORMAT " is in force on %u of %u live "
	    "instances\n",
	    a->revision, a->n - lacking, a->n);
}

static void
print_json(const struct asking *a, guint lacking)
{
	json_t *list = json_array(), *root;
	const struct holding *h;
	char *text;
	guint i;

	for (i = 0; i < a->n; i++) {
		h = &a->all[i];
		json_array_append_new(
		    list, json_pack("{s:s, s:s, s:I, s:I, s:s}", "instance",
			      h->instance->id, "availability_zone",
			      h->instance->zone, "revision", h->revision,
			      "confirmed_age_ms", h->age_ms, "state", word(h)));
	}
	root = json_pack("{s:I, s:b, s:o}", "revision", (json_int_t)a->revision,
	    "in_force", lacking == 0, "instances", list);
	text = json_dumps(root, JSON_COMPACT);
	fprintf(a->ctl->out, "%s\n", text);
	free(text);
	json_decref(root);
}

static int
ask_all(struct asking *a, const GPtrArray *list, int wait_ms)
{
	uint64_t end = a->begun_at + (uint64_t)wait_ms * JH_USEC_PER_MSEC;
	const struct jh_instance *instance;
	guint i, lacking;

	a->all = g_new0(struct holding, list->len);
	for (i = 0; i < list->len; i++) {
		instance = list->pdata[i];
		if (!instance->leaving)
			a->all[a->n++].instance = instance;
	}
	while ((lacking = ask_round(a)) > 0 && jh_now() < end)
		g_usleep(ASK_AGAIN_USEC);
	if (a->ctl->json)
		print_json(a, lacking);
	else
		print_table(a, lacking);
	g_free(a->all);
	return lacking == 0 && a->n > 0 ? CTL_OK : CTL_FAILED;
}

int
ctl_in_force(struct ctl *c, uint64_t revision, int wait_ms)
{
	struct asking a = {
	    .ctl = c, .revision = revision, .begun_at = jh_now()};
	int status = CTL_OK;
	GPtrArray *list = ctl_instances_read(c, &status);

	if (list == NULL)
		return status;
	status = ask_all(&a, list, wait_ms);
	g_ptr_array_free(list, TRUE);
	return status;
}

/* Leaves the wanted revision, or the store's present one, in *revision. */
static int
find_revision(struct ctl *c, const char *text, uint64_t *revision)
{
	int status = ctl_store_revision(c, revision);
	guint64 n;

	if (status != CTL_GO_ON || text == NULL)
		return status;
	if (!g_ascii_string_to_unsigned(text, 10, 1, *revision, &n, NULL)) {
		fprintf(c->err,
		    "\"%s\" is no revision of the store, which is at "
		    "%" G_GUINT64_FORMAT "\n",
		    text, *revision);
		return CTL_USAGE;
	}
	*revision = n;
	return CTL_GO_ON;
}

static int
run_in_force(struct ctl *c, const struct ctl_command *self, char **args)
{
	int wait_ms = CTL_IN_FORCE_MS;
	const GOptionEntry extra[] = {
	    {"wait-ms", 'w', 0, G_OPTION_ARG_INT, &wait_ms,
		"Ask again for this long (default 8,000; 0: ask once)", "N"},
	    G_OPTION_ENTRY_NULL};
	int status = ctl_parse(c, self, extra, &args, 0, 1);
	uint64_t revision = 0;

	if (status == CTL_GO_ON && wait_ms < 0)
		status = CTL_USAGE;
	if (status == CTL_GO_ON)
		status = ctl_open_store(c);
	if (status == CTL_GO_ON)
		status = find_revision(c, args[0], &revision);
	if (status == CTL_GO_ON)
		status = ctl_in_force(c, revision, wait_ms);
	g_strfreev(args);
	return status;
}

const struct ctl_command ctl_in_force_commands[] = {
    {"in-force", "[REVISION]", "Show which instances have all edits",
	run_in_force},
    {0}};
