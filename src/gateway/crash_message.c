#include <glib.h>

#include "gateway/crash_message.h"
#include "gateway/wire.h"

/* Fingerprint, reporter, number, remaining time, flags. */
#define RECORD_LEN (16 + 8 + 8 + 6 + 1)
#define MAX_RECORDS 64

#define FLAG_SOLE 1U
#define FLAG_CLEARED 2U
#define FLAG_HAD_OUTPUT 4U

/* How much earlier a crash may have been is in the upper bits of the flags. */
#define WIDTH_SHIFT 3
#define WIDTH_UNIT_USEC 128000ULL
#define MAX_WIDTH 31U

/* Rounded up; below the gap it makes no difference. */
static uint64_t
width_units(const struct jh_crash *c)
{
	if (c->width_usec < JH_SUSPECT_CRASH_GAP_USEC)
		return 0;
	return MIN(
	    (c->width_usec + WIDTH_UNIT_USEC - 1) / WIDTH_UNIT_USEC, MAX_WIDTH);
}

size_t
jh_crash_message_write(const struct jh_suspects *s, uint64_t now,
    uint64_t since, uint64_t turn, unsigned char *out, size_t max)
{
	struct jh_crash crash[MAX_RECORDS];
	size_t n = jh_suspects_export_latest(
	    s, now, since, turn, crash, MIN(max / RECORD_LEN, MAX_RECORDS));
	unsigned char *at = out;
	size_t i;

	for (i = 0; i < n; i++) {
		const struct jh_crash *c = &crash[i];
		jh_wire_put(&at, c->fingerprint.high, 8);
		jh_wire_put(&at, c->fingerprint.low, 8);
		jh_wire_put(&at, c->reporter, 8);
		jh_wire_put(&at, c->seq, 8);
		jh_wire_put(&at, c->remaining_usec, 6);
		jh_wire_put(&at,
		    (c->sole ? FLAG_SOLE : 0) |
			(c->cleared ? FLAG_CLEARED : 0) |
			(c->had_output ? FLAG_HAD_OUTPUT : 0) |
			width_units(c) << WIDTH_SHIFT,
		    1);
	}
	return (size_t)(at - out);
}

bool
jh_crash_message_read(
    struct jh_suspects *s, uint64_t now, const unsigned char *in, size_t len)
{
	struct jh_crash crash[MAX_RECORDS];
	const unsigned char *at = in;
	size_t n = len / RECORD_LEN, i;
	uint64_t flags;

	if (len % RECORD_LEN != 0 || n > MAX_RECORDS)
		return false;
	for (i = 0; i < n; i++) {
		struct jh_crash *c = &crash[i];
		c->fingerprint.high = jh_wire_take(&at, 8);
		c->fingerprint.low = jh_wire_take(&at, 8);
		c->reporter = jh_wire_take(&at, 8);
		c->seq = jh_wire_take(&at, 8);
		c->remaining_usec = jh_wire_take(&at, 6);
		flags = jh_wire_take(&at, 1);
		c->sole = (flags & FLAG_SOLE) != 0;
		c->cleared = (flags & FLAG_CLEARED) != 0;
		c->had_output = (flags & FLAG_HAD_OUTPUT) != 0;
		c->width_usec = (flags >> WIDTH_SHIFT) * WIDTH_UNIT_USEC;
	}
	jh_suspects_merge(s, now, crash, n);
	return true;
}
