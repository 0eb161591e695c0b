#ifndef BENCH_LOAD_SHAPE_H
#define BENCH_LOAD_SHAPE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "options.h"

#define SHAPE_ORGS 8
/* Organisations below this number are the large ones. */
#define SHAPE_LARGE_ORGS 2

/*
 * A load shape: generates requests like those of the clients of one deployment.
 */
struct shape;

/* A generated request. */
struct shape_request {
	unsigned int org;
	bool background;
	bool payment;
	bool shared; /* all organisations have the same first message */
	unsigned int tokens; /* max_tokens of the request */
	uint64_t prompt_tokens; /* as the fake engine counts them */
	GString *body;
};

/* Returns NULL when the shape does not exist. */
struct shape *shape_create(const struct load_options *o);
void shape_destroy(struct shape *s);

/*
 * Generates the next request; the caller frees its body. After a shift, all
 * manuals or batch records are new.
 */
void shape_next(struct shape *s, bool shifted, struct shape_request *out);

/* Prints the hash of each shared first message for the catalogue. */
void shape_print_shared(const struct shape *s);

#endif
