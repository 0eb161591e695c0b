#ifndef AGENT_WIDTHS_H
#define AGENT_WIDTHS_H

#include <stdint.h>

/*
 * The widest placement width that entry daemons have lately used for each hot
 * prefix, so that answers can tell it to daemons that have just started. The
 * owner serializes calls.
 */
struct agent_widths;

struct agent_widths *agent_widths_create(void);
void agent_widths_destroy(struct agent_widths *w);

/* Notes a width that came with a request; returns the widest of late. */
uint32_t agent_widths_note(
    struct agent_widths *w, uint64_t now, uint64_t prefix, uint32_t width);

#endif
