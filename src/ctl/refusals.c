#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/refusals.h>

#include "ctl/ctl.h"

#define HOUR_USEC (3600 * JH_USEC_PER_SEC)
#define MINUTE_SEC 60
#define MAX_HOURS 744 /* a month, each hour with up to 340 objects */
#define MAX_PAGE_ITEMS 100

static const char *const gap_reasons[] = {
    [JH_REFUSAL_GAP_NOT_CLOSED] = "not_closed",
    [JH_REFUSAL_GAP_NO_OBJECT] = "no_object",
    [JH_REFUSAL_GAP_UNREADABLE] = "unreadable"};

/* Totals of a report on one or more hours. */
struct totals {
	size_t minutes; /* with refusals, for each owner and class */
	uint64_t refusals;
	size_t gap_minutes; /* for each process */
	bool peers_omitted; /* gaps of unlisted peers may be missing */
	json_t *rows; /* for the JSON output */
	json_t *gaps;
};

static char *
format_minute(uint64_t minute)
{
	GDateTime *t =
	    g_date_time_new_from_unix_utc((gint64)(minute * MINUTE_SEC));
	char *text = g_date_time_format(t, "%Y-%m-%dT%H:%MZ");

	g_date_time_unref(t);
	return text;
}

/* Parses "2026-12-04T04" (UTC) to hours since the epoch. */
static bool
parse_hour(const char *text, uint64_t *hour)
{
	char *full = g_strconcat(text, ":00:00Z", NULL);
	GDateTime *t = g_date_time_new_from_iso8601(full, NULL);

	g_free(full);
	if (t == NULL)
		return false;
	*hour = (uint64_t)g_date_time_to_unix(t) / 3600;
	g_date_time_unref(t);
	return true;
}

static void
add_objects(struct ctl *c, struct jh_refusal_report *r,
    const struct jh_store_reply *reply)
{
	GError *err = NULL;
	size_t i;

	for (i = 0; i < reply->n_items; i++) {
		if (jh_refusal_report_add(
			r, reply->items[i].key, reply->items[i].value, &err))
			continue;
		fprintf(c->err, "%s: %s\n", reply->items[i].key, err->message);
		g_clear_error(&err);
	}
}

/*
 * Adds one page of objects to the report, starting after the key *after. Sets
 * *after to the last key of the page, or to NULL after the last page.
 */
static int
read_page(struct ctl *c, struct jh_refusal_report *r, const char *prefix,
    char **after)
{
	struct jh_store_waiter *w = jh_store_waiter_create();
	const struct jh_store_reply *reply;
	enum jh_store_result result = JH_STORE_UNAVAILABLE;
	char *last = NULL;

	if (jh_store_list(c->store, prefix, *after, MAX_PAGE_ITEMS,
		ctl_deadline(c), jh_store_waiter_callback(w))) {
		reply = jh_store_waiter_wait(w);
		result = reply->result;
		if (result == JH_STORE_OK) {
			add_objects(c, r, reply);
			if (reply->more && reply->n_items > 0)
				last = g_strdup(
				    reply->items[reply->n_items - 1].key);
		}
	}
	jh_store_waiter_destroy(w);
	g_free(*after);
	*after = last;
	return result == JH_STORE_OK ? CTL_CONTINUE
				     : ctl_print_store_error(c, prefix, result);
}

static void
print_row(struct ctl *c, struct totals *t, const struct jh_refusal_row *row)
{
	char *minute = format_minute(row->minute);

	t->minutes++;
	t->refusals += row->count;
	if (c->json)
		json_array_append_new(
		    t->rows, json_pack("{s:s?, s:s?, s:s, s:I}", "owner",
				 row->owner, "class", row->class, "minute",
				 minute, "refusals", (json_int_t)row->count));
	else
		fprintf(c->out, "%-18s %-20s %-20s %8" G_GUINT64_FORMAT "\n",
		    minute, row->owner == NULL ? "(others)" : row->owner,
		    row->class == NULL ? "" : row->class, row->count);
	g_free(minute);
}

static void
print_gap(struct ctl *c, struct totals *t, const struct jh_refusal_gap *gap)
{
	char *from = format_minute(gap->from);
	char *until = format_minute(gap->until);
	char incarnation[20];

	g_snprintf(incarnation, sizeof(incarnation),
	    "%016" G_GINT64_MODIFIER "x", gap->incarnation);
	t->gap_minutes += gap->until - gap->from;
	if (c->json)
		json_array_append_new(t->gaps,
		    json_pack("{s:s, s:s, s:s, s:s, s:s}", "instance",
			gap->instance, "incarnation", incarnation, "from", from,
			"until", until, "reason", gap_reasons[gap->reason]));
	else
		fprintf(c->out, "unaccounted: %s to %s, %s (%s): %s\n", from,
		    until, gap->instance, incarnation,
		    gap_reasons[gap->reason]);
	g_free(from);
	g_free(until);
}

static void
print_hour(
    struct ctl *c, struct totals *t, const struct jh_refusal_report *report)
{
	const struct jh_refusal_row *rows;
	const struct jh_refusal_gap *gaps;
	size_t i, n;

	n = jh_refusal_report_rows(report, &rows);
	for (i = 0; i < n; i++)
		print_row(c, t, &rows[i]);
	n = jh_refusal_report_gaps(report, &gaps);
	for (i = 0; i < n; i++)
		print_gap(c, t, &gaps[i]);
	t->peers_omitted |= jh_refusal_report_peers_omitted(report);
}

static int
report_hour(struct ctl *c, struct totals *t, uint64_t hour)
{
	struct jh_refusal_report *report = jh_refusal_report_create(hour);
	char *prefix = jh_refusals_prefix(hour), *after = g_strdup("");
	int status = CTL_CONTINUE;

	while (status == CTL_CONTINUE && after != NULL)
		status = read_page(c, report, prefix, &after);
	if (status == CTL_CONTINUE) {
		jh_refusal_report_finish(report, jh_wall_now());
		print_hour(c, t, report);
	}
	g_free(after);
	g_free(prefix);
	jh_refusal_report_destroy(report);
	return status;
}

static void
print_totals(struct ctl *c, const struct totals *t)
{
	json_t *root;
	char *text;

	if (!c->json) {
		fprintf(c->out,
		    "%zu minutes of refusal by owner and class, "
		    "%" G_GUINT64_FORMAT
		    " refusals, %zu unaccounted minutes%s\n",
		    t->minutes, t->refusals, t->gap_minutes,
		    t->peers_omitted ? " or more" : "");
		return;
	}
	root = json_pack("{s:I, s:I, s:I, s:b, s:O, s:O}", "minutes",
	    (json_int_t)t->minutes, "refusals", (json_int_t)t->refusals,
	    "unaccounted_minutes", (json_int_t)t->gap_minutes, "peers_cut",
	    t->peers_omitted, "rows", t->rows, "unaccounted", t->gaps);
	text = json_dumps(root, JSON_COMPACT);
	fprintf(c->out, "%s\n", text);
	free(text);
	json_decref(root);
}

static int
report_hours(struct ctl *c, uint64_t from, uint64_t to)
{
	struct totals t = {.rows = json_array(), .gaps = json_array()};
	int status = CTL_CONTINUE;
	uint64_t hour;

	for (hour = from; hour <= to && status == CTL_CONTINUE; hour++)
		status = report_hour(c, &t, hour);
	if (status == CTL_CONTINUE) {
		print_totals(c, &t);
		status = CTL_OK;
	}
	json_decref(t.rows);
	json_decref(t.gaps);
	return status;
}

/* Sets the first and last hour; the default is the present hour. */
static int
parse_hours(struct ctl *c, char *const text[3], uint64_t *from, uint64_t *to)
{
	const char *first = text[0] != NULL ? text[0] : text[1];
	const char *last = text[0] != NULL ? text[0] : text[2];

	*from = *to = jh_wall_now() / HOUR_USEC;
	if ((text[0] == NULL || (text[1] == NULL && text[2] == NULL)) &&
	    (first == NULL || parse_hour(first, from)) &&
	    (last == NULL || parse_hour(last, to)) && *from <= *to &&
	    *to - *from < MAX_HOURS)
		return CTL_CONTINUE;
	fprintf(c->err,
	    "give --hour, or --from and --to, as 2026-12-04T04 (UTC), at most "
	    "%d hours\n",
	    MAX_HOURS);
	return CTL_USAGE;
}

static int
run_refusals(struct ctl *c, const struct ctl_command *self, char **args)
{
	char *text[3] = {NULL};
	const GOptionEntry extra[] = {
	    {"hour", 'H', 0, G_OPTION_ARG_STRING, &text[0],
		"Hour in UTC, as 2026-12-04T04 (default: the present hour)",
		"HOUR"},
	    {"from", 'f', 0, G_OPTION_ARG_STRING, &text[1],
		"First of several hours", "HOUR"},
	    {"to", 'T', 0, G_OPTION_ARG_STRING, &text[2],
		"Last of several hours (default: the present hour)", "HOUR"},
	    G_OPTION_ENTRY_NULL};
	int status = ctl_parse_options(c, self, extra, &args, 0, 0);
	uint64_t from = 0, to = 0;

	if (status == CTL_CONTINUE)
		status = parse_hours(c, text, &from, &to);
	if (status == CTL_CONTINUE)
		status = ctl_open_store(c);
	if (status == CTL_CONTINUE)
		status = report_hours(c, from, to);
	g_strfreev(args);
	g_free(text[0]);
	g_free(text[1]);
	g_free(text[2]);
	return status;
}

const struct ctl_command ctl_refusals_commands[] = {
    {"refusals", "", "Report the minutes in which requests were refused",
	run_refusals},
    {0}};
