/*
 * Orders to an engine carry the configuration version as fencing number.
 *
 * Two daemons adopt versions independently and order the engine to apply them.
 * A daemon may be paused between reading the engine's version and sending an
 * order, and the network may delay an order. The engine refuses lower numbers;
 * with -DMUT_NO_FENCE it applies every order.
 */
#define PROPERTY(name, condition) assert(condition)

#define N 2
#ifndef NEWEST
#define NEWEST 3
#endif
#define UNKNOWN 0

byte held[N] = 1;         /* adopted version */
byte seen[N];             /* the engine's version as last read by the daemon */
byte order[N];            /* version of this daemon's order in transit */
bool sent[N * (NEWEST + 1)]; /* versions already ordered, for MUT_SEND_ONCE */
byte applied = 1;         /* version in force at the engine */

#ifdef MUT_NO_FENCE
#define TAKES(v) true
#else
#define TAKES(v) ((v) >= applied)
#endif

/* (*Orderer).sendDue: orders are repeated until the engine has the version. */
#ifdef MUT_SEND_ONCE
#define MAY_SEND(d) (!sent[d * (NEWEST + 1) + held[d]])
#else
#define MAY_SEND(d) (seen[d] != UNKNOWN && seen[d] < held[d])
#endif

proctype daemon(byte d)
{
end:
	do
	:: d_step { held[d] < NEWEST -> held[d]++; printf("daemon %d: adopts version %d\n", d, held[d]) }
	:: d_step { seen[d] != applied ->
		printf("daemon %d: sees version %d at the engine\n", d, applied);
		seen[d] = applied }
	:: d_step { order[d] == 0 && MAY_SEND(d) ->
		printf("daemon %d: sends order %d\n", d, held[d]);
		order[d] = held[d];
		sent[d * (NEWEST + 1) + held[d]] = true;
		seen[d] = UNKNOWN }
	od
}

inline take(d)
{
	printf("engine: receives order %d of daemon %d\n", order[d], d);
	if
	:: TAKES(order[d]) ->
		/* An old order never takes effect after a newer one. */
		PROPERTY(never_older, order[d] >= applied);
		applied = order[d]
	:: else -> skip
	fi;
	order[d] = 0
}

byte losses = 2;          /* orders that may still be lost */

proctype engine()
{
end:
	do
	:: d_step { order[0] > 0 -> take(0) }
	:: d_step { order[1] > 0 -> take(1) }
	:: d_step { order[0] > 0 && losses > 0 -> order[0] = 0; losses-- }
	:: d_step { order[1] > 0 && losses > 0 -> order[1] = 0; losses-- }
	od
}

proctype monitor()
{
end:
	timeout ->
	/* When no step is left, the engine has the newest version. */
	PROPERTY(ends_newest, applied == NEWEST)
}

/* Witness: its assertion must fail, which shows that the state is reachable. */
#ifdef WITNESS_LATE
active proctype witness()
{
	d_step { applied == NEWEST && order[1] == 1 + 1 -> assert(false) }
}
#endif

init
{
	atomic {
		run daemon(0);
		run daemon(1);
		run engine();
		run monitor()
	}
}
