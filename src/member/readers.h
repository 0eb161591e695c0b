#ifndef MEMBER_READERS_H
#define MEMBER_READERS_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Who reads the store itself and who reads from a neighbour. In a small
 * deployment every process reads the store. In a large one a part of the
 * processes of each availability zone does, and the others read from one of
 * these, so that the traffic to the store does not grow with their number.
 * Every process chooses alike from the same names. Pure.
 */
struct jh_readers;

/*
 * Processes of a zone for each one that reads the store, and the number up to
 * which all do. A list of 3,000 workers is 1.3 MB: 7 readers of 100 processes
 * take 2.4 s of a link of 30 Mbit/s, and all of them would take 35 s.
 */
#define JH_READERS_EACH 16

struct jh_readers *jh_readers_create(const char *self);
void jh_readers_destroy(struct jh_readers *r);

/* Another process of the own availability zone. */
void jh_readers_add(struct jh_readers *r, const char *name);
void jh_readers_remove(struct jh_readers *r, const char *name);

/* The process to read from, valid until the next change; NULL: the store. */
const char *jh_readers_source(const struct jh_readers *r);
/* Whether every process reads the store. */
bool jh_readers_all(const struct jh_readers *r);
/* The source did not serve: another one takes its place. */
void jh_readers_failed(struct jh_readers *r);

#endif
