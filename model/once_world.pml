/*
 * Environment of the attempts in once.pml: the record in the store, late
 * writes, the agents' memory and crashes, and the service that runs the calls.
 */
mtype:record = { absent, started, done }
mtype:memory = { none, creating, running, abandoned, lost, finished }
mtype:call = { idle, sent, refused, served }
mtype:answer = { no_answer, not_run, other }
mtype:result = { ok, conflict, no_reply }

/* The record in the store; its version is 0 while it is absent. */
mtype:record rec = absent;
byte rec_version, rec_nonce, rec_agent, rec_inc, rec_body;

/* A write that the store applies after the writer has timed out. */
bool late;
byte late_version, late_nonce, late_inc, lates;

byte inc[2];
mtype:memory mem[ATTEMPTS] = none;
byte agent_of[ATTEMPTS];
byte body[ATTEMPTS];
bool begun[ATTEMPTS], first[ATTEMPTS];
bool asked[ATTEMPTS]; /* queried for; written by a mutant only */

mtype:call calls[ATTEMPTS] = idle;
mtype:answer said[ATTEMPTS] = no_answer;
bool has_run[ATTEMPTS];

inline apply(n, i_inc)
{
	rec = started;
	rec_version++;
	rec_nonce = n;
	rec_agent = agent_of[n];
	rec_inc = i_inc;
	rec_body = body[n]
}

inline serve(i)
{
	atomic {
		calls[i] == sent ->
		if
		:: calls[i] = refused
		:: calls[i] = served;
			assert(PROP != 1 ||
			    !(has_run[0] || has_run[1] || has_run[LAST]));
			has_run[(PROP == 2 -> i : 0)] = true;
			assert(PROP != 2 || !(said[LAST] == not_run ||
			    (i <= 1 && said[1] == not_run) ||
			    (i == 0 && said[0] == not_run)))
		fi
	}
}

active proctype service()
{
end:
	do
	:: serve(0)
	:: serve(1)
	:: serve(LAST)
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
		:: rec_version == late_version ->
			apply(late_nonce, late_inc)
		:: else
		fi;
		late_version = 0;
		late_nonce = 0;
		late_inc = 0
	}
	od
}

inline forget(i, a)
{
	if
	:: begun[i] && agent_of[i] == a -> mem[i] = none
	:: else
	fi
}

/* Whether agent a has had an attempt; without one a crash has no effect. */
#define serves(a) ((begun[0] && agent_of[0] == a) || \
	(begun[1] && agent_of[1] == a) || (begun[LAST] && agent_of[LAST] == a))

inline crash(a)
{
	inc[a]++;
	forget(0, a);
	forget(1, a);
	forget(LAST, a)
}

active proctype crashes()
{
	byte n;

end:
	do
	:: atomic { n < MAX_CRASHES && serves(0) -> n++; crash(0) }
	:: atomic { n < MAX_CRASHES && serves(1) -> n++; crash(1) }
	od
}
