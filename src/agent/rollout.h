#ifndef AGENT_ROLLOUT_H
#define AGENT_ROLLOUT_H

#include <jansson.h>

#include <jacinthhill/members.h>

#include "agent/agent.h"

/*
 * Loads the weights that the catalogue names for the engine's model, by the
 * rules of include/jacinthhill/rollout.h. Only agents of engines have it.
 */
struct agent_rollout;

struct agent_rollout *agent_rollout_create(struct agent *a);
void agent_rollout_destroy(struct agent_rollout *r);

/* Call it every few milliseconds from the control thread. */
void agent_rollout_tick(struct agent_rollout *r);
/* Takes a new instance list, which is copied as far as it is needed. */
void agent_rollout_set_list(
    struct agent_rollout *r, const struct jh_instance *const *list, size_t n);

/* Whether no slot or reservation in the store has to be released. */
bool agent_rollout_is_idle(struct agent_rollout *r);

/* Returns the state as a new reference. */
json_t *agent_rollout_dump(struct agent_rollout *r);

#endif
