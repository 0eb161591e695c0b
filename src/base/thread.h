#ifndef BASE_THREAD_H
#define BASE_THREAD_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/* Initializes a condition variable whose deadlines are jh_now() times. */
void jh_cond_init(pthread_cond_t *cond);

/* Returns false if the deadline, in microseconds of jh_now(), has passed. */
bool jh_cond_wait_until(
    pthread_cond_t *cond, pthread_mutex_t *lock, uint64_t deadline);

/* Starts a thread with a name of at most 15 bytes; aborts on failure. */
pthread_t jh_thread_create(const char *name, void *(*fn)(void *), void *arg);

#endif
