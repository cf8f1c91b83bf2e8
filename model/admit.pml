/*
 * Admission under shares that move.
 *
 * lease.pml shows that a share is never counted by two holders. Here a share
 * moves from holder to nobody and on to any holder at any time: more than the
 * leases allow, so what holds here holds under them. It leaves room for
 * larger limits, more crashes and the gap between the check and the write.
 */
#define PROPERTY(name, condition) assert(condition)

#define N 3
#ifndef LIMIT
#define LIMIT 3
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef SLACK
#define SLACK 0
#endif
#define NOBODY  N
#define UNKNOWN 31
#define MOST    (LIMIT + SLACK + 1)

byte owner[N] = NOBODY;   /* who counts each lender's share */
byte foreign[N] = UNKNOWN;/* home: others' work by the last report */
byte running[N];          /* engine: work of the present incarnations */
byte orphans;             /* engine: work of ended incarnations */
byte crashes = CRASHES;
#ifdef GAP
byte checked[N];          /* admitted, not yet written to the engine */
byte late;                /* the same of ended incarnations, in the network */
#define OWN(d) (running[d] + checked[d])
#else
#define OWN(d) (running[d])
#endif

/* (*Holder).Granted */
#define GRANTED(d) ((owner[0] == d) + (owner[1] == d) + (owner[2] == d))

#ifdef WAY_MAJORITY
#define ALLOWED(d) ((GRANTED(d) * 2 > N) * LIMIT)
#else
/* (*Home).admit: the floor of the lent part, and 1 at least for a majority. */
#define FLOOR(d)   ((GRANTED(d) * LIMIT) / N)
#define ALLOWED(d) ((FLOOR(d) == 0 && GRANTED(d) * 2 > N) -> 1 : FLOOR(d))
#endif

#define ENGINE (running[0] + running[1] + running[2] + orphans)

/* (*Home).admit */
#ifdef MUT_IGNORE_FORMER
#define MAY_ADMIT(d) (OWN(d) < ALLOWED(d))
#elif defined(WAY_TOTAL)
#define MAY_ADMIT(d) (foreign[d] != UNKNOWN && OWN(d) < ALLOWED(d) && OWN(d) + foreign[d] < LIMIT)
#elif defined(WAY_SPARE)
#define MAY_ADMIT(d) (foreign[d] != UNKNOWN && OWN(d) < ALLOWED(d) && foreign[d] + ALLOWED(d) <= LIMIT)
#else
#define MAY_ADMIT(d) (foreign[d] != UNKNOWN && OWN(d) + foreign[d] < ALLOWED(d))
#endif

inline check_limit()
{
	/* The engine never runs more than the limit. */
	PROPERTY(engine_limit, ENGINE <= LIMIT + SLACK)
}

/* (*Holder).Share: a new share makes the last report too old. */
#ifdef MUT_OLD_REPORT
#define REPORT_ENDS skip
#else
#define REPORT_ENDS foreign[d] = UNKNOWN
#endif
#define STEP_SHARE(l) \
	:: d_step { owner[l] == NOBODY -> owner[l] = d; REPORT_ENDS } \
	:: d_step { owner[l] == d -> owner[l] = NOBODY; forget_report() }

/* The report is useless to a daemon that counts no share. */
inline forget_report()
{
	if
	:: GRANTED(d) == 0 -> foreign[d] = UNKNOWN
	:: else -> skip
	fi
}

/* Work of the ended incarnation runs on; writes under way may still arrive. */
inline crash()
{
	crashes--;
	for (k : 0 .. N - 1) {
		if
		:: owner[k] == d -> owner[k] = NOBODY
		:: else -> skip
		fi
	}
	k = 0;
	orphans = orphans + running[d];
	running[d] = 0;
#ifdef GAP
	late = late + checked[d];
	checked[d] = 0;
#endif
	foreign[d] = UNKNOWN
}

proctype daemon(byte d)
{
	byte k;
	do
	STEP_SHARE(0) STEP_SHARE(1) STEP_SHARE(2)
	/* (*Home).admit: a report asked for after the newest grant. */
	:: d_step { GRANTED(d) > 0 && foreign[d] != ENGINE - running[d] ->
		foreign[d] = ENGINE - running[d] }
#ifdef GAP
	/* A daemon has GAP requests at most between the check and the write. */
	:: d_step { checked[d] < GAP && MAY_ADMIT(d) -> checked[d]++ }
	:: d_step { checked[d] > 0 -> checked[d]--; running[d]++; check_limit() }
#else
	:: d_step { MAY_ADMIT(d) -> running[d]++; check_limit() }
#endif
	:: d_step { crashes > 0 -> crash() }
	od
}

proctype engine()
{
	do
	:: d_step { running[0] > 0 -> running[0]-- }
	:: d_step { running[1] > 0 -> running[1]-- }
	:: d_step { running[2] > 0 -> running[2]-- }
	:: d_step { orphans > 0 -> orphans-- }
#ifdef GAP
	:: d_step { late > 0 -> late--; orphans++; check_limit() }
	:: d_step { late > 0 -> late-- }
#endif
	od
}

/* Witnesses: each of these must fail, or the model is empty. */
#ifdef WITNESS_SPLIT
#define WITNESS (running[0] > 0 && running[1] > 0 && running[2] > 0)
#endif
#ifdef WITNESS_MOVED
#define WITNESS (orphans == LIMIT && GRANTED(1) == N)
#endif
#ifdef WITNESS_FULL
#define WITNESS (running[1] == LIMIT)
#endif
#ifdef WITNESS_SLACK
#define WITNESS (ENGINE == LIMIT + SLACK)
#endif
#ifdef WITNESS
active proctype witness()
{
	d_step { WITNESS -> assert(false) }
}
#endif

init
{
	atomic {
		run daemon(0);
		run daemon(1);
		run daemon(2);
		run engine()
	}
}
