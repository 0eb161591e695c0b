#include "gateway/wire.h"

void
jh_wire_put(unsigned char **at, uint64_t value, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		*(*at)++ = (unsigned char)(value >> (8 * i));
}

uint64_t
jh_wire_take(const unsigned char **at, size_t n)
{
	uint64_t value = 0;
	size_t i;

	for (i = 0; i < n; i++)
		value |= (uint64_t) * (*at)++ << (8 * i);
	return value;
}
