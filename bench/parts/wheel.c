#include <string.h>

#include <jacinthhill/clock.h>

#include "wheel.h"

#define SLOT_USEC JH_USEC_PER_MSEC

void
wheel_init(struct wheel *w, uint64_t now)
{
	unsigned int i;

	memset(w, 0, sizeof(*w));
	for (i = 0; i < WHEEL_SLOTS; i++)
		w->slots[i] =
		    g_array_new(FALSE, FALSE, sizeof(struct wheel_event));
	w->slot = now / SLOT_USEC;
}

void
wheel_clear(struct wheel *w)
{
	unsigned int i;

	for (i = 0; i < WHEEL_SLOTS; i++)
		g_array_free(w->slots[i], TRUE);
}

void
wheel_add(struct wheel *w, uint64_t now, struct wheel_event e)
{
	e.at = MAX(e.at, now);
	e.at = MIN(e.at, now + (WHEEL_SLOTS - 2) * SLOT_USEC);
	g_array_append_val(w->slots[e.at / SLOT_USEC % WHEEL_SLOTS], e);
}

bool
wheel_next(struct wheel *w, uint64_t end, struct wheel_event *out)
{
	GArray *slot;

	for (; w->slot * SLOT_USEC < end; w->slot++) {
		slot = w->slots[w->slot % WHEEL_SLOTS];
		if (w->position < slot->len) {
			*out = g_array_index(
			    slot, struct wheel_event, w->position++);
			return true;
		}
		g_array_set_size(slot, 0);
		w->position = 0;
	}
	return false;
}
