#ifndef GATEWAY_EXCHANGE_H
#define GATEWAY_EXCHANGE_H

#include "gateway/gateway.h"
#include "route/attempt.h"
#include "stream/events.h"

/* One request of a client, from its arrival to its final answer. */
struct exchange {
	struct jh_gateway *gw;
	struct jh_visit *visit; /* NULL once the answer has ended */
	struct jh_ask ask;
	struct jh_table *table; /* in force when the request arrived */
	const struct jh_route *route;
	const struct jh_tenant *tenant; /* NULL: none */
	const struct jh_service *service; /* NULL: not described */
	const struct jh_service *store; /* of cached parts; NULL: none */
	const char *service_name;
	uint64_t arrived;
	struct jh_choose_request choose; /* what does not change */
	char *model;
	struct jh_attempts attempts;
	uint64_t excluded[JH_CHOOSE_MAX_EXCLUDED];
	size_t n_excluded;
	uv_timer_t timer; /* deadline of the final answer */

	/* The attempt in progress. */
	struct jh_call *call;
	char *worker; /* id */
	struct sockaddr_in peer;
	uint64_t sent_at;
	uint64_t expected; /* first answer after this, microseconds */
	uint64_t base; /* the same at an idle worker */
	uint64_t weights; /* that were asked for */
	uint64_t booked_prefill, booked_held;
	uv_timer_t patience; /* the attempt is given up when it stays silent */
	bool silent; /* patience ended */
	bool spoilt; /* the answer breaks the protocol */
	struct jh_answer answer;
	unsigned int status;
	GString *fields; /* header lines that are passed on */
	GByteArray *body; /* of an answer that is passed on whole */
	struct jh_events *events; /* of a stream */
	bool streaming; /* the answer is a stream of events */
	bool begun; /* the client has the head of the answer */
	bool paused;
	uint64_t last_event;
	bool has_last_event;
	unsigned int n_events;
	uint64_t first_at; /* first event; 0: none yet */
	unsigned int handles; /* timers that are not closed */
};

/* attempt.c: chooses a worker and forwards the request. */
void exchange_try(struct exchange *x);
/* There is no further attempt: tells the client what is known. */
void exchange_give_up(struct exchange *x, const char *reason);
/* Breaks the attempt in progress off, if there is one. */
void exchange_cancel_attempt(struct exchange *x);

/* finish.c: the final answers; the exchange is gone after each. */
void exchange_pass(struct exchange *x);
void exchange_refuse(struct exchange *x, const char *reason, double seconds);
void exchange_fail(struct exchange *x, unsigned int status, const char *reason);
void exchange_end_stream(struct exchange *x);
void exchange_break_stream(struct exchange *x, const char *reason);
void exchange_free(struct exchange *x);

/* relay.c: the worker's answer as it arrives. */
extern const struct jh_call_ops exchange_call_ops;
/* The client has taken what was written. */
void exchange_drained(struct exchange *x);

/* The worker of the attempt, or NULL when it has gone. */
struct jh_worker *exchange_worker(struct exchange *x);
/* The tenant's rank goes before the route's. */
unsigned int exchange_rank(const struct exchange *x);
/* Takes the attempt's load off the books. */
void exchange_unbook(struct exchange *x);
void exchange_unbook_prefill(struct exchange *x);

#endif
