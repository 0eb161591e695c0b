#ifndef TEST_ONCE_STATE_H
#define TEST_ONCE_STATE_H

#include <glib.h>

#include <jacinthhill/ledger.h>

#include "once_world.h"

#define AGENTS 3
#define KEYS 3

struct object {
	uint64_t version;
	GString *value;
};

/* Something under way: an action carried out, or its answer on the way. */
struct event {
	struct jh_ledger_action *act;
	int agent;
	uint64_t incarnation;
	int key;
	bool applied; /* the rest holds the answer */
	enum jh_store_result result;
	uint64_t version;
	GString *value;
	enum jh_nonce_state state;
	struct jh_call_answer *answer;
	bool sent;
};

struct key {
	char name[8];
	char hash[8];
	int executed; /* by the backend server */
	char executed_hash[8];
	int sends[2]; /* issued and not proven unsent: own, other request */
	int attempts;
	uint64_t waiting; /* attempt the caller listens to, 0 if none */
	uint64_t other; /* the latest attempt with another request */
	bool first; /* of the attempt waited for */
	bool all_unrun; /* every attempt so far was refused as not run */
};

struct world {
	GRand *rand;
	enum once_mutant mutant;
	struct once_seen *seen;
	uint64_t now;
	/* A run differs from others in size and in the rate of faults. */
	int agents;
	int n_keys;
	int fault_percent;
	bool outage;
	bool healed;
	struct jh_ledger *ledger[AGENTS];
	uint64_t incarnation[AGENTS];
	uint64_t last_incarnation;
	uint64_t last_attempt;
	GHashTable *store; /* object name to struct object */
	GPtrArray *events;
	GHashTable *replied; /* attempts */
	struct key keys[KEYS];
	const char *fault;
};

bool once_chance(struct world *w, int percent);

/* Keeps the first fault. */
void once_check(struct world *w, bool ok, const char *what);

/* Carry out an action on the store, at an agent, at the backend server. */
void once_apply_store(struct world *w, struct event *e);
void once_apply_ask(struct world *w, struct event *e);
void once_apply_send(struct world *w, struct event *e);

#endif
