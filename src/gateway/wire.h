#ifndef GATEWAY_WIRE_H
#define GATEWAY_WIRE_H

#include <stddef.h>
#include <stdint.h>

/* Little-endian integers of n bytes in a datagram; both advance *at. */
void jh_wire_put(unsigned char **at, uint64_t value, size_t n);
uint64_t jh_wire_take(const unsigned char **at, size_t n);

#endif
