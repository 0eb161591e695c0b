/*
 * Division of a quota by members in touch (docs/design/quotas.md).
 *
 * Three members; a cut separates member 0 from the others, begins and ends at
 * any time, and datagrams are lost. A member counts itself and those heard
 * within SILENT ticks, by the weight (demand) that it used for each before the
 * silence. Weights are sampled while all are in touch and used one sample later.
 * Samples are further apart than SILENT, so that none of the beginning of a cut
 * is used; the model takes none then.
 *
 * PROP selects the asserted property:
 *   1  once a cut has lasted SILENT ticks, the parts of the two sides add up to
 *      at most the quota
 *   2  without a cut, a member that hears all has the whole quota
 */
#ifndef PROP
#define PROP 0
#endif
#define N 3
#define SILENT 2 /* ticks */
#define END_OF_TIME 7
#define MAX_CHANGES 2 /* of a member's demand */

byte now, changes;
bool cut;
byte cut_ticks; /* since it began, at most SILENT */
byte demand[N]; /* as it is now */
byte age[9]; /* of the last datagram of b at a, at N * a + b */
byte recent[9], older[9]; /* samples of demand, by member and peer */

#define side(i) (i == 0)
#define joined(a, b) (!cut || side(a) == side(b))
#define touches(a, b) (a == b || age[N * a + b] < SILENT)
#define all_touch(a) (touches(a, 0) && touches(a, 1) && touches(a, 2))

/* Sum of the weights that a counts, and of all. */
#ifdef MUTANT_SILENT_COUNTED
#define counts(a, b) 1
#else
#define counts(a, b) touches(a, b)
#endif
#ifdef MUTANT_FRESH_WEIGHTS
#define weight(a, b) (joined(a, b) -> demand[b] : older[N * a + b])
#else
#define weight(a, b) older[N * a + b]
#endif
#define term(a, b) (counts(a, b) -> weight(a, b) : 0)
#define here(a) (term(a, 0) + term(a, 1) + term(a, 2))
#define whole(a) (weight(a, 0) + weight(a, 1) + weight(a, 2))

/* here(a) / whole(a) + here(b) / whole(b) <= 1 */
#define fits(a, b) \
	(here(a) * whole(b) + here(b) * whole(a) <= whole(a) * whole(b))

inline hear(a, b)
{
	if
	:: joined(a, b) -> age[N * a + b] = 0
	:: age[N * a + b] < SILENT -> age[N * a + b]++ /* lost */
	:: !joined(a, b) && age[N * a + b] == SILENT
	fi
}

/* In the cut, the other side's demand is not known. */
inline sample(a)
{
	if
	:: all_touch(a) && !cut ->
		older[N * a] = recent[N * a];
		older[N * a + 1] = recent[N * a + 1];
		older[N * a + 2] = recent[N * a + 2];
		recent[N * a] = demand[0];
		recent[N * a + 1] = demand[1];
		recent[N * a + 2] = demand[2]
	:: else
	fi
}

inline tick()
{
	now++;
	hear(0, 1); hear(0, 2); hear(1, 0); hear(1, 2); hear(2, 0); hear(2, 1);
	if
	:: !cut && all_touch(0) && all_touch(1) && all_touch(2) ->
		sample(0); sample(1); sample(2)
	:: else
	fi;
	if
	:: cut && cut_ticks < SILENT -> cut_ticks++
	:: else
	fi
}

active proctype fleet()
{
	atomic {
		demand[0] = 1; demand[1] = 1; demand[2] = 1;
		recent[0] = 1; recent[1] = 1; recent[2] = 1;
		recent[3] = 1; recent[4] = 1; recent[5] = 1;
		recent[6] = 1; recent[7] = 1; recent[8] = 1;
		older[0] = 1; older[1] = 1; older[2] = 1;
		older[3] = 1; older[4] = 1; older[5] = 1;
		older[6] = 1; older[7] = 1; older[8] = 1
	}
end:
	do
	:: atomic {
		now < END_OF_TIME ->
		tick();
		if
		:: PROP == 1 && cut && cut_ticks == SILENT ->
			assert(fits(0, 1) && fits(0, 2))
		:: PROP == 2 && !cut && all_touch(0) ->
			assert(here(0) == whole(0))
		:: else
		fi
	}
	:: atomic { !cut && now < END_OF_TIME -> cut = true; cut_ticks = 0 }
	:: atomic { cut -> cut = false }
	:: atomic {
		changes < MAX_CHANGES ->
		changes++;
		if
		:: demand[0] = 3
		:: demand[1] = 3
		:: demand[2] = 0
		fi
	}
	od
}
