#ifndef FEED_CRASH_LOG_H
#define FEED_CRASH_LOG_H

#include <jacinthhill/suspects.h>

#include "rpc/control.h"

/*
 * A daemon's table of suspect requests (jacinthhill/suspects.h) under a lock,
 * and its exchange with peers: every catalogue pull carries the latest crashes,
 * in both directions. The functions do what those of that header do, under the
 * lock and at the present time.
 */
struct crash_log;

struct crash_log *crash_log_create(void);
void crash_log_destroy(struct crash_log *l);

void crash_log_crashed(struct crash_log *l, uint64_t reporter, uint64_t seq,
    const struct jh_fingerprint *batch, size_t n, size_t n_begun);
void crash_log_hint(
    struct crash_log *l, struct jh_fingerprint print, unsigned int crashes);
/*
 * Notes one request in a crash that an agent has told of and will report
 * itself.
 */
void crash_log_note(struct crash_log *l, uint64_t reporter, uint64_t seq,
    struct jh_fingerprint print, bool sole);
void crash_log_succeeded(struct crash_log *l, struct jh_fingerprint print);
void crash_log_progressed(struct crash_log *l, struct jh_fingerprint print);
enum jh_suspect_state crash_log_state(
    struct crash_log *l, struct jh_fingerprint print);
enum jh_suspect_decision crash_log_may_run(struct crash_log *l,
    struct jh_fingerprint print, const struct jh_fingerprint *running,
    size_t n);

void crash_log_parts_crashed(struct crash_log *l, uint64_t reporter,
    uint64_t seq, const struct jh_fingerprint *part, size_t n);
/*
 * The same for a plain service, whose response begins when it is complete.
 * sent: when the request was sent to the backend server.
 */
void crash_log_call_crashed(struct crash_log *l, uint64_t sent,
    uint64_t reporter, uint64_t seq, const struct jh_fingerprint *part,
    size_t n);
/* A backend server is found to have ended, whatever it was running. */
void crash_log_backend_ended(
    struct crash_log *l, uint64_t reporter, uint64_t seq);
void crash_log_parts_succeeded(
    struct crash_log *l, const struct jh_fingerprint *part, size_t n);
/*
 * Whether a request with these parts that was in a crash may be retried. Unlike
 * a refusal this disregards earlier output: a retry of what crashes by itself
 * breaks the streams of one more engine, which are given up by their third.
 */
bool crash_log_allows_retry(
    struct crash_log *l, const struct jh_fingerprint *part, size_t n);
/* Whether a request with these parts is refused. */
bool crash_log_refuses_parts(
    struct crash_log *l, const struct jh_fingerprint *part, size_t n);

/* Returns the crashes for a message; free the list with g_free(). */
void crash_log_export(
    struct crash_log *l, u_int *n, struct jh_wire_crash **list);
void crash_log_merge(
    struct crash_log *l, const struct jh_wire_crash *list, u_int n);

void crash_log_expire(struct crash_log *l);
size_t crash_log_len(struct crash_log *l);

#endif
