/*
 * A backend server that drains and restarts (docs/design.md, section 4).
 *
 * An entry daemon sends requests to one server through its agent. The agent
 * gets SIGTERM, finishes its requests, exits and starts again with a new
 * incarnation. Responses and instance lists may be delayed for any time.
 * Incarnations are counted here to keep the model short; the rules only compare
 * them for equality, because the real ones are random. The engine may crash and
 * restart with an empty cache; its cache events are late or lost, and blocks of
 * a prefix may be stored outside of it and imported under their salt.
 *
 * PROP selects the processes and the asserted property:
 *   1  a request never uses cache entries of a crashed engine incarnation
 *   2  the agent's cache view has no entries of an engine incarnation other
 *      than the one that the agent knows
 *   3  the entry daemon sends nothing to an incarnation that has reported that
 *      it is leaving, and an agent accepts no request once it is leaving
 *   4  a leaving agent exits only when it has no requests left
 * The LTL property "drains" says that every request gets a response and the
 * leaving agent exits; "returns" says that the new incarnation is used.
 */
#ifndef PROP
#define PROP 0
#endif
#define REQUESTS 3
#define MAX_CRASHES 2

#if PROP == 1 || PROP == 2

byte engine = 1; /* its incarnation */
byte cached[4]; /* by salt: incarnation that made the entry; 0 is none */
byte kept[4]; /* the same for blocks stored outside of the engine */
byte link_inc; /* incarnation on the agent's connection; 0 is disconnected */
byte known = 1; /* incarnation that the agent knows */
byte view; /* incarnation of the entry in the agent's cache view; 0 is none */
chan events = [2] of { byte };

#ifdef MUTANT_NO_INCARNATION_IN_SALT
#define salt(incarnation) 0
#else
#define salt(incarnation) incarnation
#endif

proctype request()
{
	byte s, via, maker;

choose:
	atomic {
		link_inc != 0 ->
		via = link_inc;
		s = salt(known);
		assert(PROP != 2 || view == 0 || view == known)
	}
	/* When an engine crashes, its connection and the requests on it end. */
	atomic {
		if
#ifdef MUTANT_SALT_OF_OLD_CONNECTION
		:: true
#else
		:: link_inc == via && via == engine
		:: link_inc != via || via != engine -> goto choose
#endif
		fi;
		if
		:: cached[s] == 0 && kept[s] != 0 -> cached[s] = kept[s]
		:: true
		fi;
		maker = cached[s];
		assert(PROP != 1 || maker == 0 || maker == engine);
		if
		:: maker == 0 -> cached[s] = engine
		:: else
		fi;
		if
		:: nfull(events) -> events!engine
		:: true /* the event is lost */
		fi;
		if
		:: kept[s] = cached[s]
		:: true
		fi;
		via = 0;
		s = 0;
		maker = 0
	}
}

active proctype agent()
{
	byte e;

end:
	do
	:: atomic {
		link_inc == 0 ->
		link_inc = engine;
		if
		:: known != engine ->
			known = engine;
#ifndef MUTANT_KEEP_VIEW
			view = 0
#endif
		:: else
		fi
	}
	:: atomic {
		events?e ->
		if
#ifdef MUTANT_NO_INCARNATION_IN_EVENT
		:: true -> view = e
#else
		:: e == known -> view = e
		:: e != known
#endif
		fi;
		e = 0
	}
	od
}

active proctype failures()
{
	byte n;

end:
	do
	:: atomic {
		n < MAX_CRASHES ->
		n++;
		engine++;
		cached[0] = 0;
		cached[1] = 0;
		cached[2] = 0;
		cached[3] = 0;
		link_inc = 0
	}
	:: atomic { cached[1] != 0 -> cached[1] = 0 } /* evicted */
	:: atomic { cached[2] != 0 -> cached[2] = 0 }
	od
}

init { atomic { run request(); run request(); run request() } }

#else

mtype:state = { waiting, sent, queued, running, answering, answered }

byte agent_inc; /* 0, then 1 after the restart */
bool leaving, exited;
byte work; /* number of requests queued or running at the agent */
mtype:state state[REQUESTS] = waiting;

/* The server as the entry daemon knows it. */
byte view_inc; /* incarnation at the other end of its connection */
bool left[2]; /* by incarnation: it is leaving */
bool heard[2]; /* the incarnation has reported it; only for assertions */

/* A response has the incarnation and the leaving flag of when it was sent. */
proctype request(byte i)
{
	byte a_inc;
	bool a_leaving;

	atomic {
		if
		:: left[view_inc] /* the request goes to another server */ ->
			state[i] = answered;
			goto out
		:: !left[view_inc] ->
			assert(PROP != 3 || view_inc != agent_inc ||
			    !heard[agent_inc]);
			state[i] = sent
		fi
	}
	atomic {
		a_inc = agent_inc;
		if
#ifdef MUTANT_NO_REFUSAL
		:: true ->
#else
		:: !leaving ->
#endif
			assert(PROP != 3 || !leaving);
			work++;
			state[i] = queued
#ifndef MUTANT_NO_REFUSAL
		:: leaving -> a_leaving = true; goto reply
#endif
		fi
	}
	/* Interrupted only if the agent exits while it has requests. */
	atomic {
		if
#ifdef MUTANT_QUEUE_STOPS
		:: !leaving || agent_inc != a_inc -> state[i] = running
#else
		:: true -> state[i] = running
#endif
		fi
	}
	atomic {
		a_leaving = leaving && agent_inc == a_inc;
		if
		:: agent_inc == a_inc -> work--
		:: else
		fi
	}
reply:
	state[i] = answering;
	atomic {
		if
		:: a_leaving ->
			left[a_inc] = true;
			heard[a_inc] = true
#ifdef MUTANT_ANSWER_CLEARS_LEAVING
		:: !a_leaving -> left[a_inc] = false
#else
		:: !a_leaving
#endif
		fi;
		state[i] = answered
	}
out:
	atomic { a_inc = 0; a_leaving = false }
}

active proctype agent()
{
	/* SIGTERM */
	leaving = true;
	atomic {
#ifndef MUTANT_EXIT_WITH_WORK
		work == 0 ->
#endif
		assert(PROP != 4 || work == 0);
		work = 0;
		agent_inc = 1;
		leaving = false;
		exited = true
	}
}

/* A list entry may be of any age and says that the server is running. */
active proctype list()
{
	byte n;

end:
	do
	:: atomic {
		n < 2 ->
		n++;
#ifdef MUTANT_LIST_CLEARS_LEAVING
		left[view_inc] = false
#endif
	}
	od
}

/* Probes report a new incarnation; with it the server is used again. */
active proctype probe()
{
end:
	do
	:: atomic {
		view_inc != agent_inc ->
		view_inc = agent_inc;
#ifdef MUTANT_LEFT_BY_ADDRESS
		left[1] = left[0]
#endif
	}
	od
}

init { atomic { run request(0); run request(1); run request(2) } }

ltl drains { <> (exited && state[0] == answered && state[1] == answered &&
    state[2] == answered) }

ltl returns { <> (exited && view_inc == agent_inc && !left[view_inc]) }

#endif
