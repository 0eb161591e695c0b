#ifndef WORK_JOB_PARTS_H
#define WORK_JOB_PARTS_H

#include <jacinthhill/prefix.h>
#include <jacinthhill/suspects.h>

/* Messages, and the request itself. */
#define JH_JOB_MAX_PARTS (JH_PREFIX_MAX_LEVELS + 1)

/*
 * Fingerprints of the messages of a prompt that other prompts may share, the
 * first JH_PREFIX_MAX_LEVELS of all but the last one, and of the request.
 */
struct jh_job_parts {
	struct jh_fingerprint part[JH_JOB_MAX_PARTS];
	size_t n;
};

/* Longest Jh-Parts value with its NUL: 16 digits and a comma each. */
#define JH_JOB_PARTS_SIZE (JH_JOB_MAX_PARTS * 17)

/* Writes the Jh-Parts header value; empty without parts. */
void jh_job_parts_format(
    const struct jh_job_parts *p, char out[JH_JOB_PARTS_SIZE]);

/* Parses a Jh-Parts header value; returns false if any part is malformed. */
bool jh_job_parts_parse(struct jh_job_parts *out, const char *text);

#endif
