#ifndef TEST_QUEUE_FIXTURE_H
#define TEST_QUEUE_FIXTURE_H

#include <jacinthhill/clock.h>
#include <jacinthhill/queue.h>

/* A queue with this number of slots and queued items, otherwise defaults. */
struct jh_queue *queue_with(unsigned int slots, size_t max_items);
/* An item of 100 prompt tokens and 100 output tokens. */
struct jh_queue_item item(
    uint64_t id, const char *org, enum jh_rank rank, uint64_t deadline);
/* Offers the item; returns the reason of the decision. */
enum jh_queue_reason offer(
    struct jh_queue *q, uint64_t now, struct jh_queue_item it);
/* Starts the next item; returns its id, or 0 if there is none. */
uint64_t next(struct jh_queue *q, uint64_t now);
/* Reports the first token and the end of a running item. */
void run_to_end(struct jh_queue *q, uint64_t now, uint64_t id);
/*
 * Starts all items that may start, each with its first token; returns how many.
 */
uint64_t start_all(struct jh_queue *q, uint64_t now);

#endif
