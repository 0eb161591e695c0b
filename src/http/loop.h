#ifndef HTTP_LOOP_H
#define HTTP_LOOP_H

#include <stdint.h>

#include <curl/curl.h>

/*
 * An event loop for a curl multi handle on epoll. libcurl's own
 * curl_multi_poll() and curl_multi_perform() visit every transfer at each
 * wake-up, which with many streams costs more than processing the tokens.
 */
struct jh_http_loop;

struct jh_http_loop *jh_http_loop_create(CURLM *multi);
/* Call it after curl_multi_cleanup(). */
void jh_http_loop_destroy(struct jh_http_loop *l);

/*
 * Waits for sockets, the timer, a wake-up or the jh_now() time until, and
 * processes what is ready.
 */
void jh_http_loop_run(struct jh_http_loop *l, uint64_t until);
/* Ends the present wait or the next one. Any thread may call it. */
void jh_http_loop_wake(struct jh_http_loop *l);

#endif
