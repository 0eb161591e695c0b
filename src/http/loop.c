#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "http/loop.h"

/* Longest wait for events. */
#define WAIT_MS 1000

#define EVENTS_PER_WAIT 128

struct jh_http_loop {
	CURLM *multi;
	int epoll;
	int wake;
	uint64_t timer; /* jh_now() time of a timeout, or JH_NEVER */
};

/*
 * libcurl keeps a pointer for each socket: non-NULL shows that the socket is in
 * the epoll set.
 */
static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *known)
{
	struct jh_http_loop *l = arg;
	struct epoll_event ev = {.data.fd = fd};

	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(l->epoll, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if ((what & CURL_POLL_IN) != 0)
		ev.events |= EPOLLIN;
	if ((what & CURL_POLL_OUT) != 0)
		ev.events |= EPOLLOUT;
	epoll_ctl(
	    l->epoll, known == NULL ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd, &ev);
	curl_multi_assign(l->multi, fd, l);
	return 0;
}

static int
on_timer(CURLM *multi, long timeout_ms, void *arg)
{
	struct jh_http_loop *l = arg;

	l->timer = timeout_ms < 0
		       ? JH_NEVER
		       : jh_now() + (uint64_t)timeout_ms * JH_USEC_PER_MSEC;
	return 0;
}

struct jh_http_loop *
jh_http_loop_create(CURLM *multi)
{
	struct jh_http_loop *l = g_new0(struct jh_http_loop, 1);
	struct epoll_event ev = {.events = EPOLLIN};

	l->multi = multi;
	l->timer = JH_NEVER;
	l->epoll = epoll_create1(EPOLL_CLOEXEC);
	l->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	g_assert(l->epoll >= 0 && l->wake >= 0);
	ev.data.fd = l->wake;
	epoll_ctl(l->epoll, EPOLL_CTL_ADD, l->wake, &ev);
	curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, l);
	curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(multi, CURLMOPT_TIMERDATA, l);
	return l;
}

void
jh_http_loop_destroy(struct jh_http_loop *l)
{
	close(l->epoll);
	close(l->wake);
	g_free(l);
}

static int
wait_ms(const struct jh_http_loop *l, uint64_t until)
{
	uint64_t now = jh_now(), ms;

	until = MIN(until, l->timer);
	if (until == JH_NEVER)
		return WAIT_MS;
	if (until <= now)
		return 0;
	ms = (until - now + JH_USEC_PER_MSEC - 1) / JH_USEC_PER_MSEC;
	return (int)MIN(ms, WAIT_MS);
}

static int
curl_events(uint32_t events)
{
	int mask = 0;

	if ((events & EPOLLIN) != 0)
		mask |= CURL_CSELECT_IN;
	if ((events & EPOLLOUT) != 0)
		mask |= CURL_CSELECT_OUT;
	if ((events & (EPOLLERR | EPOLLHUP)) != 0)
		mask |= CURL_CSELECT_ERR;
	return mask;
}

static void
clear_wake(const struct jh_http_loop *l)
{
	uint64_t n;

	/* This fails only when there was no wake-up. */
	if (read(l->wake, &n, sizeof(n)) < 0)
		return;
}

void
jh_http_loop_run(struct jh_http_loop *l, uint64_t until)
{
	struct epoll_event ev[EVENTS_PER_WAIT];
	int i, n, running;

	n = epoll_wait(l->epoll, ev, EVENTS_PER_WAIT, wait_ms(l, until));
	for (i = 0; i < n; i++) {
		if (ev[i].data.fd == l->wake)
			clear_wake(l);
		else
			curl_multi_socket_action(l->multi, ev[i].data.fd,
			    curl_events(ev[i].events), &running);
	}
	if (l->timer <= jh_now()) {
		l->timer = JH_NEVER;
		curl_multi_socket_action(
		    l->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	}
}

void
jh_http_loop_wake(struct jh_http_loop *l)
{
	uint64_t one = 1;

	/* This fails only when the counter is full: a wake-up is pending. */
	if (write(l->wake, &one, sizeof(one)) < 0)
		return;
}
