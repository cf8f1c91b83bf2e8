/*
 * Admission while shares move between holders.
 *
 * lease.pml shows that no share is counted by two holders. Here a holder may lose
 * a share, and any daemon may acquire a free share, at any time. Leases allow
 * fewer behaviours than that, so a property that holds here holds with leases.
 * Without the clock and the messages, the state space stays small enough for
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

/* With -DGROUPS each daemon has one of two published VM lists: lenders 0 to 2,
 * or lenders 1 to 3. It counts 1/N for each lender of its own list. */
#ifdef GROUPS
#define LENDERS (N + 1)
bool newer[N];            /* whether the daemon has the second list */
#define IN_GROUP(d, l) ((newer[d] && l != 0) || (!newer[d] && l != N))
#else
#define LENDERS N
#define IN_GROUP(d, l) true
#endif

byte owner[LENDERS] = NOBODY; /* holder of each lender's share */
byte foreign[N] = UNKNOWN;/* home: requests of others in the last report */
byte running[N];          /* engine: requests of the current incarnations */
byte orphans;             /* engine: requests of ended incarnations */
byte crashes = CRASHES;
#ifdef GAP
byte checked[N];          /* admitted, not yet written to the engine */
byte late;                /* those of ended incarnations, still in the network */
#define OWN(d) (running[d] + checked[d])
#else
#define OWN(d) (running[d])
#endif

/* (*Shares).FractionSince: a share is used only after a report that was measured
 * after the grant has been read. */
#ifdef BY_SHARE
bool covered[LENDERS];    /* whether a report of its holder covers it */
#define COUNTED(d, l) (owner[l] == d && covered[l] && IN_GROUP(d, l))
#define UNCOVERED(d, l) (owner[l] == d && !covered[l])
#define ANY_UNCOVERED(d) (UNCOVERED(d, 0) || UNCOVERED(d, 1) || UNCOVERED(d, 2))
#define OWNS(d) (owner[0] == d || owner[1] == d || owner[2] == d)
#else
/* (*Shares).Fraction */
#define COUNTED(d, l) (owner[l] == d && IN_GROUP(d, l))
#endif
#ifdef GROUPS
#define GRANTED(d) (COUNTED(d, 0) + COUNTED(d, 1) + COUNTED(d, 2) + COUNTED(d, 3))
#else
#define GRANTED(d) (COUNTED(d, 0) + COUNTED(d, 1) + COUNTED(d, 2))
#endif

/* With -DLOWER the limit of each home changes independently between LOWER and
 * LIMIT. */
#ifdef LOWER
bool low[N];
#define LIMIT_OF(d) (low[d] -> LOWER : LIMIT)
#else
#define LIMIT_OF(d) LIMIT
#endif

#ifdef WAY_MAJORITY
#define ALLOWED(d) ((GRANTED(d) * 2 > N) * LIMIT)
#else
/* (Fraction).AllowedOf: the held fraction of the limit, rounded down, but at
 * least 1 for a majority. */
#define FLOOR(d)   ((GRANTED(d) * LIMIT_OF(d)) / N)
#define ALLOWED(d) ((FLOOR(d) == 0 && GRANTED(d) * 2 > N) -> 1 : FLOOR(d))
#endif

#define ENGINE (running[0] + running[1] + running[2] + orphans)

/* (*runner).localLimit */
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

/* (*Shares).RecordGrant: a new share makes the last report outdated. */
#if defined(MUT_OLD_REPORT) || defined(BY_SHARE)
#define REPORT_ENDS skip
#else
#define REPORT_ENDS foreign[d] = UNKNOWN
#endif
#ifdef BY_SHARE
#define UNCOVER(l) covered[l] = false
#else
#define UNCOVER(l) skip
#endif
#define STEP_SHARE(l) \
	:: d_step { owner[l] == NOBODY && IN_GROUP(d, l) -> \
		printf("home %d: counts share %d\n", d, l); \
		owner[l] = d; UNCOVER(l); REPORT_ENDS } \
	:: d_step { owner[l] == d -> \
		printf("home %d: share %d ends\n", d, l); \
		owner[l] = NOBODY; UNCOVER(l); forget_report() }

/* A daemon that counts no share discards its report. */
inline forget_report()
{
	if
#ifdef BY_SHARE
	:: !OWNS(d) -> foreign[d] = UNKNOWN
#else
	:: GRANTED(d) == 0 -> foreign[d] = UNKNOWN
#endif
	:: else -> skip
	fi
}

/* Requests of the ended incarnation continue to run, and its writes in transit
 * may still arrive. */
inline crash()
{
	printf("daemon %d: crashes and restarts\n", d);
	crashes--;
	for (k : 0 .. LENDERS - 1) {
		if
		:: owner[k] == d -> owner[k] = NOBODY; UNCOVER(k)
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
#ifdef GROUPS
	STEP_SHARE(3)
	/* A change of the list may add shares to the count. */
	:: d_step { newer[d] = !newer[d]; REPORT_ENDS;
		printf("daemon %d: holds list %d\n", d, newer[d]) }
#endif
	/* (*runner).readReport: a report requested after the newest grant. */
#ifdef BY_SHARE
	/* (*externalRequests).record: the lowest count since the newest grant. */
	:: d_step { OWNS(d) && (ANY_UNCOVERED(d) || ENGINE - running[d] < foreign[d]) ->
		if
#ifdef MUT_KEEP_BOUND
		:: foreign[d] != UNKNOWN && ENGINE - running[d] >= foreign[d] -> skip
#else
		:: !ANY_UNCOVERED(d) && ENGINE - running[d] >= foreign[d] -> skip
#endif
		:: else -> foreign[d] = ENGINE - running[d]
		fi;
		for (k : 0 .. LENDERS - 1) {
			if
			:: owner[k] == d -> covered[k] = true
			:: else -> skip
			fi
		}
		k = 0;
		printf("home %d: report, bound of others is %d\n", d, foreign[d]) }
#else
	:: d_step { GRANTED(d) > 0 && foreign[d] != ENGINE - running[d] ->
		foreign[d] = ENGINE - running[d];
		printf("home %d: report, %d of others run\n", d, foreign[d]) }
#endif
#ifdef GAP
	/* A daemon has at most GAP requests between the check and the write. */
	:: d_step { checked[d] < GAP && MAY_ADMIT(d) ->
		printf("home %d: admits a request, not yet written\n", d);
		checked[d]++ }
	:: d_step { checked[d] > 0 ->
		printf("home %d: writes a request to the engine\n", d);
		checked[d]--; running[d]++; check_limit() }
#else
	:: d_step { MAY_ADMIT(d) ->
		printf("home %d: admits a request\n", d);
		running[d]++; check_limit() }
#endif
#ifdef LOWER
	:: d_step { low[d] = !low[d];
		printf("home %d: its limit is now %d\n", d, LIMIT_OF(d)) }
#endif
	:: d_step { crashes > 0 -> crash() }
	od
}

proctype engine()
{
	do
	:: d_step { running[0] > 0 -> running[0]--; printf("engine: finishes a request of home 0\n") }
	:: d_step { running[1] > 0 -> running[1]--; printf("engine: finishes a request of home 1\n") }
	:: d_step { running[2] > 0 -> running[2]--; printf("engine: finishes a request of home 2\n") }
	:: d_step { orphans > 0 -> orphans-- }
#ifdef GAP
	:: d_step { late > 0 ->
		printf("engine: a write of an ended incarnation arrives\n");
		late--; orphans++; check_limit() }
	:: d_step { late > 0 -> late-- }
#endif
	od
}

/* Witnesses: the assertion of each must fail, which shows that its state is
 * reachable. */
#ifdef WITNESS_SPLIT
#define WITNESS (running[0] > 0 && running[1] > 0 && running[2] > 0)
#endif
#ifdef WITNESS_MOVED
#define WITNESS (orphans == LIMIT && GRANTED(1) == N)
#endif
#ifdef WITNESS_FULL
#define WITNESS (running[1] == LIMIT)
#endif
#ifdef WITNESS_OVER_LOWER
#define WITNESS (GRANTED(0) == N && low[0] && running[0] == LIMIT)
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
