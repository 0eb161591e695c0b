#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "queue_fixture.h"

struct jh_queue *
queue_with(unsigned int slots, size_t max_items)
{
	struct jh_queue_config config;

	jh_queue_config_init(&config);
	config.slots = slots;
	config.max_items = max_items;
	/* Large enough not to limit what the tests start. */
	config.prefill_window = 1000000;
	return jh_queue_create(&config);
}

struct jh_queue_item
item(uint64_t id, const char *org, enum jh_rank rank, uint64_t deadline)
{
	return (struct jh_queue_item){.id = id,
	    .org = jh_str_from(org),
	    .rank = rank,
	    .deadline = deadline,
	    .prefill = 100,
	    .decode = 100};
}

enum jh_queue_reason
offer(struct jh_queue *q, uint64_t now, struct jh_queue_item it)
{
	struct jh_queue_decision d;

	jh_queue_offer(q, now, &it, &d);
	return d.reason;
}

uint64_t
next(struct jh_queue *q, uint64_t now)
{
	struct jh_queue_item it;

	return jh_queue_next(q, now, &it) ? it.id : 0;
}

void
run_to_end(struct jh_queue *q, uint64_t now, uint64_t id)
{
	jh_queue_first_token(q, now, id);
	assert_true(jh_queue_finished(q, now, id, JH_QUEUE_END_DONE, 100));
}

uint64_t
start_all(struct jh_queue *q, uint64_t now)
{
	uint64_t id, n = 0;

	for (; (id = next(q, now)) != 0; n++)
		jh_queue_first_token(q, now, id);
	return n;
}
