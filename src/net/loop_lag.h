#ifndef NET_LOOP_LAG_H
#define NET_LOOP_LAG_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

/*
 * Measures how long the callbacks of one iteration of an event loop take. While
 * they run, no timer expires and no socket is read.
 */
struct jh_loop_lag;

/*
 * Calls blocked(), unless NULL, after each iteration that took longer than
 * min_usec without the time spent waiting for events. To be created before the
 * loop runs.
 */
struct jh_loop_lag *jh_loop_lag_create(uv_loop_t *loop, uint64_t min_usec,
    void (*blocked)(void *arg, uint64_t usec), void *arg);
/*
 * The earliest jh_now() time at which what a callback of the current iteration
 * reads may have arrived: now if the loop was waiting for it, else the time of
 * the poll before.
 */
uint64_t jh_loop_lag_arrival(const struct jh_loop_lag *l);
/*
 * Whether the loop has run since that time without a gap longer than min_usec,
 * in a callback or by a pause of the process. Without an active timer, a pause
 * while the loop waits for events is not noticed.
 */
bool jh_loop_lag_ran_since(const struct jh_loop_lag *l, uint64_t since);
/*
 * The jh_boot_now() time at which the last gap longer than min_usec ended, and
 * how long it was, of the loop, the process or the host; 0: there was none.
 */
uint64_t jh_loop_lag_resumed_at(struct jh_loop_lag *l, uint64_t *paused_for);
/*
 * The jh_now() time at which the poll before the current iteration's returned,
 * now if there was none. What a callback reads arrived later, also if the whole
 * process was paused while it waited.
 */
uint64_t jh_loop_lag_last_poll(const struct jh_loop_lag *l);
void jh_loop_lag_destroy(struct jh_loop_lag *l);

#endif
