#ifndef BENCH_PARTS_WHEEL_H
#define BENCH_PARTS_WHEEL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* Slots of 1 ms. Events later than about 16 s go to the last slot. */
#define WHEEL_SLOTS 16384

/* One event of a model in virtual time. */
struct wheel_event {
	uint64_t at; /* microseconds */
	int kind;
	uint32_t target;
	uint32_t number;
};

/* A timing wheel: events in order of their millisecond, then of insertion. */
struct wheel {
	GArray *slots[WHEEL_SLOTS]; /* of struct wheel_event */
	uint64_t slot; /* current one, not wrapped */
	guint position; /* in the current slot */
};

void wheel_init(struct wheel *w, uint64_t now);
void wheel_clear(struct wheel *w);
void wheel_add(struct wheel *w, uint64_t now, struct wheel_event e);
/* Takes the next event before end; returns false when there is none. */
bool wheel_next(struct wheel *w, uint64_t end, struct wheel_event *out);

#endif
