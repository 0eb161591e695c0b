#ifndef FAKE_STORE_SERVICE_H
#define FAKE_STORE_SERVICE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>

/*
 * A stand-in of the platform's object store; see docs/store-protocol.md.
 * Faults are set with fake_store_control() or POST /control.
 */
struct fake_store;

struct fake_store_options {
	struct sockaddr_in listen;
	double writes_per_second; /* 0: unlimited */
	double reads_per_second; /* 0: unlimited */
	unsigned int history; /* changes remembered for watches */
};

struct fake_store *fake_store_create(
    const struct fake_store_options *options, GError **err);
void fake_store_destroy(struct fake_store *s);
unsigned int fake_store_port(const struct fake_store *s);

/* Applies {"mode", "slow_ms", "lose_answers", "lose_next", "seed"}. */
bool fake_store_control(struct fake_store *s, const json_t *o);
/* Mode, revision and counters; the caller owns the reference. */
json_t *fake_store_state(struct fake_store *s);

#endif
