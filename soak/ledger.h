#ifndef SOAK_LEDGER_H
#define SOAK_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <jacinthhill/str.h>

/*
 * Records what clients sent and received and what workers executed, and detects
 * violations of the service's guarantees during the soak test. It does no I/O
 * and reads no clock; times are microseconds.
 */
struct soak_ledger;

/* Bounds that the platform's documents state; times in microseconds. */
struct soak_bounds {
	uint64_t contact; /* undisturbed for this long: deemed connected */
	uint64_t drain; /* from the store's notice that a worker drains */
	uint64_t answer; /* after a route's timeout */
	uint64_t
	    stop; /* from the client's disconnect to the end of execution */
	uint64_t thaw; /* stale orders this soon after a fault are excused */
	unsigned int entries, workers; /* counts */
};

enum soak_kind { SOAK_ONCE, SOAK_AGAIN, SOAK_STREAM };

/* Whether the configurations that may be in effect allow a request. */
enum soak_right { SOAK_ALLOWED, SOAK_FORBIDDEN, SOAK_UNSURE };

struct soak_request {
	char *id; /* owned */
	char *target; /* owned */
	char *body; /* owned */
	const char *method;
	const char *tenant; /* organisation of its key; "" without a key */
	const char *model; /* "" for none */
	enum soak_kind kind;
	enum soak_right right;
	bool varies; /* the next configuration may change permission */
	bool key_ever; /* some configuration has its key and route */
	unsigned int entry;
	uint64_t sent;
	uint64_t timeout; /* of the route, from sent */
};

/* A request as a worker received it. */
struct soak_execution {
	struct jh_str id, method, target, body, tenant, model;
	bool has_key, has_hold;
	int64_t left_msec; /* time left that the worker was told; -1: none */
	int last_event; /* resumes the stream after it; 0: the whole stream */
	unsigned int worker;
	/* The worker breaks off, sends garbage or does not respond. */
	bool unsound;
};

/* A response as a client received it. */
struct soak_answer {
	unsigned int status;
	struct jh_str id, seal, body; /* empty: none */
	bool complete;
};

struct soak_totals {
	unsigned int sent, ran, served, refused, failed, broken, left;
};

struct soak_ledger *soak_ledger_create(const struct soak_bounds *b);
void soak_ledger_destroy(struct soak_ledger *ck);

/* Takes ownership of the request's id, target and body. */
void soak_ledger_sent(struct soak_ledger *ck, const struct soak_request *r);
void soak_ledger_answered(struct soak_ledger *ck, uint64_t now, const char *id,
    const struct soak_answer *a);
/* The connection ended without a complete response. */
void soak_ledger_broken(struct soak_ledger *ck, uint64_t now, const char *id);
/* The client closed the connection before the response. */
void soak_ledger_left(struct soak_ledger *ck, uint64_t now, const char *id);
/* No response arrived within the route's timeout and the bound after it. */
void soak_ledger_unanswered(
    struct soak_ledger *ck, uint64_t now, const char *id);

/* A worker started, or ended, the execution of a request. */
void soak_ledger_ran(
    struct soak_ledger *ck, uint64_t now, const struct soak_execution *r);
void soak_ledger_ended(struct soak_ledger *ck, uint64_t now, struct jh_str id);
/* A worker accepted holder's order, with this token, to load weights. */
void soak_ledger_order(struct soak_ledger *ck, uint64_t now,
    unsigned int worker, const char *holder, uint64_t token);
/* A configuration that allows other requests was published. */
void soak_ledger_configured(struct soak_ledger *ck, uint64_t now);
/* The store knows since then that the worker drains; 0: it is back. */
void soak_ledger_draining(
    struct soak_ledger *ck, unsigned int worker, uint64_t since);

/*
 * Announce a fault that lasts until the given time. planned: a graceful stop,
 * which does not excuse lost responses.
 */
void soak_ledger_disturb_entry(
    struct soak_ledger *ck, unsigned int router, uint64_t until, bool planned);
void soak_ledger_disturb_worker(
    struct soak_ledger *ck, unsigned int worker, uint64_t until);
void soak_ledger_disturb_store(struct soak_ledger *ck, uint64_t until);
/* Whether the router was undisturbed for connected_after before t. */
bool soak_ledger_in_touch(
    const struct soak_ledger *ck, unsigned int router, uint64_t t);
/* Whether the store was undisturbed for connected_after before t. */
bool soak_ledger_store_calm(const struct soak_ledger *ck, uint64_t t);

/* Records a violation that was detected elsewhere. */
void soak_ledger_fault(struct soak_ledger *ck, uint64_t now, const char *rule,
    const char *format, ...) G_GNUC_PRINTF(4, 5);
/* Checks what can only be judged at the end of the run. */
void soak_ledger_finish(struct soak_ledger *ck, uint64_t now);
/* The violations, as text, in the order found; owned by the checker. */
const GPtrArray *soak_ledger_faults(const struct soak_ledger *ck);
struct soak_totals soak_ledger_totals(const struct soak_ledger *ck);
/* Fraction of the allowed requests sent since t that were served; 1 if none. */
double soak_ledger_share(const struct soak_ledger *ck, uint64_t t);

#endif
