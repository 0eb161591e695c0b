/*
 * A backend server that leaves and restarts (docs/design.md, section 4).
 *
 * An entry daemon sends requests to one server through its agent. The agent is
 * told to stop, finishes what it has, exits and starts again with a new
 * incarnation. Answers and instance lists travel for any time. Incarnations
 * count up here for brevity; the rules only compare them for equality, as the
 * real ones are random. The engine may crash and come back empty; its cache
 * events are late or lost, and blocks of a prefix may be kept outside and
 * imported under their salt.
 *
 * PROP selects the processes and the asserted property:
 *   1  a request never uses cache entries made by a dead engine incarnation
 *   2  the agent's view holds no entries of an engine incarnation other than
 *      the one it knows
 *   3  the entry daemon sends nothing to an incarnation that it has heard is
 *      leaving, and the agent starts nothing once it is leaving
 *   4  a leaving agent exits only when its work is finished
 * The LTL property "drains" says that every request is answered and the
 * leaving agent exits; "returns" says that the new incarnation is used again.
 */
#ifndef PROP
#define PROP 0
#endif
#define REQUESTS 3
#define MAX_CRASHES 2

#if PROP == 1 || PROP == 2

byte engine = 1; /* its incarnation */
byte cached[4]; /* by salt: incarnation that made the entry, 0 is none */
byte kept[4]; /* the same for blocks kept outside the engine */
byte link_inc; /* incarnation reported on the agent's connection; 0 is down */
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
	/* A connection ends with its engine, and its requests with it. */
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
byte work; /* requests queued or running at the agent */
mtype:state state[REQUESTS] = waiting;

/* The entry daemon's view of the server. */
byte view_inc; /* incarnation of its connection */
bool left[2]; /* by incarnation */
bool heard[2]; /* that the incarnation is leaving; only checked */

/* Answers: incarnation and the leaving flag at the time of answering. */
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
	/* Cut only if the agent exits while it has work. */
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

/* A list entry may be from any time before, and says that the server is up. */
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

/* Probes tell a new incarnation, by which the server is used again. */
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
