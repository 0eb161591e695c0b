#ifndef NET_MEMORY_BUDGET_H
#define NET_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A bound on the memory that a process holds for its peers. What is held for a
 * connection is counted in its account. When the budget is used up, accounts
 * are evicted: first those that hold most for longest without progress. Part of
 * the budget is reserved for accounts that hold little. No input or output, and
 * no clock: times are jh_now() times. An account or a budget may be NULL, which
 * counts nothing and has no bound.
 */
struct jh_memory_budget;
struct jh_memory_account;

/* An account that holds more than so many bytes cannot use the reserve. */
#define JH_MEMORY_ORDINARY_BYTES ((size_t)16 * 1024)

/* Part of the budget that is the reserve: one of so many. */
#define JH_MEMORY_RESERVE_PART 8

struct jh_memory_eviction {
	const char *what; /* what the account was held for; static */
	size_t held; /* bytes */
	uint64_t idle_usec; /* since its last progress */
};

/*
 * Releases what the account is held for, or retires the account. If not all of
 * it is released, a second call must do it. Returns what that was.
 */
typedef const char *jh_memory_evict_fn(void *arg);

/* Reports each eviction. */
typedef void jh_memory_observe_fn(
    void *arg, const struct jh_memory_eviction *eviction);

/*
 * The budget, in bytes, of a process that may use so many bytes of memory: what
 * it needs for itself, and a part for the allocator, are left out.
 */
size_t jh_memory_budget_share(size_t process_bytes);

/* limit: bytes, 0: none. observe may be NULL. */
struct jh_memory_budget *jh_memory_budget_create(
    size_t limit, jh_memory_observe_fn *observe, void *arg);
/* All its accounts must have been destroyed. */
void jh_memory_budget_destroy(struct jh_memory_budget *b);
void jh_memory_budget_set_limit(struct jh_memory_budget *b, size_t limit);
/* Bytes in all accounts. */
size_t jh_memory_budget_held(const struct jh_memory_budget *b);

/*
 * Evicts accounts until the rest is within the budget. Returns false if the
 * turn is at current (may be NULL): it is reported and retired, and its caller
 * must release what it is held for.
 */
bool jh_memory_budget_enforce(struct jh_memory_budget *b, uint64_t now,
    const struct jh_memory_account *current);

/* Returns NULL if b is NULL. */
struct jh_memory_account *jh_memory_account_create(struct jh_memory_budget *b,
    uint64_t now, jh_memory_evict_fn *evict, void *arg);
void jh_memory_account_destroy(struct jh_memory_account *a);
/* The account stays in use; another owner evicts it from now on. */
void jh_memory_account_set_owner(
    struct jh_memory_account *a, jh_memory_evict_fn *evict, void *arg);
/* What is held is about to be freed: it counts no more and is not evicted. */
void jh_memory_account_retire(struct jh_memory_account *a);

/*
 * Changes the bytes of one of the account's uses from *counted to bytes, and
 * sets *counted.
 */
void jh_memory_account_update(
    struct jh_memory_account *a, size_t *counted, size_t bytes);
/* The peer has sent or accepted something. */
void jh_memory_account_progress(struct jh_memory_account *a, uint64_t now);
size_t jh_memory_account_held(const struct jh_memory_account *a);
/* Bytes allocated for a GByteArray or GString of this length: powers of 2. */
size_t jh_memory_allocated(size_t len);
/* The budget of the account; NULL if there is none. */
struct jh_memory_budget *jh_memory_account_budget(
    const struct jh_memory_account *a);

#endif
