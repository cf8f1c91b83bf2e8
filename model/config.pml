/*
 * Configuration: two documents, base and overlay, each with its own version.
 *
 * Documents are published on a platform that daemons only read. It may return any
 * older version, or be unavailable temporarily or permanently. Daemons receive
 * documents from the platform and from each other, in any order. The
 * configuration in force is Merge(newest valid base, newest valid overlay). Merge
 * is a pure function, so equal versions give equal configurations.
 */
#define PROPERTY(name, condition) assert(condition)

#define N 3
#define DOCUMENTS 2
#define BASE 0
#define OVERLAY 1
#ifndef NEWEST
#define NEWEST 3          /* versions 1 to NEWEST are published */
#endif
#ifndef CRASHES
#define CRASHES 1
#endif

#define HELD(d, x)    held[(d) * DOCUMENTS + (x)]
#define SERVED(d, x)  served[(d) * DOCUMENTS + (x)]
#define VALID(x, v)   ((v) == 1 || valid[(x) * NEWEST + (v) - 1])
#define LINK(d, e)    (!cut[N - (d) - (e)])

byte published[DOCUMENTS] = 1;
bool valid[DOCUMENTS * NEWEST];  /* by itself */
bool platform_gone;
bool calm;                       /* no more publications and faults */
byte held[N * DOCUMENTS];        /* adopted version, 0 is none */
bool serving[N];
bool asked[N * N];               /* a starting daemon has contacted the peer */
bool cut[N];                     /* cut[i]: no link between the other two */
byte crashes = CRASHES;
byte cuts = 1;
byte starting;                   /* daemons that do not serve yet */

/* Versions that each peer served when this daemon started, for ready_not_behind. */
byte served[N * DOCUMENTS];
bool peer_reachable[N];          /* served and had a link without interruption */
#define RESTARTED 0              /* checked for daemon 0 only, as all daemons are symmetric */

/* Base 2 and overlay 2 are incompatible: one refers to an entry that is missing
 * in the other. */
#define FITS(x, v, d) (v != 2 || HELD(d, 1 - x) != 2)

/* The version number of a publication. With -DWAY_REUSED_NUMBER the third
 * publication has the number of the second but another body. */
#ifdef WAY_REUSED_NUMBER
#define NUMBER(v) ((v) == 3 -> 2 : (v))
#else
#define NUMBER(v) (v)
#endif

/* (*Adopter).Offer: adopts a higher version of a document that is valid by itself. */
#if defined(MUT_LOWER_ACCEPTED)
#define ADOPTS(d, x, v) (v != HELD(d, x) && VALID(x, v))
#elif defined(MUT_JOINT_ACCEPTANCE)
#define ADOPTS(d, x, v) (NUMBER(v) > NUMBER(HELD(d, x)) && VALID(x, v) && FITS(x, v, d))
#elif defined(MUT_INVALID_ACCEPTED)
#define ADOPTS(d, x, v) (NUMBER(v) > NUMBER(HELD(d, x)))
#else
#define ADOPTS(d, x, v) (NUMBER(v) > NUMBER(HELD(d, x)) && VALID(x, v))
#endif

inline adopt(d, x, v)
{
	/* The adopted version never decreases within an incarnation. */
	PROPERTY(never_down, v >= HELD(d, x));
	/* Every document in force is valid. */
	PROPERTY(valid_in_force, VALID(x, v));
	printf("daemon %d: adopts document %d version %d\n", d, x, v);
	HELD(d, x) = v
}

/* The platform returns any version up to the newest. */
#ifdef MUT_READ_AT_START_ONLY
#define MAY_READ(d) (!platform_gone && !serving[d])
#else
#define MAY_READ(d) (!platform_gone)
#endif
#define STEP_READ(x, v) \
	:: d_step { MAY_READ(d) && v <= published[x] && ADOPTS(d, x, v) -> adopt(d, x, v) }

/* A heartbeat advertised a higher version, and FetchDocument fetched it. */
#define STEP_HEAR(e, x) \
	:: d_step { e != d && LINK(d, e) && serving[e] && ADOPTS(d, x, HELD(e, x)) -> \
		adopt(d, x, HELD(e, x)) }

/* (*Exchange).AllPeersContacted: each peer has responded or is unreachable. */
#ifdef MUT_WAIT_FOR_STARTING
#define NO_ANSWER(d, e) (!LINK(d, e))
#else
#define NO_ANSWER(d, e) (!LINK(d, e) || !serving[e])
#endif
#define STEP_ASK(e) \
	:: d_step { e != d && !serving[d] && !asked[d * N + e] && NO_ANSWER(d, e) -> \
		printf("daemon %d: cannot ask peer %d\n", d, e); \
		asked[d * N + e] = true } \
	:: d_step { e != d && !serving[d] && !asked[d * N + e] && LINK(d, e) && serving[e] -> \
		printf("daemon %d: asks peer %d\n", d, e); \
		asked[d * N + e] = true; take(d, e, BASE); take(d, e, OVERLAY) }

inline take(d, e, x)
{
	if
	:: ADOPTS(d, x, HELD(e, x)) -> adopt(d, x, HELD(e, x))
	:: else -> skip
	fi
}

#ifdef MUT_READY_BY_PLATFORM
#define ALL_ASKED(d) true
#else
#define ALL_ASKED(d) (asked[d * N + (d + 1) % N] && asked[d * N + (d + 2) % N])
#endif
#define READY(d) (HELD(d, BASE) > 0 && HELD(d, OVERLAY) > 0 && ALL_ASKED(d))

#define KEPT_UP(e) \
	(!peer_reachable[e] || \
	 (HELD(RESTARTED, BASE) >= SERVED(e, BASE) && HELD(RESTARTED, OVERLAY) >= SERVED(e, OVERLAY)))

inline serve()
{
	printf("daemon %d: serves\n", d);
	serving[d] = true;
	starting--;
	if
	:: d == RESTARTED ->
		/* A daemon that starts to serve has no older version than a reachable peer. */
		PROPERTY(ready_not_behind, KEPT_UP(1) && KEPT_UP(2));
#ifdef WAY_ALONE
		/* It has no older version than it served before the restart. */
		PROPERTY(never_reverts, HELD(RESTARTED, BASE) >= SERVED(RESTARTED, BASE));
#endif
		forget_served()
	:: else -> skip
	fi
}

inline forget_served()
{
	for (k : 0 .. N - 1) {
		SERVED(k, BASE) = 0;
		SERVED(k, OVERLAY) = 0;
		peer_reachable[k] = false
	}
	k = 0
}

/* A crash loses all state. The versions that the peers serve are recorded only for
 * the check. */
inline crash()
{
	printf("daemon %d: crashes and restarts\n", d);
	crashes--;
	for (k : 0 .. N - 1) {
		if
		:: d == RESTARTED && k != d && serving[k] && LINK(d, k) ->
			peer_reachable[k] = true;
			SERVED(k, BASE) = HELD(k, BASE);
			SERVED(k, OVERLAY) = HELD(k, OVERLAY)
		:: else -> skip
		fi;
		asked[d * N + k] = false
	}
	k = 0;
	peer_reachable[d] = false;
#ifdef WAY_ALONE
	if
	:: d == RESTARTED -> SERVED(d, BASE) = HELD(d, BASE)
	:: else -> skip
	fi;
#endif
	serving[d] = false;
	starting++;
	HELD(d, BASE) = 0;
	HELD(d, OVERLAY) = 0
}

proctype daemon(byte d)
{
	byte k;
end:
	do
	STEP_READ(BASE, 1) STEP_READ(BASE, 2)
	STEP_READ(OVERLAY, 1) STEP_READ(OVERLAY, 2)
#if NEWEST > 2
	STEP_READ(BASE, 3)
	STEP_READ(OVERLAY, 3)
#endif
	STEP_HEAR(0, BASE) STEP_HEAR(1, BASE) STEP_HEAR(2, BASE)
	STEP_HEAR(0, OVERLAY) STEP_HEAR(1, OVERLAY) STEP_HEAR(2, OVERLAY)
	STEP_ASK(0) STEP_ASK(1) STEP_ASK(2)
	:: d_step { !serving[d] && READY(d) -> serve() }
	:: d_step { !calm && crashes > 0 && serving[d] -> crash() }
	od
}

/* Each publication is valid or not. */
#define STEP_PUBLISH(x) \
	:: d_step { !calm && published[x] < NEWEST -> published[x]++; \
		printf("platform: document %d version %d, not valid\n", x, published[x]) } \
	:: d_step { !calm && published[x] < NEWEST -> published[x]++; \
		printf("platform: document %d version %d\n", x, published[x]); \
		valid[x * NEWEST + published[x] - 1] = true }

proctype platform()
{
end:
	do
	STEP_PUBLISH(BASE)
	STEP_PUBLISH(OVERLAY)
	:: d_step { !calm && !platform_gone && starting == 0 ->
		printf("platform: is gone for good\n"); platform_gone = true }
	:: d_step { !calm -> calm = true; printf("no more publications and faults\n") }
	od
}

/* Every link that fails recovers later, so messages are delivered eventually. */
#define STEP_CUT(i) \
	:: d_step { !calm && cuts > 0 && !cut[i] -> cuts--; cut[i] = true; lose_peer(i); \
		printf("network: cuts the link that daemon %d has no part in\n", i) } \
	:: d_step { cut[i] -> cut[i] = false; printf("network: mends the link\n") }

inline lose_peer(i)
{
	if
	:: i != RESTARTED -> peer_reachable[N - RESTARTED - i] = false
	:: else -> skip
	fi
}

proctype network()
{
end:
	do
	STEP_CUT(0) STEP_CUT(1) STEP_CUT(2)
	od
}

#define SAME(d, e) (HELD(d, BASE) == HELD(e, BASE) && HELD(d, OVERLAY) == HELD(e, OVERLAY))
#define NEWEST_VALID(d, x) \
	(platform_gone || HELD(d, x) == published[x] || !VALID(x, published[x]))

/* Runs when no step of any other process is enabled. */
proctype monitor()
{
end:
	timeout ->
	/* All daemons reach the same configuration. */
	PROPERTY(all_same, SAME(0, 1) && SAME(1, 2));
	/* If the platform is available, it is the newest valid one. */
	PROPERTY(newest_valid, NEWEST_VALID(0, BASE) && NEWEST_VALID(0, OVERLAY));
	/* All daemons serve. */
	PROPERTY(all_serve, starting == 0)
}

/* Witnesses: the assertion of each must fail, which shows that its state is
 * reachable. */
#ifdef WITNESS_STALE_START
#define WITNESS (crashes == 0 && serving[0] && HELD(0, BASE) < HELD(1, BASE))
#endif
#ifdef WITNESS_GONE
#define WITNESS (platform_gone && published[BASE] == NEWEST && HELD(0, BASE) == NEWEST && HELD(2, BASE) == 1)
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
		HELD(0, BASE) = 1; HELD(1, BASE) = 1; HELD(2, BASE) = 1;
		HELD(0, OVERLAY) = 1; HELD(1, OVERLAY) = 1; HELD(2, OVERLAY) = 1;
		serving[0] = true; serving[1] = true; serving[2] = true;
		run daemon(0);
		run daemon(1);
		run daemon(2);
		run platform();
		run network();
		run monitor()
	}
}
