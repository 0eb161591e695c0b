/*
 * A lease in the store with fencing (docs/design.md, section 4).
 *
 * Two instances acquire the lease by conditional update; the version of the
 * object is the fencing token. A write may be refused, applied with its
 * response lost, lost, or applied late. A holder may pause between any two
 * steps, so it may send an order after its lease has expired, and orders may be
 * delayed for any time. One instance may restart with a new incarnation. The
 * engine ignores tokens; the agent in front of it keeps the highest token and
 * may restart too.
 * The clocks of the instances differ by at most MARGIN.
 *
 * PROP selects the asserted property:
 *   1  no order takes effect after an order with a newer token
 *   2  a token is used by only one incarnation of one instance
 *   3  two instances never believe at the same time that they hold the lease
 */
#ifndef PROP
#define PROP 0
#endif
#define END_OF_TIME 5
#define LENGTH 2 /* duration of a lease, in ticks */
#ifdef MUTANT_NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif
#define MAX_LATE 1
#define MAX_VERSION 3
#define ORDERS 2 /* orders of one instance */

mtype:result = { ok, conflict, no_reply }

byte now;
byte lag[2];
#define clock(h) (now - lag[h])

/*
 * Properties 1 and 2 hold without clocks: in their checks a lease may expire at
 * any time, and its holder may learn of that at any later time, or never.
 */
#if PROP == 0 || PROP == 3
#define lapses(h) (clock(h) + LENGTH)
#define is_current(h, end) (clock(h) + MARGIN < end)
#define has_lapsed(h) (clock(h) >= deadline)
#else
#define lapses(h) 0
#define is_current(h, end) true
#define has_lapsed(h) true
#endif

/* The lease object. */
byte version, holder, holder_inc, deadline;

bool late;
byte late_version, late_holder, late_inc, late_deadline, lates;

/* The lease as each instance knows it; token 0 means none. */
byte inc[2], token[2], until[2];
#define holds(h) (token[h] != 0 && is_current(h, until[h]))

/* Orders in transit to the agent. */
byte order[2];

byte highest; /* highest token that the agent has seen */
bool fenced; /* the agent has read the token from the store */
byte effective; /* token of the last order that took effect */

byte user[MAX_VERSION + 1]; /* 1 + 2 * instance + incarnation */

inline apply(h, h_inc, h_until)
{
	version++;
	holder = h;
	holder_inc = h_inc;
	deadline = h_until
}

inline put(h, expected)
{
	if
	:: version == expected -> apply(h, my_inc, want); res = ok
	:: version == expected -> apply(h, my_inc, want); res = no_reply
	:: version != expected -> res = conflict
	:: res = no_reply
	:: !late && lates < MAX_LATE ->
		late = true;
		lates++;
		late_version = expected;
		late_holder = h;
		late_inc = my_inc;
		late_deadline = want;
		res = no_reply
	fi
}

/* Starts again without a lease when the instance has restarted. */
#define check_restart(h) \
	if :: inc[h] != my_inc -> goto start :: else fi

proctype instance(byte h)
{
	mtype:result res;
	byte my_inc, expected, want, sent;

start:
	atomic {
		my_inc = inc[h];
		expected = 0;
		want = 0
	}

look:
	atomic {
		check_restart(h);
		if
		:: holder == h &&
#ifndef MUTANT_NO_HOLDER_INCARNATION
		    holder_inc == my_inc &&
#endif
		    version != 0 && is_current(h, deadline) ->
			token[h] = version;
			until[h] = deadline;
			goto act
		:: (version == 0 || has_lapsed(h)) && version < MAX_VERSION ->
			expected = version
		:: now == END_OF_TIME || version == MAX_VERSION -> goto out
		fi
	}

	atomic {
		check_restart(h);
		want = lapses(h);
#ifdef MUTANT_BLIND_ACQUIRE
		expected = version;
		if
		:: version == MAX_VERSION -> goto out
		:: else
		fi;
#endif
		put(h, expected);
		if
		:: res == ok -> token[h] = version; until[h] = want
#ifdef MUTANT_LOST_ANSWER_IS_OK
		:: res == no_reply -> token[h] = expected + 1; until[h] = want
#else
		:: res == no_reply -> goto look
#endif
		:: res == conflict -> goto look
		fi
	}

act:
	atomic {
		check_restart(h);
		expected = 0;
		want = 0;
		res = ok;
		if
		:: holds(h) -> assert(PROP != 3 || !holds(1 - h))
		:: PROP != 3 || !holds(h) ->
			token[h] = 0;
			until[h] = 0;
			goto look
		fi;
#if PROP == 3
		goto act
#endif
	}

	/* The holder may pause here, between the check and the order. */
	atomic {
		check_restart(h);
		if
		:: sent < ORDERS && order[h] == 0 ->
			sent++;
#if PROP == 0 || PROP == 1
			order[h] = token[h];
#endif
#if PROP == 2
			assert(user[token[h]] == 0 ||
			    user[token[h]] == 1 + 2 * h + my_inc);
			user[token[h]] = 1 + 2 * h + my_inc;
#endif
			goto act
		:: sent < ORDERS && order[h] != 0 -> goto act
		:: sent == ORDERS
		fi
	}
out:
	atomic { /* merges states that differ only in dead variables */
		my_inc = 0;
		expected = 0;
		want = 0;
		sent = 0;
		res = ok;
		if
		:: PROP != 3 -> token[h] = 0
		:: else
		fi
	}
}

inline deliver(h)
{
	atomic {
		order[h] != 0 && fenced ->
		if
		:: order[h] >= highest ->
			highest = order[h];
			assert(PROP != 1 || order[h] >= effective);
			effective = order[h]
#ifdef MUTANT_NO_FENCING
		:: order[h] < highest ->
			assert(PROP != 1 || order[h] >= effective);
			effective = order[h]
#endif
		:: else /* refused: the agent has seen a newer token */
		fi;
		order[h] = 0
	}
}

active proctype agent()
{
end:
	do
	:: deliver(0)
	:: deliver(1)
	:: atomic { !fenced && version != 0 ->
		fenced = true;
#ifndef MUTANT_NO_TOKEN_READ
		highest = version
#endif
	}
	od
}

active proctype store()
{
end:
	do
	:: atomic {
		late ->
		late = false;
		if
		:: version == late_version && version < MAX_VERSION ->
			apply(late_holder, late_inc, late_deadline)
		:: else
		fi;
		late_version = 0;
		late_holder = 0;
		late_inc = 0;
		late_deadline = 0
	}
	od
}

active proctype time()
{
end:
	do
	:: now < END_OF_TIME && (PROP == 0 || PROP == 3) -> now++
	od
}

/* One restart of instance 0 and one of the agent. */
active proctype restarts()
{
	bool agent_done;

end:
	do
	:: atomic {
		inc[0] == 0 ->
		inc[0] = 1;
		token[0] = 0;
		until[0] = 0
	}
	:: atomic {
		(PROP == 0 || PROP == 1) && !agent_done && fenced ->
		agent_done = true;
		fenced = false;
		highest = 0
	}
	od
}

init
{
	atomic {
		now = 1;
#if PROP == 0 || PROP == 3
		if
		:: lag[0] = 1
		:: lag[1] = 1
		:: skip
		fi;
#endif
		run instance(0);
		run instance(1)
	}
}
