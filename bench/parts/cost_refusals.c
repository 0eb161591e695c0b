#include <stdio.h>

#include <glib.h>

#include "cost.h"
#include "refuse/hour.h"

#define CLASSES 5
#define MAX_PAIRS 10000
#define MAX_BYTES 900000
#define SEEN_PEERS 23 /* of an availability zone: 340 / 15 */

static void
encode(void *arg, uint64_t i)
{
	size_t len;

	g_free(jh_refusal_hour_encode(arg, &len));
}

/* Returns the number of counts that found no room. */
static unsigned int
fill(struct jh_refusal_hour *h, unsigned int pairs, unsigned int minutes)
{
	char owner[32], class[32], peer[32];
	unsigned int p, m, lost = 0;

	for (m = 0; m < minutes; m++)
		for (p = 0; p < pairs; p++) {
			snprintf(owner, sizeof(owner), "org-%05u", p / CLASSES);
			snprintf(class, sizeof(class), "class-%u", p % CLASSES);
			lost += !jh_refusal_hour_add(h, MAX_PAIRS, MAX_BYTES,
			    jh_str_from(owner), jh_str_from(class), m,
			    100 + p % 900);
		}
	for (p = 0; p < SEEN_PEERS; p++) {
		snprintf(peer, sizeof(peer), "entry-%05u", p);
		jh_refusal_hour_add_peer(
		    h, SEEN_PEERS, MAX_BYTES, jh_str_from(peer), p + 1, 0);
	}
	return lost;
}

static void
measure(unsigned int pairs, unsigned int minutes)
{
	size_t len, before = cost_heap();
	struct jh_refusal_hour *h =
	    jh_refusal_hour_create(500000, "entry-00001", 7);
	unsigned int lost = fill(h, pairs, minutes);
	char label[40];
	size_t heap = cost_heap() - before;

	g_free(jh_refusal_hour_encode(h, &len));
	g_snprintf(label, sizeof(label), "encode, %u min, record", minutes);
	cost_print("refusals", pairs, label,
	    cost_measure(COST_THREAD, encode, h, 20), (double)len);
	cost_print("refusals", pairs, "  heap", (struct cost){0}, (double)heap);
	if (lost != 0)
		printf("refusals: %u of %u cells over the bound of %d bytes\n",
		    lost, pairs * minutes, MAX_BYTES);
	jh_refusal_hour_free(h);
}

void
cost_refusals(uint64_t seed)
{
	static const unsigned int pairs[] = {100, 1300, 6500};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(pairs); i++) {
		measure(pairs[i], 1);
		measure(pairs[i], 60);
	}
}
