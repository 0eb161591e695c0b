#ifndef FAKE_STORE_SERVICE_H
#define FAKE_STORE_SERVICE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>

/*
 * Fake of the platform's object store; see docs/store-protocol.md. Faults are
 * injected with fake_store_control() or POST /control.
 */
struct fake_store;

struct fake_store_options {
	struct sockaddr_in listen;
	double writes_per_second; /* 0: unlimited */
	double reads_per_second; /* 0: unlimited */
	unsigned int history; /* changes kept for watches */
};

/* Starts the server; returns NULL with *err set on failure. */
struct fake_store *fake_store_create(
    const struct fake_store_options *options, GError **err);
void fake_store_destroy(struct fake_store *s);
unsigned int fake_store_port(const struct fake_store *s);

/*
 * Applies {"mode", "slow_ms", "lose_answers", "lose_next", "seed"}, each of
 * them optional. Returns false if it is malformed.
 */
bool fake_store_control(struct fake_store *s, const json_t *o);
/* Mode, revision and counters; the caller owns the reference. */
json_t *fake_store_state(struct fake_store *s);

#endif
