#ifndef AGENT_WIDTHS_H
#define AGENT_WIDTHS_H

#include <stdint.h>

/*
 * The greatest placement width (number of workers that a prefix is spread over)
 * that entry daemons have recently sent for each hot prefix. Responses carry it
 * to entry daemons that have just started. The owner serialises calls.
 */
struct agent_widths;

struct agent_widths *agent_widths_create(void);
void agent_widths_destroy(struct agent_widths *w);

/*
 * Records the width that came with a request and returns the greatest recent
 * width of the prefix. Times are in microseconds.
 */
uint32_t agent_widths_record(
    struct agent_widths *w, uint64_t now, uint64_t prefix, uint32_t width);

#endif
