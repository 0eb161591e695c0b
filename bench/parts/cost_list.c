#include <stdio.h>
#include <string.h>

#include <glib.h>

#include <jacinthhill/members.h>

#include "cost.h"

#define ENTRY_EVERY 20 /* about 340 entry daemons for 6,400 agents */

struct list {
	GString *text;
	GPtrArray *parsed;
	struct jh_members *members;
};

/* Instances as long as those in docs/membership.md, with an incarnation. */
static GString *
list_text(unsigned int rows)
{
	GString *s = g_string_new("[");
	unsigned int i;

	for (i = 0; i < rows; i++) {
		bool entry = i % ENTRY_EVERY == 0;

		g_string_append_printf(s,
		    "%s{\"id\":\"%s-%05u\",\"role\":\"%s\","
		    "\"address\":\"10.%u.%u.%u:8000\","
		    "\"rpc_address\":\"10.%u.%u.%u:8001\","
		    "\"zone\":\"zone-%u\",\"region\":\"region-%u\","
		    "\"models\":[%s],\"leaving\":false,"
		    "\"incarnation\":\"%016x\"}",
		    i == 0 ? "" : ",", entry ? "entry" : "worker", i,
		    entry ? "entry" : "agent", i / 62500, i / 250 % 250,
		    i % 250, i / 62500, i / 250 % 250, i % 250, i % 15, i % 6,
		    entry ? "" : "\"model-1\"", i + 1);
	}
	g_string_append_c(s, ']');
	return s;
}

static void
parse(void *arg, uint64_t i)
{
	struct list *l = arg;
	unsigned int faults;

	g_ptr_array_free(
	    jh_instances_parse(
		(struct jh_str){l->text->str, l->text->len}, &faults),
	    TRUE);
}

static void
set_list(void *arg, uint64_t i)
{
	struct list *l = arg;

	jh_members_set_list(l->members,
	    (const struct jh_instance *const *)l->parsed->pdata,
	    l->parsed->len);
}

static void
measure(unsigned int rows)
{
	unsigned int faults, repeats = 40000 / rows;
	struct list l = {.text = list_text(rows)};
	size_t before;

	cost_print("list", rows, "parse, bytes of text",
	    cost_measure(COST_THREAD, parse, &l, repeats), (double)l.text->len);
	before = cost_heap();
	l.parsed = jh_instances_parse(
	    (struct jh_str){l.text->str, l.text->len}, &faults);
	if (faults != 0)
		printf("list: %u faults\n", faults);
	cost_print("list", rows, "  heap of parsed rows", (struct cost){0},
	    (double)(cost_heap() - before));
	before = cost_heap();
	l.members = jh_members_create();
	set_list(&l, 0);
	before = cost_heap() - before;
	cost_print("list", rows, "set unchanged list, heap",
	    cost_measure(COST_THREAD, set_list, &l, repeats), (double)before);
	jh_members_destroy(l.members);
	g_ptr_array_free(l.parsed, TRUE);
	g_string_free(l.text, TRUE);
}

void
cost_list(uint64_t seed)
{
	static const unsigned int rows[] = {50, 700, 6740};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		measure(rows[i]);
}
