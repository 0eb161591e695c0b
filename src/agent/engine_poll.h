#ifndef AGENT_ENGINE_POLL_H
#define AGENT_ENGINE_POLL_H

#include "agent/agent.h"

/*
 * Follows the engine's report of itself and its cache events. One poll runs at
 * a time; call it from the control thread.
 */
void agent_poll_engine(struct agent *a);

#endif
