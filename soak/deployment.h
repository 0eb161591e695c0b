#ifndef SOAK_DEPLOYMENT_H
#define SOAK_DEPLOYMENT_H

#include <stdint.h>

#include <jansson.h>

#include "soak/ledger.h"

/*
 * The configurations of a run: routes /once/, /again/, /public/ of service app
 * and /stream/ of service llm; key k1 of tenant t1 and kw of the isolated t3.
 * Versions of odd and even number differ in one route, /odd/ or /even/, and in
 * whether they hold key k2 of tenant t2.
 */

/* Of every route, milliseconds. */
#define SOAK_TIMEOUT_MSEC 3000

/* A new reference. */
json_t *soak_config(unsigned int version);

/* What one request of a caller asks for. */
struct soak_want {
	const char *method;
	const char *prefix;
	const char *key; /* "" for none */
	const char *tenant;
	const char *model;
	enum soak_kind kind;
	bool known; /* some version allows it */
	int parity; /* versions that allow it: 0 even, 1 odd, -1 all */
};

struct soak_want soak_want_draw(GRand *rand);

#endif
