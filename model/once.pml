/*
 * At-most-once execution of one idempotency key (docs/design.md, section 4).
 *
 * Attempts with the key arrive at either of two agents. A later attempt may
 * start while an earlier one is still in progress, which covers clients that
 * time out, entry daemons that crash and connections that break. A write to the
 * store may be refused, applied with its response lost, lost, or applied late.
 * An agent may crash between any two steps and restarts with a new incarnation
 * and empty memory. The nonce of attempt i is i.
 *
 * PROP selects the asserted property:
 *   1  the service runs the key at most once
 *   2  the reply "not run" is sent only if neither this attempt nor an earlier
 *      one has run or runs later
 *   3  a response belongs to a call with the same body
 * The LTL property "live" says that every attempt gets a reply. An attempt that
 * waits for ever is also reported as an invalid end state.
 */
#ifndef PROP
#define PROP 0
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#ifndef MAX_CRASHES
#define MAX_CRASHES 1
#endif
#define MAX_LATE 1 /* late writes in one execution */
#define LAST (ATTEMPTS - 1)

#include "once_world.pml"

#define alive(i) (inc[agent_of[i]] == my_inc)
#define check_crash(i) \
	if :: !alive(i) -> goto broken :: else fi

/* Conditional write of a record of state started, with nonce i. */
inline put(i, version)
{
	if
	:: rec_version == version -> apply(i, my_inc); res = ok
	:: rec_version == version -> apply(i, my_inc); res = no_reply
	:: rec_version != version -> res = conflict
	:: res = no_reply
	:: !late && lates < MAX_LATE ->
		late = true;
		lates++;
		late_version = version;
		late_nonce = i;
		late_inc = my_inc;
		res = no_reply
	fi
}

/* Replies are kept only for properties that read them, to reduce states. */
inline answer(i, a)
{
#if PROP == 0 || PROP == 2
	if
	:: said[i] == no_answer ->
		said[i] = a;
		assert(PROP != 2 || a != not_run || !(has_run[0] ||
		    (i >= 1 && has_run[1]) || (i >= LAST && has_run[LAST])))
	:: else
	fi
#else
	skip
#endif
}

inline answer_body(i, b)
{
	assert(PROP != 3 || b == body[i]);
	answer(i, other)
}

#define here(j, i) (j < i && agent_of[j] == agent_of[i])
#define abandoned_here(j, i) (here(j, i) && mem[j] == abandoned)
#define kept_here(j, i) (here(j, i) && mem[j] != abandoned)
#define asked_here(j, i) (here(j, i) && asked[j])

/* Refuses an attempt whose call was not sent and will never be sent. */
inline refuse(i)
{
#ifdef MUTANT_NOT_RUN_WITHOUT_FIRST
	answer(i, not_run)
#else
#if defined(MUTANT_NOT_RUN_BY_MEMORY) || defined(MUTANT_NOT_RUN_UNLESS_ASKED)
	/*
	 * The mutants ignore earlier attempts at the other agent; the second one
	 * does so only unless that agent has queried this one.
	 */
	if
	:: first[i] || ((abandoned_here(0, i) || abandoned_here(1, i)) &&
	    !kept_here(0, i) && !kept_here(1, i) &&
	    !asked_here(0, i) && !asked_here(1, i)) ->
		answer(i, not_run)
	:: else -> answer(i, other)
	fi
#else
#ifdef MUTANT_NOT_RUN_BY_OWN_RECORD
	/* The record had nonce i, but an earlier attempt may take it over. */
	if
	:: first[i] || calls[i] == refused -> answer(i, not_run)
	:: else -> answer(i, other)
	fi
#else
	if
	:: first[i] -> answer(i, not_run)
	:: else -> answer(i, other)
	fi
#endif
#endif
#endif
}

proctype attempt(byte i)
{
	mtype:result res;
	byte my_inc, version, n, a, n_inc;
	bool retried; /* a write of the attempt had no response */

	/* A later attempt goes to either agent, with the same body. */
	atomic {
		if
		:: i == 0 -> first[i] = true
		:: i > 0 && begun[i - 1] ->
			/* The entry daemon tries the next agent. */
#ifdef MUTANT_FIRST_AFTER_BREAK
			first[i] = first[i - 1]
#else
			first[i] = first[i - 1] && said[i - 1] == not_run
#endif
		fi;
		if
		:: agent_of[i] = 0
		:: i > 0 -> agent_of[i] = 1 /* agents are symmetric */
		fi;
		body[i] = 1;
#if PROP == 3
		if
		:: i == LAST -> body[i] = 2 /* the client reuses the key */
		:: skip
		fi;
#endif
		my_inc = inc[agent_of[i]];
		begun[i] = true
	}

	atomic {
		check_crash(i);
#if PROP == 0 || PROP == 2
		if
		:: skip
		:: refuse(i); goto out /* full, or shutting down */
		fi
#endif
	}

#ifdef MUTANT_NO_RECORD
	goto execute;
#endif
create:
	atomic {
		check_crash(i);
		mem[i] = creating;
		put(i, 0);
		if
		:: res == ok -> goto execute
#ifdef MUTANT_LOST_ANSWER_IS_OK
		:: res == no_reply -> goto execute
#endif
		:: res == conflict
		:: res == no_reply
		fi
	}

look:
	atomic {
		check_crash(i);
		if
		:: goto give_up /* the store does not respond */
		:: rec == absent && !retried -> retried = true; goto create
		:: rec != absent && rec_body != body[i] ->
#ifdef MUTANT_NO_REQUEST_HASH
			skip
#else
			mem[i] = abandoned;
			answer(i, other);
			goto out
#endif
		:: rec != absent && rec_body == body[i]
		fi;
		if
		:: rec == done -> answer_body(i, rec_body); goto out
		:: rec == started && rec_nonce == i -> goto execute
		:: else
		fi;
		version = rec_version;
		n = rec_nonce;
		a = rec_agent;
		n_inc = rec_inc
	}

	/* Queries the agent in the record for the state of the nonce in it. */
ask:
	atomic {
		check_crash(i);
		if
		:: goto outcome_unknown /* the agent does not respond */
#ifndef MUTANT_NO_INCARNATION
		:: inc[a] != n_inc -> goto outcome_unknown
		:: inc[a] == n_inc
#else
		:: skip
#endif
		fi;
		if
		:: mem[n] == creating || mem[n] == running
		:: mem[n] == lost -> goto outcome_unknown
		:: mem[n] == finished -> answer_body(i, body[n]); goto out
		:: mem[n] == abandoned ->
#ifdef MUTANT_NOT_RUN_UNLESS_ASKED
			asked[n] = true;
#endif
			goto take_over
		:: mem[n] == none -> /* only another incarnation had it */
#ifdef MUTANT_NO_INCARNATION
			goto take_over
#else
			assert(false)
#endif
		fi
	}
	/* Waits while the other attempt is in progress. */
	atomic {
#ifdef MUTANT_WAIT_FOR_DEAD
		(!alive(i) || mem[n] == abandoned || mem[n] == lost ||
		    mem[n] == finished);
#else
		(!alive(i) || inc[a] != n_inc ||
		    (mem[n] != creating && mem[n] != running));
#endif
		goto ask
	}

take_over:
	atomic {
		check_crash(i);
#ifdef MUTANT_BLIND_TAKEOVER
		version = rec_version;
#endif
		put(i, version);
		if
		:: res == ok -> goto execute
		:: res == conflict -> goto look
		:: res == no_reply && !retried -> retried = true; goto look
		:: res == no_reply && retried -> goto give_up
		fi
	}

execute:
	atomic {
		check_crash(i);
		version = 0;
		n = 0;
		a = 0;
		n_inc = 0;
		retried = false;
		res = ok;
		mem[i] = running;
		calls[i] = sent
	}
	atomic {
		(!alive(i) || calls[i] != idle);
		check_crash(i);
		if
		:: calls[i] == served -> /* the response arrives */
			mem[i] = finished;
			calls[i] = idle;
			answer_body(i, body[i]);
			goto keep
		:: calls[i] != refused -> /* the connection breaks */
#ifdef MUTANT_RETRY_AFTER_LOST_ANSWER
			goto execute
#else
			mem[i] = lost;
			if
			:: calls[i] == served -> calls[i] = idle
			:: else
			fi;
			goto outcome_unknown
#endif
		:: calls[i] == refused -> goto give_up
		fi
	}

	/* Writes the response, with retries until the store has accepted it. */
keep:
	atomic {
		if
		:: alive(i) && rec == started && rec_nonce == i ->
			rec = done;
			rec_version++
		:: else
		fi;
		goto out
	}

give_up:
	atomic {
		check_crash(i);
#ifdef MUTANT_NO_PROMISE
		if
		:: said[i] == no_answer -> refuse(i); goto look
		:: else
		fi;
#endif
		mem[i] = abandoned;
		refuse(i);
		goto out
	}

outcome_unknown:
	atomic {
		check_crash(i);
		if
		:: mem[i] == creating -> mem[i] = abandoned
		:: else
		fi;
		answer(i, other);
		goto out
	}

broken:
	answer(i, other);
out:
	atomic { /* merges states that differ only in dead variables */
		my_inc = 0;
		version = 0;
		n = 0;
		a = 0;
		n_inc = 0;
		retried = false;
		res = ok
	}
}

init
{
	byte i;

	atomic {
		i = 0;
		do
		:: i < ATTEMPTS -> run attempt(i); i++
		:: else -> break
		od
	}
}

ltl live { <> (said[0] != no_answer && said[1] != no_answer &&
    said[LAST] != no_answer) }
