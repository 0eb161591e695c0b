#ifndef HTTP_LOOP_H
#define HTTP_LOOP_H

#include <curl/curl.h>

/*
 * Waits on the sockets and timers of a curl multi handle with epoll. libcurl's
 * own curl_multi_poll() and curl_multi_perform() visit every transfer at each
 * wake-up, which costs more than the tokens themselves with many streams.
 */
struct jh_http_loop;

struct jh_http_loop *jh_http_loop_create(CURLM *multi);
/* Call it after curl_multi_cleanup(). */
void jh_http_loop_destroy(struct jh_http_loop *l);

/* Waits for sockets, timers or a wake-up and serves what is ready. */
void jh_http_loop_run(struct jh_http_loop *l);
/* Ends the wait that is in progress or the next one; from any thread. */
void jh_http_loop_wake(struct jh_http_loop *l);

#endif
