#ifndef MEMBER_MIRRORS_H
#define MEMBER_MIRRORS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Decides from where a process reads the store's objects. In a small deployment
 * every process reads the store. In a large one some processes of each
 * availability zone, the mirrors, read it, and each of the others reads from
 * one mirror, so that the store is not read by all of them. All processes that
 * know the same names choose the same mirrors: those whose names have the
 * lowest hashes. Does no I/O; not thread safe.
 */
struct jh_mirrors;

/* Up to this number of processes in a zone, all read the store. */
#define JH_MIRRORS_MIN_ZONE 6

/* Least number of mirrors, so that one of them may fail. */
#define JH_MIRRORS_MIN 2

/*
 * Processes of a zone for each mirror. A list of 3,000 workers is 1.3 MB: 7
 * mirrors for 100 processes occupy a link of 30 Mbit/s for 2.4 s, and all 100
 * processes would for 35 s.
 */
#define JH_MIRRORS_GROUP_SIZE 16

/* self is the name of this process. */
struct jh_mirrors *jh_mirrors_create(const char *self);
void jh_mirrors_destroy(struct jh_mirrors *r);

/* Adds or removes another process of the own availability zone. */
void jh_mirrors_add(struct jh_mirrors *r, const char *name);
void jh_mirrors_remove(struct jh_mirrors *r, const char *name);

/* A mirror that did not serve is not used for this long. */
#define JH_MIRRORS_BACKOFF_USEC (3 * 1000000ULL)

/*
 * The mirror to read from, valid until the next change; NULL: the store. now is
 * a time in microseconds of a monotonic clock.
 */
const char *jh_mirrors_source(const struct jh_mirrors *r, uint64_t now);
/* Whether every process reads the store. */
bool jh_mirrors_unused(const struct jh_mirrors *r);
/* The mirror did not serve: another one is used, or the store. */
void jh_mirrors_source_failed(
    struct jh_mirrors *r, uint64_t now, const char *name);

#endif
