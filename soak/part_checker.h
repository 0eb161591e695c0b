#ifndef SOAK_PART_CHECKER_H
#define SOAK_PART_CHECKER_H

#include <stdbool.h>
#include <stdint.h>

#include "soak/checker.h"

/*
 * Checks the rules on a prompt part that crashes each worker that begins to
 * write an answer on it: BUDGET bounds the requests with the part that still
 * reach workers, LOST the sound requests beside them that are not served, of
 * all and of those with any one part in their prompts. It is a part of the
 * checker; times are microseconds.
 */
struct soak_part_checker;

/* A router is in touch when it was undisturbed for connected_after. */
struct soak_part_checker *soak_part_checker_create(uint64_t connected_after);
void soak_part_checker_destroy(struct soak_part_checker *pc);

/* A client sent a request with the part. */
void soak_part_checker_sent(
    struct soak_part_checker *pc, const struct soak_request *r);
/* A worker began to run one that a router in touch sent. */
void soak_part_checker_ran(struct soak_part_checker *pc, uint64_t now);
/* The part crashed a worker. */
void soak_part_checker_crashed(struct soak_part_checker *pc, uint64_t now);
/*
 * A sound request to a router that was in touch all the while has ended. began:
 * the client received the beginning of a successful answer; calm: no fault
 * other than the part disturbed anything meanwhile. Borrows *r until
 * soak_part_checker_finish().
 */
void soak_part_checker_ended(struct soak_part_checker *pc,
    const struct soak_request *r, bool began, bool calm);

/* Reports the violations to the checker at the end of the run. */
void soak_part_checker_finish(
    const struct soak_part_checker *pc, uint64_t now, struct soak_checker *ck);

#endif
