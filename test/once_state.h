#ifndef TEST_ONCE_STATE_H
#define TEST_ONCE_STATE_H

#include <glib.h>

#include <jacinthhill/ledger.h>

#include "once_simulation.h"

#define AGENTS 3
#define KEYS 3

struct object {
	uint64_t version;
	GString *value;
};

/* An action to be carried out, or its result on the way to the agent. */
struct event {
	struct jh_ledger_action *act;
	int agent;
	uint64_t incarnation;
	int key;
	bool applied; /* carried out; the members below hold the result */
	enum jh_store_result result;
	uint64_t version;
	GString *value;
	enum jh_nonce_state state;
	struct jh_call_response *response;
	bool sent;
};

/* An idempotency key and what its caller knows. */
struct key {
	char name[8];
	char hash[8];
	int executed; /* number of times by the backend server */
	char executed_hash[8];
	/* Sends not known to have failed: of its own and of another request. */
	int sends[2];
	int attempts;
	uint64_t waiting; /* attempt whose reply the caller awaits, 0 if none */
	uint64_t other; /* latest attempt with another request, 0 if none */
	bool first; /* whether the awaited attempt is marked as first */
	bool all_not_run; /* each attempt so far was refused as not run */
};

struct simulation {
	GRand *rand;
	enum once_mutant mutant;
	struct once_coverage *coverage;
	uint64_t now;
	/* The size and the rate of faults are random for each run. */
	int agents;
	int n_keys;
	int fault_percent;
	bool outage; /* of the store */
	bool faults_stopped; /* no more faults are injected */
	struct jh_ledger *ledger[AGENTS];
	uint64_t incarnation[AGENTS];
	uint64_t last_incarnation;
	uint64_t last_attempt;
	GHashTable *store; /* object name to struct object */
	GPtrArray *events;
	GHashTable *replied; /* ids of attempts that were replied to */
	struct key keys[KEYS];
	const char *violation; /* first violation of a rule, NULL if none */
};

/* Returns true with the given probability. */
bool once_chance(struct simulation *sim, int percent);

/* Records what as the violation if ok is false and none was recorded yet. */
void once_check(struct simulation *sim, bool ok, const char *what);

/* Carry out an action at the store, an agent or the backend server. */
void once_apply_store(struct simulation *sim, struct event *e);
void once_apply_query(struct simulation *sim, struct event *e);
void once_apply_send(struct simulation *sim, struct event *e);

#endif
