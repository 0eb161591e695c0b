#ifndef WORK_WORK_H
#define WORK_WORK_H

#include <stdint.h>

#include "base/auth.h"
#include "http/body.h"
#include "http/server.h"

/*
 * HTTP headers in which an entry daemon describes a request to an agent. The
 * header Jh-Auth carries a MAC over them and the method, path and body.
 */
enum jh_work_field {
	JH_WORK_REQUEST_ID,
	JH_WORK_ORG,
	JH_WORK_CLASS,
	JH_WORK_RANK,
	JH_WORK_BUDGET_MS,
	JH_WORK_MAX_WAIT_MS,
	JH_WORK_PREFIX,
	JH_WORK_SALT,
	JH_WORK_SHARED_SALT,
	JH_WORK_DECODE,
	JH_WORK_WEIGHT,
	JH_WORK_RESUME,
	JH_WORK_CRASHES,
	JH_WORK_FINGERPRINT,
	JH_WORK_WIDTH,
	JH_WORK_CATALOG_REV,
	JH_WORK_ONCE,
	JH_WORK_FIRST_ATTEMPT,
	JH_WORK_KEY,
	JH_WORK_FIELDS
};

struct jh_work;

struct jh_work *jh_work_create(void);
void jh_work_destroy(struct jh_work *w);

void jh_work_set(struct jh_work *w, enum jh_work_field f, const char *value);
void jh_work_set_uint(struct jh_work *w, enum jh_work_field f, uint64_t value);
/* Returns the value, owned by w, or NULL if the field is absent. */
const char *jh_work_get(const struct jh_work *w, enum jh_work_field f);
/* Returns fallback if the field is absent or no number. */
uint64_t jh_work_get_uint(
    const struct jh_work *w, enum jh_work_field f, uint64_t fallback);

/*
 * Returns the header lines with Jh-Auth, NULL-terminated; free them with
 * g_strfreev().
 */
char **jh_work_headers(const struct jh_work *w, const struct jh_auth_key *key,
    const char *method, const char *path, struct jh_str body);
/* The same for a body that shares its head. */
char **jh_work_headers_shared(const struct jh_work *w,
    const struct jh_auth_key *key, const char *method, const char *path,
    const struct jh_body *body);

/*
 * Parses the headers of a request. Returns NULL unless its MAC is valid and it
 * was sent recently.
 */
struct jh_work *jh_work_from_request(
    const struct jh_http_req *req, const struct jh_auth_key *key);

#endif
