#ifndef JACINTHHILL_STR_H
#define JACINTHHILL_STR_H

#include <stdbool.h>
#include <stddef.h>

/*
 * A reference to a string of len bytes, which are owned elsewhere and need not
 * end in NUL.
 */
struct jh_str {
	const char *ptr;
	size_t len;
};

/* For a string literal. */
#define JH_STR(lit) ((struct jh_str){(lit), sizeof(lit) - 1})

/* Refers to a NUL-terminated string; NULL gives the empty string. */
struct jh_str jh_str_from(const char *s);

/* Compares the bytes; two empty strings are equal. */
bool jh_str_eq(struct jh_str a, struct jh_str b);

/* Returns a NUL-terminated copy; free it with g_free(). */
char *jh_str_dup(struct jh_str s);

#endif
