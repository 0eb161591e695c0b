#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include <jacinthhill/relay.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
on_token(void *arg, uint64_t position, struct jh_str payload)
{
	uint64_t *last_position = arg;

	/* Positions are consecutive, whatever the engine sends. */
	g_assert(position == *last_position + 1);
	*last_position = position;
}

static void
on_end(void *arg)
{
}

static const struct jh_relay_ops ops = {.token = on_token, .end = on_end};

/* An engine's event stream in chunks; the first byte is their length less 1. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	size_t offset = 1, step, n;
	uint64_t last_position = 0;
	struct jh_relay *r;

	if (size == 0)
		return 0;
	step = (size_t)data[0] + 1;
	r = jh_relay_create(0, &ops, &last_position);
	for (; offset < size; offset += n) {
		n = MIN(step, size - offset);
		if (jh_relay_feed(
			r, (struct jh_str){(const char *)data + offset, n}) !=
		    JH_RELAY_OK)
			jh_relay_restart(r);
	}
	jh_relay_destroy(r);
	return 0;
}
