#ifndef SOAK_CHECKER_H
#define SOAK_CHECKER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/str.h>

#include "soak/quota_checker.h"

/*
 * Records what clients sent and received and what workers executed, and detects
 * violations of the service's guarantees during the soak test. It does no I/O
 * and reads no clock; times are microseconds.
 */
struct soak_checker;

/* Bounds that the platform's documents state; times in microseconds. */
struct soak_bounds {
	uint64_t
	    connected_after; /* undisturbed for this long: deemed connected */
	uint64_t drain; /* from the store's notice that a worker drains */
	uint64_t response; /* after a route's timeout */
	uint64_t
	    cancel; /* from the client's disconnect to the end of execution */
	uint64_t
	    order_grace; /* stale orders this soon after a fault are excused */
	unsigned int routers, workers; /* counts */
};

enum soak_request_kind { SOAK_NON_IDEMPOTENT, SOAK_IDEMPOTENT, SOAK_STREAMING };

/* Whether the configurations that may be in effect allow a request. */
enum soak_permission { SOAK_ALLOWED, SOAK_FORBIDDEN, SOAK_UNDECIDED };

struct soak_request {
	char *id; /* owned */
	char *target; /* owned */
	char *body; /* owned */
	const char *method;
	const char *org; /* organisation of its key; "" without a key */
	const char *model; /* "" for none */
	double cost; /* in the unit of the organisation's quota */
	char *first_part; /* id, of its prompt; NULL: none; owned */
	char *parts; /* "id:tokens,...", of its prompt; NULL: none; owned */
	bool crashes_workers; /* its prompt has the part that does */
	enum soak_request_kind kind;
	enum soak_permission permission;
	bool
	    config_dependent; /* the next configuration may change permission */
	bool ever_allowed; /* some configuration has its key and route */
	unsigned int router;
	uint64_t sent;
	uint64_t timeout; /* of the route, from sent */
};

/* A request as a worker received it. */
struct soak_execution {
	struct jh_str id, method, target, body, org, model;
	bool has_key, has_hold;
	int64_t remaining_msec; /* remaining time in the request to the worker;
				   -1: none */
	int last_event; /* resumes the stream after it; 0: the whole stream */
	unsigned int worker;
	/* The worker breaks off, sends garbage or does not respond. */
	bool faulty;
};

/* A response as a client received it. */
struct soak_response {
	unsigned int status;
	struct jh_str id, seal, body; /* empty: none */
	bool rate_limited; /* names a rate limit of the worker */
	bool leaving; /* says that the worker leaves */
	bool complete;
};

struct soak_totals {
	unsigned int sent, executions, served, refused, failed, broken,
	    abandoned, part_crashes;
};

struct soak_checker *soak_checker_create(const struct soak_bounds *b);
void soak_checker_destroy(struct soak_checker *ck);

/* Takes ownership of the request's id, target, body and parts. */
void soak_checker_sent(struct soak_checker *ck, const struct soak_request *r);
void soak_checker_responded(struct soak_checker *ck, uint64_t now,
    const char *id, const struct soak_response *a);
/* The connection ended without a complete response. */
void soak_checker_broken(struct soak_checker *ck, uint64_t now, const char *id);
/* The client closed the connection before the response. */
void soak_checker_abandoned(
    struct soak_checker *ck, uint64_t now, const char *id);
/* No response arrived within the route's timeout and the bound after it. */
void soak_checker_timed_out(
    struct soak_checker *ck, uint64_t now, const char *id);

/* A worker started, or ended, the execution of a request. */
void soak_checker_execution_started(
    struct soak_checker *ck, uint64_t now, const struct soak_execution *r);
void soak_checker_execution_ended(struct soak_checker *ck, uint64_t now,
    unsigned int worker, struct jh_str id);
/* A request arrived at a worker, whether it runs it or not. */
void soak_checker_arrived(struct soak_checker *ck, uint64_t now,
    unsigned int worker, struct jh_str id);
/* A worker answered a request with 503 and the time until then. */
void soak_checker_refused(struct soak_checker *ck, uint64_t now,
    unsigned int worker, struct jh_str id, uint64_t until);
/* The worker names this rate limit from now on; negative: none. */
void soak_checker_rate_limit(
    struct soak_checker *ck, uint64_t now, unsigned int worker, double limit);
/* The worker has started again. */
void soak_checker_worker_started(
    struct soak_checker *ck, uint64_t now, unsigned int worker);
/* A worker accepted holder's order, with this token, to load weights. */
void soak_checker_load_order(struct soak_checker *ck, uint64_t now,
    unsigned int worker, const char *holder, uint64_t token);
/* The store has this quota from now on; quotas are checked since then. */
void soak_checker_quota(
    struct soak_checker *ck, uint64_t now, const struct soak_quota *q);
/* A configuration that allows other requests was published. */
void soak_checker_config_changed(struct soak_checker *ck, uint64_t now);
/* The store knows since then that the worker drains; 0: it is back. */
void soak_checker_draining(
    struct soak_checker *ck, unsigned int worker, uint64_t since);

/*
 * Announce a fault that lasts until the given time. planned: a graceful stop,
 * which does not excuse lost responses.
 */
void soak_checker_disturb_router(
    struct soak_checker *ck, unsigned int router, uint64_t until, bool planned);
/* The router does not run until then, or starts. */
void soak_checker_interrupt_router(
    struct soak_checker *ck, unsigned int router, uint64_t until);
void soak_checker_disturb_worker(
    struct soak_checker *ck, unsigned int worker, uint64_t until);
/* A part of a prompt crashed the worker, which is back by until. */
void soak_checker_crashed_by_part(
    struct soak_checker *ck, uint64_t now, unsigned int worker, uint64_t until);
void soak_checker_disturb_store(struct soak_checker *ck, uint64_t until);
/* Whether the router was undisturbed for connected_after before t. */
bool soak_checker_router_undisturbed(
    const struct soak_checker *ck, unsigned int router, uint64_t t);
/* Whether the store was undisturbed for connected_after before t. */
bool soak_checker_store_undisturbed(const struct soak_checker *ck, uint64_t t);

/*
 * The soak runs at this time. To be called every SOAK_TICK_USEC: while the soak
 * itself does not run, it neither passes on what its clients sent nor reads
 * what its workers received, and this time is not the router's.
 */
#define SOAK_TICK_USEC (10 * JH_USEC_PER_MSEC)
void soak_checker_tick(struct soak_checker *ck, uint64_t now);

/* Records a violation that was detected elsewhere. */
void soak_checker_add_violation(struct soak_checker *ck, uint64_t now,
    const char *rule, const char *format, ...) G_GNUC_PRINTF(4, 5);
/* Checks what can only be judged at the end of the run. */
void soak_checker_finish(struct soak_checker *ck, uint64_t now);
/* The violations, as text, in the order found; owned by the checker. */
const GPtrArray *soak_checker_violations(const struct soak_checker *ck);
struct soak_totals soak_checker_totals(const struct soak_checker *ck);
/*
 * Fraction of the allowed requests sent since t that were served; 1 if none.
 * Requests that crash workers do not count.
 */
double soak_checker_success_ratio(const struct soak_checker *ck, uint64_t t);

#endif
