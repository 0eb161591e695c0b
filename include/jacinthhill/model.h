#ifndef JACINTHHILL_MODEL_H
#define JACINTHHILL_MODEL_H

#include <jacinthhill/record.h>

/* A model, from the object models/<name>. Immutable and reference counted. */
struct jh_model {
	int refs; /* atomic */
	char *name;
	char *weights; /* version that workers must serve */
	char **aliases; /* other names that requests may use */
};

/* Parses JSON; returns NULL and sets err (JH_RECORD_ERROR) on any fault. */
struct jh_model *jh_model_parse(struct jh_str text, GError **err);
struct jh_model *jh_model_ref(struct jh_model *m);
void jh_model_unref(struct jh_model *m);

#endif
