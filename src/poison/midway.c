#include "poison/table.h"

void
jh_suspects_midway_crashed(struct jh_suspects *s, uint64_t now, uint64_t alive,
    uint64_t reporter, uint64_t seq, struct jh_fingerprint request)
{
	struct jh_fingerprint f = jh_fingerprint_midway(request);
	struct jh_suspect_crash c =
	    jh_suspects_new_crash(s, now, alive, reporter, seq);

	c.had_output = jh_suspects_had_output(s, now, f);
	jh_suspects_add_crash(s, now, f, &c);
}

void
jh_suspects_completed(
    struct jh_suspects *s, uint64_t now, struct jh_fingerprint request)
{
	struct jh_fingerprint f = jh_fingerprint_midway(request);

	jh_suspects_note_output(s, now, f);
	jh_suspects_clear(s, f);
}

unsigned int
jh_suspects_midway_crashes(const struct jh_suspects *s, uint64_t now,
    struct jh_fingerprint request, uint64_t *deadline)
{
	const struct jh_suspect_entry *e =
	    jh_suspects_find(s, jh_fingerprint_midway(request));

	if (e != NULL)
		return jh_suspect_entry_part_evidence(e, now, deadline);
	if (deadline != NULL)
		*deadline = 0;
	return 0;
}
