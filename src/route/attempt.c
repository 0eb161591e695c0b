#include <string.h>

#include "route/attempt.h"

void
jh_attempts_init(struct jh_attempts *a, bool repeatable, unsigned int run_limit,
    uint64_t deadline)
{
	memset(a, 0, sizeof(*a));
	a->repeatable = repeatable;
	a->max_runs = run_limit > 0 ? run_limit : 1;
	a->deadline = deadline;
}

void
jh_attempts_sent(struct jh_attempts *a)
{
	a->sent++;
}

bool
jh_silence_aborts(const struct jh_silence *s)
{
	if (!s->may_retry)
		return false;
	return s->worker_responded_at <= s->quiet_since ||
	       s->checks >= JH_SILENCE_MAX_CHECKS;
}

enum jh_attempt_next
jh_attempts_give_up(const struct jh_attempts *a)
{
	return a->may_have_run ? JH_NEXT_FAIL : JH_NEXT_REFUSE;
}

enum jh_attempt_next
jh_attempts_ended(
    struct jh_attempts *a, uint64_t now, enum jh_attempt_result result)
{
	bool in_time = now + JH_ATTEMPT_MIN_USEC < a->deadline;

	switch (result) {
	case JH_ATTEMPT_RESPONDED:
		a->may_have_run = true;
		return JH_NEXT_RELAY;
	case JH_ATTEMPT_NOT_SENT:
		a->not_sent++;
		a->not_run++;
		if (in_time && a->not_sent <= JH_ATTEMPTS_MAX_NOT_SENT &&
		    a->not_run - a->not_sent < JH_ATTEMPTS_MAX_NOT_RUN)
			return JH_NEXT_RETRY;
		return jh_attempts_give_up(a);
	case JH_ATTEMPT_DECLINED:
		a->not_run++;
		if (in_time &&
		    a->not_run - a->not_sent <= JH_ATTEMPTS_MAX_NOT_RUN)
			return JH_NEXT_RETRY;
		return jh_attempts_give_up(a);
	case JH_ATTEMPT_BROKEN:
	case JH_ATTEMPT_FAILED:
		a->may_have_run = true;
		if (a->repeatable && in_time &&
		    a->sent - a->not_run < a->max_runs)
			return JH_NEXT_RETRY;
		break;
	}
	return result == JH_ATTEMPT_FAILED ? JH_NEXT_RELAY : JH_NEXT_FAIL;
}
