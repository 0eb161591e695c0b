#ifndef BENCH_PARTS_COST_CATALOG_H
#define BENCH_PARTS_COST_CATALOG_H

#include <jacinthhill/catalog.h>

/* Classes of each organisation; their JSON is as long as a usual entry. */
#define COST_CLASSES 5

void cost_catalog_put(struct jh_catalog *c, unsigned int org,
    unsigned int class, uint64_t version);
/* Creates a catalogue of so many organisations, at revision orgs * 6. */
struct jh_catalog *cost_catalog_fill(unsigned int orgs);

#endif
