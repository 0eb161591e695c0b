#ifndef JACINTHHILL_COUNTERS_H
#define JACINTHHILL_COUNTERS_H

#include <stddef.h>
#include <stdint.h>

/* A fixed set of named 64-bit counters. Safe from any thread. */
struct jh_counters;

/* Creates n counters; counter i is called names[i]. names must outlive them. */
struct jh_counters *jh_counters_create(const char *const *names, size_t n);
void jh_counters_destroy(struct jh_counters *c);

void jh_counters_add(struct jh_counters *c, size_t i, uint64_t delta);
uint64_t jh_counters_get(const struct jh_counters *c, size_t i);
size_t jh_counters_len(const struct jh_counters *c);
const char *jh_counters_name(const struct jh_counters *c, size_t i);

#endif
