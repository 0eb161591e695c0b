#ifndef BENCH_PARTS_COST_CATALOG_H
#define BENCH_PARTS_COST_CATALOG_H

#include <jacinthhill/catalog.h>

/* Classes of each organisation, all of the length that operators write. */
#define COST_CLASSES 5

void cost_catalog_put(struct jh_catalog *c, unsigned int org,
    unsigned int class, uint64_t version);
/* A catalogue of that many organisations at revision orgs * 6. */
struct jh_catalog *cost_catalog_fill(unsigned int orgs);

#endif
