#ifndef WORK_JOB_HEADERS_H
#define WORK_JOB_HEADERS_H

#include <stdint.h>

#include "base/auth.h"
#include "http/body.h"
#include "http/server.h"

/*
 * HTTP headers in which an entry daemon describes a request to an agent. The
 * header Jh-Auth carries a MAC over them and the method, path and body.
 */
enum jh_job_field {
	JH_JOB_REQUEST_ID,
	JH_JOB_ORG,
	JH_JOB_CLASS,
	JH_JOB_RANK,
	JH_JOB_BUDGET_MS,
	JH_JOB_MAX_WAIT_MS,
	JH_JOB_PREFIX,
	JH_JOB_SALT,
	JH_JOB_SHARED_SALT,
	JH_JOB_DECODE,
	JH_JOB_WEIGHT,
	JH_JOB_RESUME,
	JH_JOB_CRASHES,
	JH_JOB_FINGERPRINT,
	JH_JOB_PARTS,
	JH_JOB_POSITION,
	JH_JOB_WIDTH,
	JH_JOB_CATALOG_REV,
	JH_JOB_ONCE,
	JH_JOB_FIRST_ATTEMPT,
	JH_JOB_KEY,
	JH_JOB_FIELDS
};

struct jh_job_headers;

struct jh_job_headers *jh_job_headers_create(void);
void jh_job_headers_destroy(struct jh_job_headers *w);

void jh_job_headers_set(
    struct jh_job_headers *w, enum jh_job_field f, const char *value);
void jh_job_headers_set_uint(
    struct jh_job_headers *w, enum jh_job_field f, uint64_t value);
/* Returns the value, owned by w, or NULL if the field is absent. */
const char *jh_job_headers_get(
    const struct jh_job_headers *w, enum jh_job_field f);
/* Returns fallback if the field is absent or no number. */
uint64_t jh_job_headers_get_uint(
    const struct jh_job_headers *w, enum jh_job_field f, uint64_t fallback);

/*
 * Returns the header lines with Jh-Auth, NULL-terminated; free them with
 * g_strfreev().
 */
char **jh_job_headers_format(const struct jh_job_headers *w,
    const struct jh_auth_key *key, const char *method, const char *path,
    struct jh_str body);
/* The same for a body that shares its head. */
char **jh_job_headers_format_shared(const struct jh_job_headers *w,
    const struct jh_auth_key *key, const char *method, const char *path,
    const struct jh_body *body);

/*
 * Parses the headers of a request. Returns NULL unless its MAC is valid and it
 * was sent recently.
 */
struct jh_job_headers *jh_job_headers_verify(
    const struct jh_http_req *req, const struct jh_auth_key *key);

#endif
