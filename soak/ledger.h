#ifndef SOAK_LEDGER_H
#define SOAK_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <jacinthhill/str.h>

/*
 * What callers sent and got, and what workers ran; finds broken promises while
 * the soak runs. Pure; times are microseconds.
 */
struct soak_ledger;

/* Bounds of the platform's pages, in microseconds unless they say otherwise. */
struct soak_bounds {
	uint64_t contact; /* calm for this long: in touch */
	uint64_t drain; /* after a worker's leaving is known */
	uint64_t answer; /* past a route's timeout */
	uint64_t stop; /* from a caller's leaving to the end of the run */
	uint64_t thaw; /* orders this soon after trouble are excused */
	unsigned int entries, workers; /* counts */
};

enum soak_kind { SOAK_ONCE, SOAK_AGAIN, SOAK_STREAM };

/* Whether the configurations that may be in force allow a request. */
enum soak_right { SOAK_ALLOWED, SOAK_FORBIDDEN, SOAK_UNSURE };

struct soak_request {
	char *id; /* taken over */
	char *target; /* taken over */
	char *body; /* taken over */
	const char *method;
	const char *tenant; /* of its key; "" without a key */
	const char *model; /* "" without one */
	enum soak_kind kind;
	enum soak_right right;
	bool varies; /* right holds until the next configuration only */
	bool key_ever; /* some configuration held key and route */
	unsigned int entry;
	uint64_t sent;
	uint64_t timeout; /* of the route, from sent */
};

/* A request as a worker runs it. */
struct soak_run {
	struct jh_str id, method, target, body, tenant, model;
	bool has_key, has_hold;
	int64_t left_msec; /* deadline handed to the worker; -1: none */
	int last_event; /* resumes after it; 0: whole */
	unsigned int worker;
	/* The worker breaks off, garbles or does not answer. */
	bool unsound;
};

/* An answer as a caller has read it. */
struct soak_answer {
	unsigned int status;
	struct jh_str id, seal, body; /* len 0: none */
	bool complete;
};

struct soak_totals {
	unsigned int sent, ran, served, refused, failed, broken, left;
};

struct soak_ledger *soak_ledger_create(const struct soak_bounds *b);
void soak_ledger_destroy(struct soak_ledger *l);

/* Takes the request's texts over. */
void soak_ledger_sent(struct soak_ledger *l, const struct soak_request *r);
void soak_ledger_answered(struct soak_ledger *l, uint64_t now, const char *id,
    const struct soak_answer *a);
/* The connection ended without a whole answer. */
void soak_ledger_broken(struct soak_ledger *l, uint64_t now, const char *id);
/* The caller closed the connection before the answer. */
void soak_ledger_left(struct soak_ledger *l, uint64_t now, const char *id);
/* No answer by the route's timeout and the bound past it. */
void soak_ledger_unanswered(
    struct soak_ledger *l, uint64_t now, const char *id);

void soak_ledger_ran(
    struct soak_ledger *l, uint64_t now, const struct soak_run *r);
void soak_ledger_ended(struct soak_ledger *l, uint64_t now, struct jh_str id);
void soak_ledger_order(struct soak_ledger *l, uint64_t now, unsigned int worker,
    const char *holder, uint64_t token);
/* A configuration that allows other requests is on its way. */
void soak_ledger_configured(struct soak_ledger *l, uint64_t now);
/* The store has acknowledged that the worker leaves; 0: it is back. */
void soak_ledger_draining(
    struct soak_ledger *l, unsigned int worker, uint64_t since);

/*
 * Trouble that ends at until. planned: a stop with notice, which excuses no
 * broken answer.
 */
void soak_ledger_disturb_entry(
    struct soak_ledger *l, unsigned int entry, uint64_t until, bool planned);
void soak_ledger_disturb_worker(
    struct soak_ledger *l, unsigned int worker, uint64_t until);
void soak_ledger_disturb_store(struct soak_ledger *l, uint64_t until);
/* Whether entry and store have been calm since the contact time before t. */
bool soak_ledger_in_touch(
    const struct soak_ledger *l, unsigned int entry, uint64_t t);
bool soak_ledger_store_calm(const struct soak_ledger *l, uint64_t t);

/* Notes a promise that was found broken elsewhere. */
void soak_ledger_fault(struct soak_ledger *l, uint64_t now, const char *rule,
    const char *format, ...) G_GNUC_PRINTF(4, 5);
/* Checks what only the whole run shows. */
void soak_ledger_finish(struct soak_ledger *l, uint64_t now);
/* Faults, one text each, in the order found; owned by the ledger. */
const GPtrArray *soak_ledger_faults(const struct soak_ledger *l);
struct soak_totals soak_ledger_totals(const struct soak_ledger *l);
/* Share of the allowed requests sent since t that were served; 1 if none. */
double soak_ledger_share(const struct soak_ledger *l, uint64_t t);

#endif
