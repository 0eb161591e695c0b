#ifndef AGENT_ENGINE_POLL_H
#define AGENT_ENGINE_POLL_H

#include "agent/agent.h"

/*
 * Starts a poll of the engine's state and of its cache events, without waiting
 * for the replies. Call it from the control thread.
 */
void agent_poll_engine(struct agent *a);

#endif
