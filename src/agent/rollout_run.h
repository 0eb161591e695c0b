#ifndef AGENT_ROLLOUT_RUN_H
#define AGENT_ROLLOUT_RUN_H

#include <jansson.h>

#include <jacinthhill/members.h>

#include "agent/agent.h"

/*
 * Loads the weights that the catalogue names, by the rules of
 * include/jacinthhill/rollout.h; for agents of engines.
 */
struct agent_rollout;

struct agent_rollout *agent_rollout_create(struct agent *a);
void agent_rollout_destroy(struct agent_rollout *r);

/* Call it every few milliseconds from the control thread. */
void agent_rollout_tick(struct agent_rollout *r);
void agent_rollout_set_list(
    struct agent_rollout *r, const struct jh_instance *const *list, size_t n);

/* Whether the store holds nothing that has to be given back. */
bool agent_rollout_is_idle(struct agent_rollout *r);

json_t *agent_rollout_dump(struct agent_rollout *r);

#endif
