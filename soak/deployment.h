#ifndef SOAK_DEPLOYMENT_H
#define SOAK_DEPLOYMENT_H

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "soak/checker.h"

/*
 * The configurations of a run: routes /once/, /again/, /public/ of service app
 * and /stream/ of service llm; key k1 of organisation t1 and key kw of the
 * isolated organisation t3. Odd and even versions differ in one route, /odd/ or
 * /even/, and in whether they have key k2 of organisation t2.
 */

/* Timeout of every route. */
#define SOAK_TIMEOUT_MSEC 3000

/* Idle connections of clients may be closed then; clients leave a margin. */
#define SOAK_IDLE_MSEC 1250
#define SOAK_MAX_IDLE_MSEC 1000
/* Routes that no client uses, in a configuration that is slow to decode. */
#define SOAK_MORE_ROUTES 1400

/*
 * Returns a new reference to the configuration of that version, with so many
 * unused routes more. n_quotas: organisations with quotas of the array.
 */
json_t *soak_config_create(unsigned int version, unsigned int more_routes,
    const struct soak_quota *quotas, unsigned int n_quotas);

/*
 * Organisations with quotas, which exist only with --quotas. q1 counts the
 * tokens of streams, q2 those of calls that do not state theirs, and both ask
 * for too much in a part of the time; q3 counts requests and never does. Once
 * lowered, q1 has half of its quota.
 */
#define SOAK_QUOTAS 3
void soak_quotas_get(bool lowered, struct soak_quota out[SOAK_QUOTAS]);

/* Tokens of a stream; the prompts of q1 vary, with this mean. */
#define SOAK_PROMPT_TOKENS 700
#define SOAK_OUTPUT_TOKENS 20
/* Cost of a call that states no tokens (uncachedTokens). */
#define SOAK_CALL_TOKENS 200

/* The kind of request that a client sends. */
struct soak_template {
	const char *method;
	const char *prefix;
	const char *key; /* "" for none */
	const char *org;
	const char *model;
	enum soak_request_kind kind;
	bool ever_allowed; /* some version has its key and route */
	int parity; /* versions that allow it: 0 even, 1 odd, -1 all */
};

/* Chooses one at random, by weight. */
struct soak_template soak_template_draw(GRand *rand);
/*
 * The same of an organisation with a quota, or returns false if the next
 * request is of another one. since_start: microseconds.
 */
bool soak_quota_template_draw(
    GRand *rand, uint64_t since_start, struct soak_template *out);
/* Prompt tokens of a stream of q1: SOAK_PROMPT_TOKENS in the mean. */
unsigned int soak_prompt_tokens_draw(GRand *rand);

#endif
