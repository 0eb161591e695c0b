#include <math.h>
#include <stdio.h>
#include <string.h>

#include "base/auth.h"

#include "shape.h"

#define BYTES_PER_TOKEN 4
#define MAX_RECORDS 1024
/* Requests after a shift use the records of the second generation. */
#define GENERATIONS 2

/*
 * A record with its role and line ends fills whole cache blocks of the fake
 * engine (8,000 bytes each), so that little of a prefix stays uncached.
 */
#define BLOCK_BYTES 8000
#define MESSAGE_OVERHEAD 8 /* "system" and two line ends */

struct shape_def {
	const char *name;
	bool shared; /* all organisations use the same records */
	unsigned int records; /* per organisation unless shared */
	unsigned int blocks[4]; /* record sizes, used in rotation */
	unsigned int instruction_blocks;
	double skew; /* exponent of the Zipf distribution of records */
};

static const struct shape_def defs[] = {
    /* Care manuals that all organisations share. */
    {"lavoir", true, 6, {32, 12, 20, 8}, 2, 1.1},
    /* Batch records that belong to one organisation. */
    {"mwakilema", false, 8, {6, 10, 4, 14}, 1, 0.9},
};

static const double org_weight[SHAPE_ORGS] = {8, 6, 2, 1, 1, 1, 1, 1};

struct shape {
	const struct load_options *opt;
	const struct shape_def *def;
	GRand *rand;
	unsigned int records;
	double org_sum;
	double *record_weight;
	double record_sum;
	/* [generation][organisation, or 0 if shared][record] */
	GString **record[GENERATIONS][SHAPE_ORGS];
	GString *instructions[SHAPE_ORGS];
	uint64_t payments;
};

static GString *
make_text(guint32 seed, size_t len)
{
	static const char *const words[] = {"rinse", "dry", "coat", "water",
	    "petal", "grade", "tray", "nozzle", "filter", "lot", "section"};
	GRand *r = g_rand_new_with_seed(seed);
	GString *s = g_string_sized_new(len + 32);

	while (s->len < len)
		g_string_append_printf(s, "%s %u ",
		    words[g_rand_int_range(r, 0, G_N_ELEMENTS(words))],
		    g_rand_int(r) % 10000);
	g_string_truncate(s, len);
	g_rand_free(r);
	return s;
}

static size_t
record_bytes(const struct shape *s, unsigned int i)
{
	if (s->opt->record_kb > 0)
		return (size_t)s->opt->record_kb * 1024;
	return (size_t)s->def->blocks[i % G_N_ELEMENTS(s->def->blocks)] *
		   BLOCK_BYTES -
	       MESSAGE_OVERHEAD;
}

static void
make_records(struct shape *s, unsigned int generation, unsigned int org)
{
	GString **list = g_new0(GString *, s->records);
	unsigned int i;

	for (i = 0; i < s->records; i++)
		list[i] =
		    make_text((generation * SHAPE_ORGS + org) * MAX_RECORDS + i,
			record_bytes(s, i));
	s->record[generation][org] = list;
}

static void
make_all(struct shape *s)
{
	unsigned int g, org;

	for (g = 0; g < GENERATIONS; g++) {
		for (org = 0; org < (s->def->shared ? 1 : SHAPE_ORGS); org++)
			make_records(s, g, org);
	}
	for (org = 0; org < SHAPE_ORGS; org++)
		s->instructions[org] = make_text(1000003 + org,
		    (size_t)s->def->instruction_blocks * BLOCK_BYTES -
			MESSAGE_OVERHEAD);
}

struct shape *
shape_create(const struct load_options *o)
{
	struct shape *s;
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(defs); i++) {
		if (strcmp(defs[i].name, o->shape) == 0)
			break;
	}
	if (i == G_N_ELEMENTS(defs))
		return NULL;
	s = g_new0(struct shape, 1);
	s->opt = o;
	s->def = &defs[i];
	s->rand = g_rand_new_with_seed((guint32)o->seed);
	s->records =
	    o->records > 0 ? (unsigned int)o->records : s->def->records;
	s->record_weight = g_new(double, s->records);
	for (i = 0; i < s->records; i++) {
		s->record_weight[i] = pow(i + 1.0, -s->def->skew);
		s->record_sum += s->record_weight[i];
	}
	for (i = 0; i < SHAPE_ORGS; i++)
		s->org_sum += org_weight[i];
	make_all(s);
	return s;
}

static void
free_records(GString **list, unsigned int n)
{
	unsigned int i;

	for (i = 0; list != NULL && i < n; i++)
		g_string_free(list[i], TRUE);
	g_free(list);
}

void
shape_destroy(struct shape *s)
{
	unsigned int g, org;

	for (org = 0; org < SHAPE_ORGS; org++) {
		for (g = 0; g < GENERATIONS; g++)
			free_records(s->record[g][org], s->records);
		g_string_free(s->instructions[org], TRUE);
	}
	g_rand_free(s->rand);
	g_free(s->record_weight);
	g_free(s);
}

static unsigned int
pick(GRand *r, const double *weight, unsigned int n, double sum)
{
	double x = g_rand_double(r) * sum;
	unsigned int i;

	for (i = 0; i + 1 < n && x >= weight[i]; i++)
		x -= weight[i];
	return i;
}

static void
make_chat(struct shape *s, bool shifted, struct shape_request *out)
{
	unsigned int owner = s->def->shared ? 0 : out->org;
	unsigned int i =
	    pick(s->rand, s->record_weight, s->records, s->record_sum);
	const GString *record = s->record[shifted ? 1 : 0][owner][i];
	const GString *instructions = s->instructions[out->org];
	GString *question = make_text(
	    g_rand_int(s->rand), (size_t)g_rand_int_range(s->rand, 100, 900));

	out->shared = s->def->shared;
	out->prompt_tokens = (record->len + instructions->len + question->len +
				 3 * MESSAGE_OVERHEAD - 2) /
			     BYTES_PER_TOKEN;
	out->body = g_string_sized_new(record->len + instructions->len + 2048);
	g_string_append_printf(out->body,
	    "{\"model\":\"small\",\"stream\":true,\"max_tokens\":%u,"
	    "\"messages\":[{\"role\":\"system\",\"content\":\"",
	    out->tokens);
	g_string_append_len(out->body, record->str, (gssize)record->len);
	g_string_append(out->body, "\"},{\"role\":\"system\",\"content\":\"");
	g_string_append_len(
	    out->body, instructions->str, (gssize)instructions->len);
	g_string_append_printf(out->body,
	    "\"},{\"role\":\"user\",\"content\":\"%s\"}]}", question->str);
	g_string_free(question, TRUE);
}

void
shape_next(struct shape *s, bool shifted, struct shape_request *out)
{
	const struct load_options *o = s->opt;

	memset(out, 0, sizeof(*out));
	out->org = o->only_org >= 0
		       ? (unsigned int)o->only_org
		       : pick(s->rand, org_weight, SHAPE_ORGS, s->org_sum);
	out->payment = g_rand_double(s->rand) < o->payments;
	if (out->payment) {
		out->body = g_string_new(NULL);
		g_string_printf(out->body,
		    "{\"pay\":\"%u-%" G_GUINT64_FORMAT "\"}", out->org,
		    s->payments++);
		return;
	}
	out->background = g_rand_double(s->rand) < o->background;
	out->tokens =
	    (unsigned int)(out->background ? o->background_tokens : o->tokens);
	make_chat(s, shifted, out);
}

void
shape_print_shared(const struct shape *s)
{
	char hash[JH_AUTH_HASH_HEX_LEN + 1];
	unsigned int g, i;

	for (g = 0; s->def->shared && g < GENERATIONS; g++) {
		for (i = 0; i < s->records; i++) {
			jh_auth_hash_hex(
			    (struct jh_str){s->record[g][0][i]->str,
				s->record[g][0][i]->len},
			    hash);
			puts(hash);
		}
	}
}
