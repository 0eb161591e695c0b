#ifndef BENCH_LOAD_SHAPE_H
#define BENCH_LOAD_SHAPE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "options.h"

#define SHAPE_ORGS 8
/* The first organisations are the large ones. */
#define SHAPE_LARGE_ORGS 2

/* Generates the requests of one deployment's callers. */
struct shape;

/* One request to send. */
struct shape_request {
	unsigned int org;
	bool background;
	bool payment;
	bool shared; /* the first message is shared by all organisations */
	unsigned int tokens; /* answer length asked for */
	uint64_t prompt_tokens; /* as the stand-in engine counts them */
	GString *body;
};

/* Returns NULL when the shape does not exist. */
struct shape *shape_create(const struct load_options *o);
void shape_destroy(struct shape *s);

/* The next request; the caller frees its body. */
void shape_next(struct shape *s, bool shifted, struct shape_request *out);

/* Prints the hash of each shared first message, as the catalogue needs. */
void shape_print_shared(const struct shape *s);

#endif
