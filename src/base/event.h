#ifndef BASE_EVENT_H
#define BASE_EVENT_H

#include <glib.h>

/*
 * Log events, each with a number that never changes and is never used again.
 * docs/events.md has a row for each. Ranges: 1000 process, 2000 HTTP, 3000
 * entry daemon, 4000 agent, 5000 catalogue, 6000 store, 7000 membership, 8000
 * refusals, 9000 tools.
 */
enum jh_event {
	JH_EV_STARTED = 1001,
	JH_EV_STOPPING = 1002,
	JH_EV_STOPPED = 1003,
	JH_EV_START_FAILED = 1005,
	JH_EV_DRAINING = 1006,
	JH_EV_REQUEST_REFUSED = 3002,
	JH_EV_STREAM_RESUMED = 3003,
	JH_EV_REQUEST_QUARANTINED = 3004,
	JH_EV_STREAM_LOST = 3005,
	JH_EV_ENGINE_LOST = 4001,
	JH_EV_OUTCOME_NOT_RECORDED = 4002,
	JH_EV_UNAUTHENTICATED = 4003,
	JH_EV_ENGINE_RESTARTED = 4004,
	JH_EV_ORDER_ENDED = 4005,
	JH_EV_CATALOGUE_STALE = 5001,
	JH_EV_CATALOGUE_CURRENT = 5002,
	JH_EV_REFUSALS_DROPPED = 8001,
};

/* Logs an event by GLib structured logging, with its number in JH_EVENT. */
void jh_event(enum jh_event ev, GLogLevelFlags level, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);

/*
 * Makes GLib write the log to stderr, in lines "time level number program:
 * message". Debug messages are written only if JH_DEBUG is in the environment.
 */
void jh_event_init(const char *program);

#endif
