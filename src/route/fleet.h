#ifndef ROUTE_FLEET_H
#define ROUTE_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>

/*
 * The state of every worker as this process knows it: the entry of the instance
 * list, what the worker's responses reported since, and the work sent to it. No
 * I/O; times are in microseconds of the monotonic clock.
 */
struct jh_fleet;

/* Models that an entry of the list may have. */
#define JH_LISTED_MAX_MODELS 64

struct jh_listed_model {
	const char *name;
	uint64_t weights; /* version */
};

/* A worker in the instance list. Strings are copied when it is taken in. */
struct jh_listed_worker {
	const char *id;
	const char *service;
	const char *zone;
	struct sockaddr_in address;
	unsigned int slots;
	bool leaving;
	struct jh_listed_model models[JH_LISTED_MAX_MODELS];
	size_t n_models; /* 0: not an engine */
	uint64_t
	    started_ms; /* start of the worker, Unix milliseconds; 0: unknown */
};

/* A model that a worker serves. */
struct jh_worker_model {
	char *name;
	uint64_t weights; /* version */
	uint64_t confirmed; /* when it was last confirmed */
};

/* What this process knows of a worker. */
struct jh_worker {
	char *id;
	uint64_t hash; /* of id */
	char *service;
	char *zone;
	struct sockaddr_in address;
	unsigned int slots;
	bool leaving;
	bool announced_leaving; /* in a response; holds until its next start */
	GArray *models; /* struct jh_worker_model, by name; none: no engine */
	bool orders_known;
	uint64_t orders; /* accepted by the worker since its start */
	uint64_t started_ms;
	/* When it left a list that may be incomplete; 0: it is listed. */
	uint64_t missing_since;
	/*
	 * Another instance has its address, so it gets no requests until it is
	 * listed with another start; 0: none is known to.
	 */
	uint64_t replaced_until;
	uint64_t replaced_at; /* when this process learnt it */
	/* A peer got a response that says it leaves: gets no requests before.
	 */
	uint64_t heard_leaving_until;
	/* Results of this process's own requests. */
	uint64_t backoff_until; /* gets no requests before */
	uint64_t
	    changing_until; /* until then loads weights, gets no requests */
	/*
	 * It asked this process to send nothing before; 0: it did not, or has
	 * responded with success since. Then one request at a time is sent,
	 * until trial_until if there is no response.
	 */
	uint64_t refused_until;
	uint64_t refused_at;
	uint64_t trial_until;
	unsigned int consecutive_failures;
	double fail_rate; /* moving average of failed attempts, 0 to 1 */
	/* Last response or event that this process, and any other, got. */
	uint64_t responded_at;
	uint64_t others_responded_at;
	/*
	 * When this process reported that it crashed at this start; 0: it has
	 * not, or the worker has responded since.
	 */
	uint64_t crash_reported_at;
	/* Requests in progress that this process has sent. */
	unsigned int running;
	uint64_t prefill_tokens; /* prompt tokens still to be computed */
	uint64_t held_tokens; /* cache memory of running requests */
	/* The same of the other processes, from their last messages. */
	unsigned int others_running;
	uint64_t others_prefill;
	uint64_t others_held;
	/*
	 * Moving average of how much longer first tokens took than at an idle
	 * worker, and when it was last updated.
	 */
	double ttft_excess;
	uint64_t ttft_excess_at;
	/* Of requests with admission under overload, see route/overload.h. */
	uint64_t urgent_tokens; /* the part of prefill_tokens that is urgent */
	uint64_t others_urgent; /* of others_prefill */
	/* Learned from urgent and from other requests; 0: not known, as 1. */
	double speed[2];
	/* Its last connection failed at that time; 0: it has responded since.
	 */
	uint64_t unreachable_at;
	/* Peers that failed as well: the last one, and the backoff by them. */
	uint64_t unreachable_peer;
	uint64_t unreachable_heard_at;
	uint64_t heard_unreachable_until;
};

/* What a request in progress adds to the load of its worker, in tokens. */
struct jh_worker_load {
	uint64_t prefill;
	uint64_t urgent; /* the part of prefill that is urgent */
	uint64_t held;
};

/*
 * A worker that loads weights gets no requests for this long after the last
 * message about it; the message is repeated several times within that time.
 */
#define JH_FLEET_CHANGING_USEC 800000ULL

/*
 * A replaced worker gets no requests for this long, which is longer than it
 * stays listed. Peers are told for the second time.
 */
#define JH_FLEET_REPLACED_USEC 10000000ULL
#define JH_FLEET_ANNOUNCE_REPLACED_USEC 2000000ULL

/*
 * A worker that leaves by the word of a peer gets no requests for this long
 * after the peer's last message; the peer repeats it for as long as the worker
 * is listed with the same start.
 */
#define JH_FLEET_HEARD_LEAVING_USEC 3000000ULL

/*
 * A worker that two peers cannot reach gets no requests for the first time
 * after their last message, which they repeat for the second time after a
 * failure.
 */
#define JH_FLEET_HEARD_UNREACHABLE_USEC 300000ULL
#define JH_FLEET_ANNOUNCE_UNREACHABLE_USEC 500000ULL

/* Backoff after a failure; each consecutive failure doubles it. */
#define JH_FLEET_BACKOFF_MIN_USEC 250000ULL
#define JH_FLEET_BACKOFF_MAX_USEC 2000000ULL

/* A worker with a higher failure rate is in state "eased". */
#define JH_FLEET_DEGRADED_FAIL_RATE 0.05

/* Longest time for which a worker can ask for no requests. */
#define JH_WORKER_MAX_REFUSAL_USEC (300 * 1000000ULL)

/* Time without a response after which another trial request is sent. */
#define JH_WORKER_TRIAL_USEC 1000000ULL

/* Workers that are remembered to leave after they were removed. */
#define JH_FLEET_MAX_LEAVING 4096

struct jh_fleet *jh_fleet_create(void);
void jh_fleet_destroy(struct jh_fleet *f);

/*
 * Adds or updates a worker from the instance list. A version of weights that a
 * response reported overrides a lower one in the list for a short time, because
 * the list lags. Returns the worker, which stays owned by the fleet.
 */
struct jh_worker *jh_fleet_update(
    struct jh_fleet *f, uint64_t now, const struct jh_listed_worker *l);
/* Removes a worker that has left the list. */
void jh_fleet_remove(struct jh_fleet *f, const char *id);
/*
 * Marks a worker that has left a list which may be incomplete since that time.
 * jh_fleet_expire() removes it after the grace period unless it is listed
 * again.
 */
void jh_fleet_mark_missing(struct jh_fleet *f, uint64_t since, const char *id);
void jh_fleet_expire(struct jh_fleet *f, uint64_t now, uint64_t grace);

struct jh_worker *jh_fleet_find(struct jh_fleet *f, const char *id);
struct jh_worker *jh_fleet_find_hash(struct jh_fleet *f, uint64_t hash);
/* Workers in order of id; i is less than jh_fleet_count(). */
size_t jh_fleet_count(const struct jh_fleet *f);
struct jh_worker *jh_fleet_at(struct jh_fleet *f, size_t i);
/* Rises whenever a worker is added or removed. */
uint64_t jh_fleet_generation(const struct jh_fleet *f);

/*
 * The state of a worker, which tells why it gets no requests or fewer:
 * "leaving", "replaced" (another instance has its address), "missing" (it left
 * a list that may be incomplete), "changing" (it loads weights), "held" (in
 * backoff after failures), "eased" (some of its responses fail) or "ready".
 */
const char *jh_worker_state(const struct jh_worker *w, uint64_t now);

/* Whether its entry, or a response of its own, says that it leaves. */
bool jh_worker_is_leaving(const struct jh_worker *w);
/*
 * The worker says that it leaves, which holds until its next start, whatever is
 * listed. Returns whether that was new.
 */
bool jh_fleet_announced_leaving(struct jh_fleet *f, struct jh_worker *w);
/* A peer states that the worker has said that it leaves. */
void jh_worker_heard_leaving(struct jh_worker *w, uint64_t now);
/* The worker wants no requests for that long, microseconds. */
void jh_worker_refused(struct jh_worker *w, uint64_t now, uint64_t usec);
/* The worker takes requests: it responded to one that was sent at that time. */
void jh_worker_accepted(struct jh_worker *w, uint64_t sent_at);
/* When it may get a request: now or earlier if it may. */
uint64_t jh_worker_accepts_at(const struct jh_worker *w, uint64_t now);
/* A request in progress begins, has its first event, and ends. */
void jh_worker_add_load(struct jh_worker *w, const struct jh_worker_load *l);
void jh_worker_release_prefill(struct jh_worker *w, struct jh_worker_load *l);
void jh_worker_release_load(struct jh_worker *w, struct jh_worker_load *l);
/* A request is sent to it. */
void jh_worker_sent(struct jh_worker *w, uint64_t now);

/* i is less than models->len. */
struct jh_worker_model *jh_worker_model_at(const struct jh_worker *w, size_t i);
/* Returns NULL if the worker does not serve the model. */
struct jh_worker_model *jh_worker_find_model(
    const struct jh_worker *w, const char *name);
/* Version of the model's weights; 0 if the worker does not serve it. */
uint64_t jh_worker_weights(const struct jh_worker *w, const char *model);
/*
 * Takes over the version of a model's weights that a worker reported; has no
 * effect if it does not serve the model.
 */
void jh_worker_observed_weights(
    struct jh_worker *w, uint64_t now, const char *model, uint64_t weights);
/* Another instance responded at the worker's address: it has ended. */
void jh_worker_replaced(struct jh_worker *w, uint64_t now);
/* Whether peers are to be told that the worker was replaced. */
bool jh_worker_announces_replaced(const struct jh_worker *w, uint64_t now);
/* The connection failed or the worker timed out: starts a backoff. */
void jh_worker_attempt_failed(struct jh_worker *w, uint64_t now);
/*
 * No connection to the worker could be opened: as jh_worker_attempt_failed(),
 * and peers are told. spread: a random number; processes that failed at the
 * same time try again at different ones.
 */
void jh_worker_unreachable(struct jh_worker *w, uint64_t now, uint64_t spread);
/*
 * A peer reports so. Has no effect if this process has got a response within
 * the window, or if no other peer reports the same, so that the fault of one
 * process or link takes no worker out of service.
 */
void jh_worker_heard_unreachable(
    struct jh_worker *w, uint64_t now, uint64_t peer, uint64_t window);
/* Whether peers are to be told that the worker cannot be reached. */
bool jh_worker_announces_unreachable(const struct jh_worker *w, uint64_t now);
/* The worker responded; failed: with an error of its own. */
void jh_worker_responded(struct jh_worker *w, bool failed);

#endif
