#ifndef TEST_PROC_POISON_FIXTURE_H
#define TEST_PROC_POISON_FIXTURE_H

#include "harness.h"

/*
 * A call to a plain service that crashes each backend server that runs it, and
 * comes again through all entry daemons, beside sound calls.
 */

/* Starts daemons and services whose calls take this long, in milliseconds. */
struct fixture *proc_poison_create(const char *delay_msec);
/* Sends the call, of that class, and checks the crashes and sound calls. */
void proc_poison_check(struct fixture *w, const char *class_name);

#endif
