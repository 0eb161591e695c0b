/*
 * Catalogue versions (docs/design.md, section 4).
 *
 * Two operators edit one catalogue entry by conditional update; the second
 * edit is a delete, which leaves a tombstone. A write may be refused, applied
 * with its response lost, lost, or applied late. Daemons 0 and 1 watch the
 * store and pull from each other; daemon 2 pulls from both. Replies may be
 * delayed for any time. Daemons restart with empty memory, a watch may lose
 * events once, and daemon 0 may lose its connection to the store for good.
 *
 * PROP selects the asserted property:
 *   1  an accepted write replaces the version that its operator had read; the
 *      edit of an operator who is told "ok" is in the history, that of one who
 *      is told "conflict" is not and never will be; the two operators are not
 *      both told "conflict"
 *   2  the version in force at a daemon never decreases within an incarnation
 *   3  when no step is possible, the last version is in force at every daemon;
 *      with a search for cycles, which must find none, this means that an
 *      accepted edit is eventually in force everywhere
 */
#ifndef PROP
#define PROP 0
#endif
#ifndef MAX_RESTARTS
#define MAX_RESTARTS 2
#endif
#ifndef OPERATORS
#define OPERATORS 2
#endif
#define DELETE 1 /* the operator whose edit is a delete */

mtype:verdict = { undecided, ok, conflict, unclear }
mtype:result = { written, refused, no_reply }

byte version = 1; /* in the store */
byte author = 2; /* operator of the version in the store; 2 is none */
byte deleted; /* version of the tombstone */

bool late;
byte late_base, late_author;

bool applied[2]; /* by operator */
mtype:verdict told[2] = undecided;

byte in_force[3];
byte newest[3]; /* newest version in force in this incarnation */
byte reply[6]; /* in transit to a daemon; 0 is none */
byte watched[2]; /* version up to which the watch has delivered */
bool cut; /* daemon 0 cannot reach the store */

inline apply(op, read)
{
	assert(PROP != 1 || version == read);
	assert(PROP != 1 || told[op] != conflict);
	version++;
	author = op;
	applied[op] = true;
	if
	:: op == DELETE -> deleted = version
	:: else
	fi
}

#ifdef MUTANT_BLIND_WRITE
#define matches(v) true
#else
#define matches(v) (version == (v))
#endif

inline put(op)
{
	if
	:: matches(base) -> apply(op, base); res = written
	:: matches(base) -> apply(op, base); res = no_reply
	:: !matches(base) -> res = refused
	:: res = no_reply
	:: !late && !retried ->
		late = true;
		late_base = base;
		late_author = op;
		res = no_reply
	fi
}

inline tell(op, v)
{
	told[op] = v;
	assert(PROP != 1 || v != ok || applied[op]);
	assert(PROP != 1 || v != conflict || !applied[op]);
	assert(PROP != 1 || told[0] != conflict || told[1] != conflict)
}

proctype operator(byte op)
{
	mtype:result res;
	byte base;
	bool retried;

	base = version;
#if PROP != 1
	/* Only property 1 depends on the replies to operators. */
	atomic {
		if
		:: matches(base) -> apply(op, base)
		:: else
		fi;
		goto out
	}
#endif
write:
	atomic {
		put(op);
		if
		:: res == written -> tell(op, ok); goto out
		:: res == refused && !retried -> tell(op, conflict); goto out
		:: res == refused && retried /* the first write may have been applied */
#ifdef MUTANT_LOST_ANSWER_IS_FAILURE
		:: res == no_reply -> tell(op, conflict); goto out
#else
		:: res == no_reply
#endif
		fi
	}
	/* Reads the entry after a lost response. */
	atomic {
		if
		:: tell(op, unclear); goto out /* the store does not respond */
		:: version == base && !retried -> retried = true; goto write
		:: version == base && retried -> tell(op, unclear); goto out
		:: version > base && author == op -> tell(op, ok)
		:: version == base + 1 && author != op -> tell(op, conflict)
		:: version > base + 1 && author != op ->
#ifdef MUTANT_OVERTAKEN_IS_CONFLICT
			tell(op, conflict)
#else
			tell(op, unclear)
#endif
		fi
	}
out:
	atomic { base = 0; retried = false; res = written }
}

active proctype store()
{
end:
	do
	:: atomic {
		late ->
		late = false;
		if
		:: matches(late_base) -> apply(late_author, late_base)
		:: else
		fi;
		late_base = 0;
		late_author = 0
	}
	od
}

/* Puts version v, which daemon d has received, in force. */
inline merge(d, v)
{
	if
#ifdef MUTANT_NO_VERSION_MERGE
	:: true ->
#else
	:: v > in_force[d] ->
#endif
		assert(PROP != 2 || v >= newest[d]);
		newest[d] = v;
#ifdef MUTANT_NO_TOMBSTONE
		in_force[d] = (v == deleted -> 0 : v)
#else
		in_force[d] = v
#endif
	:: v <= in_force[d]
	fi
}

/* A new watch lists first, so it starts with all existing versions. */
proctype watcher(byte d)
{
end:
	do
	:: atomic {
		reply[d] == 0 && watched[d] < version && !(d == 0 && cut) ->
		reply[d] = version;
		watched[d] = version
	}
	:: atomic { reply[d] != 0 -> merge(d, reply[d]); reply[d] = 0 }
	od
}

/* Daemon d pulls versions from daemon p that are newer than its own. */
proctype puller(byte d; byte p; byte slot)
{
end:
	do
	:: atomic {
		reply[slot] == 0 && in_force[p] > in_force[d] ->
		reply[slot] = in_force[p]
	}
	:: atomic { reply[slot] != 0 -> merge(d, reply[slot]); reply[slot] = 0 }
	od
}

/* A reply to the earlier incarnation is lost. */
inline restart(d)
{
	in_force[d] = 0;
	newest[d] = 0;
	reply[d + 2] = 0;
	reply[(d == 2 -> 5 : d)] = 0
}

/* Missed events are read again from the store; the mutant skips them. */
inline break_watch(d)
{
#ifdef MUTANT_WATCH_FROM_NOW
	watched[d] = version
#else
	watched[d] = 0
#endif
}

active proctype failures()
{
	byte n;
	bool broken;

end:
	do
	:: atomic { n < MAX_RESTARTS -> n++; restart(0); break_watch(0) }
	:: atomic { n < MAX_RESTARTS -> n++; restart(1); break_watch(1) }
	:: atomic { n < MAX_RESTARTS -> n++; restart(2) }
	:: atomic { !broken -> broken = true; break_watch(1) }
	:: atomic { PROP != 2 && !cut -> cut = true }
	:: PROP == 3 -> break
	od
}

init
{
	atomic {
		run operator(0);
#if OPERATORS == 2
		run operator(1);
#endif
#if PROP != 1
		run watcher(0);
		run watcher(1);
		/* Replies to daemon d are in slots d and d + 2, to 2 in 4 and 5. */
		run puller(2, 0, 4);
		run puller(2, 1, 5);
		run puller(1, 0, 3);
#ifndef MUTANT_WATCHER_NEVER_PULLS
		run puller(0, 1, 2)
#endif
#endif
	}
}

#if PROP == 3
/* timeout: no step is possible, all failures and replies are over. */
active proctype at_rest()
{
	timeout ->
	assert(version > 1 && in_force[0] == version &&
	    in_force[1] == version && in_force[2] == version)
}
#endif
