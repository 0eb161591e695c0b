#ifndef PLACE_MIX_H
#define PLACE_MIX_H

#include <stdint.h>

/* Rendezvous weight of worker id for key: the splitmix64 finalizer. */
static inline uint64_t
jh_place_mix(uint64_t key, uint64_t id)
{
	uint64_t x = key ^ (id * 0x9e3779b97f4a7c15ULL);

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

#endif
