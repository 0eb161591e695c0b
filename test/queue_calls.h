#ifndef TEST_QUEUE_CALLS_H
#define TEST_QUEUE_CALLS_H

#include <jacinthhill/clock.h>
#include <jacinthhill/queue.h>

struct jh_queue *queue_with(unsigned int slots, size_t max_items);
/* An item of 100 prompt and 100 answer tokens. */
struct jh_queue_item item(
    uint64_t id, const char *org, enum jh_rank rank, uint64_t deadline);
enum jh_queue_reason offer(
    struct jh_queue *q, uint64_t now, struct jh_queue_item it);
/* Gives the id of the next item, or 0. */
uint64_t next(struct jh_queue *q, uint64_t now);
/* Gives the item its first token and ends it. */
void run_to_end(struct jh_queue *q, uint64_t now, uint64_t id);
/* Starts what may start, with first tokens at once; gives the number. */
uint64_t fill(struct jh_queue *q, uint64_t now);

#endif
