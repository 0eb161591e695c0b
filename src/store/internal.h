#ifndef STORE_INTERNAL_H
#define STORE_INTERNAL_H

#include "store/store.h"

/* Whether jh_store_destroy() has begun; there are no retries from then on. */
bool store_is_stopping(const struct jh_store *s);

#endif
