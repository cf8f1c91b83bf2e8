/*
 * Leases of the shares of one backend server's limit.
 *
 * The N daemons in the VM list are the lenders. Each of them owns 1/N of LIMIT,
 * leases it to one holder at a time, and may itself be a holder. Any daemon may
 * claim at any time, which covers all views of the membership, including
 * outdated and non-transitive ones. A daemon is paused if it takes no step
 * between two ticks of the clock; the clock never waits for a daemon.
 *
 * Times are remaining ticks, so the length of a run is not bounded. README.md
 * describes what the model abstracts from.
 */
#define PROPERTY(name, condition) assert(condition)

#define N 3
#ifndef LIMIT
#define LIMIT 3
#endif
#ifndef TTL
#define TTL 2             /* duration of a lease, in ticks */
#endif
#ifndef TRANSIT
#define TRANSIT 1         /* maximum number of messages in transit */
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef DRAINS
#define DRAINS 0
#endif
#ifndef MARGIN
#define MARGIN 0          /* ticks by which a lease expires earlier at the holder */
#endif
#ifndef SLACK
#define SLACK 0
#endif

#define NOBODY  N
#define ENDED   (N + 1)   /* a crashed incarnation of a holder */
#define UNKNOWN 15
#define NONE    0
#define CLAIM   1         /* CLAIM + age */
#define GRANT   (CLAIM + TTL) /* GRANT + age of its claim */

#define PAIR(d, l)     ((d) * N + (l))
#define IS_CLAIM(m)    ((m) >= CLAIM && (m) < GRANT)
#define IS_GRANT(m)    ((m) >= GRANT)

byte holder[N];           /* lender: holder of its share */
byte loan[N];             /* lender: ticks until the lease expires */
byte wait[N];             /* lender: ticks until it may grant after a start */
byte share[N * N];        /* holder: ticks until the lease expires */
byte message[N * N];      /* claim or grant in transit, by claimant and lender */
byte transit;
byte foreign[N];          /* home: requests of others in the last report */
byte running[N];          /* engine: requests of the current incarnations */
byte orphans;             /* engine: requests of ended incarnations */
bool draining[N];
byte crashes = CRASHES;
byte drains = DRAINS;
#ifdef GAP
byte checked[N];          /* admitted, not yet written to the engine */
#ifdef GAP_TICKS
byte gap_left[N];         /* ticks until the oldest one must be written */
#endif
#endif

#ifdef MUT_NO_CLOCK_CHECK
bool held[N * N];         /* cleared only by a later step of the holder */
#define COUNTED(d, l) (held[PAIR(d, l)])
#else
/* (*Shares).Fraction reads the monotonic clock at each call. */
#define COUNTED(d, l) (share[PAIR(d, l)] > MARGIN)
#endif

/* (*Shares).Fraction */
#define GRANTED(d) (COUNTED(d, 0) + COUNTED(d, 1) + COUNTED(d, 2))

#ifdef WAY_MAJORITY
#define ALLOWED(d) ((GRANTED(d) * 2 > N) * LIMIT)
#else
/* (Fraction).AllowedOf: the held fraction of the limit, rounded down, but at
 * least 1 for a majority. */
#define FLOOR(d)   ((GRANTED(d) * LIMIT) / N)
#define ALLOWED(d) ((FLOOR(d) == 0 && GRANTED(d) * 2 > N) -> 1 : FLOOR(d))
#endif

#define ENGINE (running[0] + running[1] + running[2] + orphans)

#ifdef GAP
#define OWN(d) (running[d] + checked[d])
#else
#define OWN(d) (running[d])
#endif

/* (*runner).localLimit: the sum of own requests and of others' requests in a
 * report that is not older than the newest share. */
#if defined(MUT_IGNORE_FORMER)
#define MAY_ADMIT(d) (OWN(d) < ALLOWED(d))
#elif defined(WAY_TOTAL)
#define MAY_ADMIT(d) (foreign[d] != UNKNOWN && OWN(d) < ALLOWED(d) && OWN(d) + foreign[d] < LIMIT)
#else
#define MAY_ADMIT(d) (foreign[d] != UNKNOWN && OWN(d) + foreign[d] < ALLOWED(d))
#endif

/* (*Lender).Grant */
#ifdef MUT_GRANT_EARLY
#define MAY_GRANT(l, c) (wait[l] == 0)
#else
#define MAY_GRANT(l, c) (wait[l] == 0 && (loan[l] == 0 || holder[l] == c))
#endif

inline send(d, l, m)
{
	message[PAIR(d, l)] = m;
	transit++
}

inline clear(p)
{
	message[p] = NONE;
	transit--
}

/* (*Home).Claims: the age of a claim is counted from the time it was sent. */
#define STEP_CLAIM(l) \
	:: d_step { !draining[d] && message[PAIR(d, l)] == NONE && transit < TRANSIT -> \
		printf("holder %d: sends a claim to lender %d\n", d, l); \
		send(d, l, CLAIM) }

/* (*Lender).Grant: the lease starts now; the response keeps the claim's age. */
#define STEP_GRANT(c) \
	:: d_step { IS_CLAIM(message[PAIR(c, d)]) && MAY_GRANT(d, c) -> \
		printf("lender %d: grants its share to holder %d\n", d, c); \
		holder[d] = c; loan[d] = TTL; \
		message[PAIR(c, d)] = message[PAIR(c, d)] - CLAIM + GRANT }

/* (*Shares).RecordGrant: the lease is measured from the time when the claim was
 * sent. A newly held share makes the last report outdated. */
#define STEP_RECEIVE(l) \
	:: d_step { IS_GRANT(message[PAIR(d, l)]) -> \
		printf("holder %d: receives the grant of lender %d\n", d, l); \
		receive(PAIR(d, l), l) }

#ifdef MUT_COUNT_FROM_RECEIPT
#define LEFT(m) (TTL)
#else
#define LEFT(m) (TTL - ((m) - GRANT))
#endif

inline receive(p, l)
{
	if
	:: draining[d] -> skip
	:: else ->
#ifndef MUT_OLD_REPORT
		if
		:: !COUNTED(d, l) -> foreign[d] = UNKNOWN
		:: else -> skip
		fi;
#endif
		if
		:: share[p] < LEFT(message[p]) -> share[p] = LEFT(message[p])
		:: else -> skip
		fi;
#ifdef MUT_NO_CLOCK_CHECK
		held[p] = true;
#endif
		/* No share is counted by two holders. */
		PROPERTY(one_holder, COUNTED(0, l) + COUNTED(1, l) + COUNTED(2, l) <= 1)
	fi;
	clear(p)
}

/* (*Lender).Release: a holder releases its shares only while it drains, when it
 * admits no more requests. */
#ifdef MUT_RELEASE_UNDRAINED
#define MAY_RELEASE(l) (drains > 0 && holder[l] == d)
#define SPEND_RELEASE drains--
#else
#define MAY_RELEASE(l) (draining[d] && holder[l] == d)
#define SPEND_RELEASE skip
#endif
#define STEP_RELEASE(l) \
	:: d_step { MAY_RELEASE(l) -> \
		printf("lender %d: holder %d gives its share back\n", l, d); \
		holder[l] = NOBODY; loan[l] = 0; SPEND_RELEASE }

#define STEP_FORGET(l) \
	:: d_step { held[PAIR(d, l)] && share[PAIR(d, l)] <= MARGIN -> held[PAIR(d, l)] = false }

/* A daemon that counts no share discards its report. */
inline forget_report(i)
{
	if
	:: GRANTED(i) == 0 -> foreign[i] = UNKNOWN
	:: else -> skip
	fi
}

inline end_shares(i)
{
	for (k : 0 .. N - 1) {
		share[PAIR(i, k)] = 0;
#ifdef MUT_NO_CLOCK_CHECK
		held[PAIR(i, k)] = false;
#endif
	}
	foreign[i] = UNKNOWN;
	k = 0
}

inline drain()
{
	printf("daemon %d: drains\n", d);
	drains--;
	draining[d] = true;
	end_shares(d)
}

/* NewLender: waits for the longest lease of any earlier incarnation. */
#if defined(MUT_NO_START_WAIT)
#define START_WAIT 0
#elif defined(MUT_SHORT_START_WAIT)
#define START_WAIT (TTL - 1)
#else
#define START_WAIT TTL
#endif

/* A crash loses all state; the next incarnation starts in the same step. */
inline crash()
{
	printf("daemon %d: crashes and restarts\n", d);
	crashes--;
	for (k : 0 .. N - 1) {
		if
		:: message[PAIR(d, k)] != NONE -> clear(PAIR(d, k))
		:: else -> skip
		fi;
		if
		:: holder[k] == d -> holder[k] = ENDED
		:: else -> skip
		fi
	}
	end_shares(d);
	holder[d] = NOBODY;
	loan[d] = 0;
	wait[d] = START_WAIT;
	draining[d] = false;
	orphans = orphans + running[d];
	running[d] = 0;
#ifdef GAP
	checked[d] = 0;
#endif
	k = 0
}

inline check_limit()
{
	/* The engine never runs more than the limit. */
	PROPERTY(engine_limit, ENGINE <= LIMIT + SLACK)
}

proctype daemon(byte d)
{
	byte k;
	do
	STEP_CLAIM(0) STEP_CLAIM(1) STEP_CLAIM(2)
	STEP_GRANT(0) STEP_GRANT(1) STEP_GRANT(2)
	STEP_RECEIVE(0) STEP_RECEIVE(1) STEP_RECEIVE(2)
#if DRAINS > 0
	STEP_RELEASE(0) STEP_RELEASE(1) STEP_RELEASE(2)
#ifndef MUT_RELEASE_UNDRAINED
	:: d_step { drains > 0 && !draining[d] && GRANTED(d) > 0 -> drain() }
#endif
#endif
#ifdef MUT_NO_CLOCK_CHECK
	STEP_FORGET(0) STEP_FORGET(1) STEP_FORGET(2)
#endif
#ifndef SHARES_ONLY
	/* (*runner).readReport: a report requested after the newest grant. */
	:: d_step { GRANTED(d) > 0 && foreign[d] != ENGINE - running[d] ->
		foreign[d] = ENGINE - running[d];
		printf("home %d: report, %d of others run\n", d, foreign[d]) }
#ifdef GAP
	:: d_step { !draining[d] && checked[d] < GAP && MAY_ADMIT(d) ->
#ifdef GAP_TICKS
		gap_left[d] = GAP_TICKS;
#endif
		printf("home %d: admits a request, not yet written\n", d);
		checked[d]++ }
	:: d_step { checked[d] > 0 ->
		printf("home %d: writes a request to the engine\n", d);
		checked[d]--; running[d]++; check_limit() }
#else
	:: d_step { !draining[d] && MAY_ADMIT(d) ->
		printf("home %d: admits a request\n", d);
		running[d]++; check_limit() }
#endif
#endif
	/* Only daemon 0 crashes, as all daemons are symmetric. */
	:: d_step { d == 0 && crashes > 0 -> crash() }
	od
}

inline lose(p)
{
	printf("network: loses a message of holder %d and lender %d\n", p / N, p % N);
	clear(p)
}

#define STEP_LOSE(p) :: d_step { message[p] != NONE -> lose(p) }

proctype medium()
{
	do
	STEP_LOSE(0) STEP_LOSE(1) STEP_LOSE(2)
	STEP_LOSE(3) STEP_LOSE(4) STEP_LOSE(5)
	STEP_LOSE(6) STEP_LOSE(7) STEP_LOSE(8)
	od
}

proctype engine()
{
	do
	:: d_step { running[0] > 0 -> running[0]--; printf("engine: finishes a request of home 0\n") }
	:: d_step { running[1] > 0 -> running[1]--; printf("engine: finishes a request of home 1\n") }
	:: d_step { running[2] > 0 -> running[2]--; printf("engine: finishes a request of home 2\n") }
	:: d_step { orphans > 0 -> orphans-- }
	od
}

inline age(p)
{
	if
	:: message[p] == NONE -> skip
	:: message[p] == GRANT - 1 || message[p] == GRANT + TTL - 1 -> clear(p)
	:: else -> message[p]++
	fi
}

inline down(x)
{
	if
	:: x > 0 -> x--
	:: else -> skip
	fi
}

inline tick()
{
	printf("clock: one tick passes\n");
	for (i : 0 .. N - 1) {
		down(loan[i]);
		if
		:: loan[i] == 0 -> holder[i] = NOBODY
		:: else -> skip
		fi;
		down(wait[i]);
		for (j : 0 .. N - 1) {
			down(share[PAIR(i, j)]);
			age(PAIR(i, j))
		}
		forget_report(i);
#ifdef GAP_TICKS
		down(gap_left[i]);
#endif
	}
	i = 0;
	j = 0
}

#ifdef GAP_TICKS
#define GAPS_ALLOW_TICK \
	((checked[0] == 0 || gap_left[0] > 0) && (checked[1] == 0 || gap_left[1] > 0) && \
	 (checked[2] == 0 || gap_left[2] > 0))
#else
#define GAPS_ALLOW_TICK true
#endif

proctype clock()
{
	byte i;
	byte j;
	do
	:: d_step { GAPS_ALLOW_TICK -> tick() }
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
#ifdef WITNESS
active proctype witness()
{
	d_step { WITNESS -> assert(false) }
}
#endif

init
{
	byte d;
	d_step {
		for (d : 0 .. N - 1) {
			holder[d] = NOBODY;
			foreign[d] = UNKNOWN
		}
		d = 0
	}
	atomic {
		run daemon(0);
		run daemon(1);
		run daemon(2);
		run medium();
		run engine();
		run clock()
	}
}
