/*
 * Tickets: a booking runs at most once.
 *
 * A caller has one booking and requests up to TICKETS tickets for it, one after
 * another. A ticket names one incarnation of one daemon, its executor. A sent
 * message stays in transit indefinitely: it may be delivered never, late,
 * repeatedly, and to a later incarnation at the same address. A daemon is paused
 * while it takes no step.
 */
#define PROPERTY(name, condition) assert(condition)

#define DAEMONS 2
#ifndef TICKETS
#define TICKETS 2
#endif
#ifndef CRASHES
#define CRASHES 2
#endif

/* States of a ticket in the executor's book. */
#define UNUSED   0
#define STARTED  1
#define ANSWERED 2
#define BROKEN   3        /* the connection broke after the first byte */
#define VOIDED   4

/* States of the connection to the backend server. */
#define CLOSED   0
#define WRITTEN  1        /* the request is in transit */
#define RAN      2        /* the response is in transit */

byte incarnation[DAEMONS];
byte crashes = CRASHES;

byte issued;              /* number of tickets issued to the caller */
byte executor[TICKETS];
byte named[TICKETS];      /* incarnation that the ticket names */
bool expired[TICKETS];    /* by the executor's monotonic clock */
bool dropped[TICKETS];    /* past the retention time of the book */
byte book[TICKETS];       /* state in the book of the named incarnation */
bool wrote[TICKETS];      /* the executor has begun to write the request */

bool request[TICKETS * DAEMONS]; /* caller to daemon */
bool forward[TICKETS];    /* daemon to executor */
bool withdrawal[TICKETS];       /* VoidTicket to executor */
bool voided[TICKETS];     /* response VOIDED to VoidTicket */
bool not_run[TICKETS];    /* reported to the caller */
bool unknown[TICKETS];
bool answer[TICKETS];

byte connection[TICKETS];
bool ran[TICKETS];
byte ledger;              /* number of runs of the booking at the backend server */

#define TO(k, d)      request[(k) * DAEMONS + (d)]
#define LATEST        (issued - 1)

/* (*Book).Start compares the incarnation that seal/ticket.Open has decoded. */
#ifdef MUT_OTHER_INCARNATION
#define IS_EXECUTOR(k, d) (issued > k && executor[k] == d)
#else
#define IS_EXECUTOR(k, d) (issued > k && executor[k] == d && named[k] == incarnation[d])
#endif
#define IS_DEAD(k, d) (issued > k && executor[k] == d && named[k] != incarnation[d])
#define ARRIVED(k, d) (TO(k, d) || forward[k])
#define OUTCOME_SENT(k) (not_run[k] || unknown[k] || answer[k])

inline tell_not_run(k)
{
	printf("  told: ticket %d not run\n", k);
	/* "Not run" is reported only if the booking did not run. */
	PROPERTY(not_run_is_true, !ran[k]);
	not_run[k] = true
}

inline tell_answer(k)
{
	/* A response is reported only if the booking ran. */
	PROPERTY(answer_is_true, ran[k]);
	answer[k] = true
}

/* (*Book).Start: a single transition from unused to started, under one lock. */
#ifdef MUT_RUN_ON_RESEND
#define MAY_START(k) (book[k] == UNUSED || book[k] == STARTED || book[k] == BROKEN)
#else
#define MAY_START(k) (book[k] == UNUSED)
#endif

#ifdef MUT_VOID_NOT_REMEMBERED
#define REMEMBER_VOID(k) skip
#else
#define REMEMBER_VOID(k) book[k] = VOIDED
#endif

/* A refusal at admission voids the ticket as well. */
#ifdef MUT_REFUSE_WITHOUT_VOID
#define REMEMBER_REFUSAL(k) skip
#else
#define REMEMBER_REFUSAL(k) book[k] = VOIDED
#endif

#define STEP_EXECUTOR(k) \
	/* (*Book).Start */ \
	:: d_step { IS_EXECUTOR(k, d) && ARRIVED(k, d) && MAY_START(k) && !expired[k] -> \
		printf("executor %d: starts ticket %d\n", d, k); \
		book[k] = STARTED; wrote[k] = false } \
	:: d_step { IS_EXECUTOR(k, d) && ARRIVED(k, d) && book[k] == UNUSED && !expired[k] -> \
		printf("executor %d: refuses ticket %d\n", d, k); \
		REMEMBER_REFUSAL(k); tell_not_run(k) } \
	/* The request is written once; the transport never repeats it. */ \
	:: d_step { IS_EXECUTOR(k, d) && book[k] == STARTED && connection[k] == CLOSED && MAY_WRITE(k) -> \
		printf("executor %d: writes the request of ticket %d\n", d, k); \
		connection[k] = WRITTEN; wrote[k] = true } \
	/* (*Entry).Finish: no byte was written. */ \
	:: d_step { IS_EXECUTOR(k, d) && book[k] == STARTED && connection[k] == CLOSED && !wrote[k] -> \
		printf("executor %d: cannot connect for ticket %d\n", d, k); \
		book[k] = VOIDED; tell_not_run(k) } \
	/* (*Entry).Finish: the response is complete. */ \
	:: d_step { IS_EXECUTOR(k, d) && book[k] == STARTED && connection[k] == RAN -> \
		printf("executor %d: has the answer of ticket %d\n", d, k); \
		book[k] = ANSWERED; connection[k] = CLOSED; tell_answer(k) } \
	/* (*Entry).Finish: the connection broke; the request may still run. */ \
	:: d_step { IS_EXECUTOR(k, d) && book[k] == STARTED && wrote[k] -> \
		printf("executor %d: sees the connection of ticket %d broken\n", d, k); \
		book[k] = BROKEN; tell_broken(k) } \
	STEP_TRUNCATED(k) \
	/* A resend gets the stored outcome. */ \
	:: d_step { IS_EXECUTOR(k, d) && ARRIVED(k, d) && book[k] == ANSWERED && !dropped[k] && !answer[k] -> \
		printf("executor %d: resend, kept answer of ticket %d\n", d, k); \
		tell_answer(k) } \
	:: d_step { IS_EXECUTOR(k, d) && ARRIVED(k, d) && book[k] == VOIDED && !dropped[k] && !not_run[k] -> \
		printf("executor %d: resend, ticket %d is voided\n", d, k); \
		tell_not_run(k) } \
	/* Refused as expired: the book still knows that the ticket never started. */ \
	:: d_step { IS_EXECUTOR(k, d) && ARRIVED(k, d) && expired[k] && MAY_TELL_EXPIRED(k) && !not_run[k] -> \
		printf("executor %d: refuses ticket %d as expired\n", d, k); \
		tell_not_run(k) } \
	/* (*Book).Void */ \
	:: d_step { IS_EXECUTOR(k, d) && withdrawal[k] && MAY_VOID(k) && !voided[k] -> \
		printf("executor %d: voids ticket %d\n", d, k); \
		REMEMBER_VOID(k); voided[k] = true }

/* A truncated response does not count as a response. */
#ifdef MUT_TRUNCATED_ANSWER
#define STEP_TRUNCATED(k) \
	:: d_step { IS_EXECUTOR(k, d) && book[k] == STARTED && wrote[k] && connection[k] == CLOSED -> \
		printf("executor %d: takes the closed connection of ticket %d for an answer\n", d, k); \
		book[k] = ANSWERED; tell_answer(k) }
#else
#define STEP_TRUNCATED(k)
#endif

#define MAY_VOID(k) (!dropped[k] && (book[k] == UNUSED || book[k] == VOIDED))

#ifdef MUT_FORGET_EXPIRED
#define MAY_TELL_EXPIRED(k) (book[k] == UNUSED || dropped[k])
#else
#define MAY_TELL_EXPIRED(k) (book[k] == UNUSED && !dropped[k])
#endif

#ifdef MUT_TRANSPORT_RETRY
#define MAY_WRITE(k) true
#else
#define MAY_WRITE(k) (!wrote[k])
#endif

inline tell_broken(k)
{
#ifdef MUT_NOT_RUN_AFTER_WRITE
	tell_not_run(k)
#else
	unknown[k] = true
#endif
}

/* Any other daemon forwards. The ticket of an ended incarnation is never run. */
#define STEP_FORWARDER(k) \
	:: d_step { issued > k && executor[k] != d && TO(k, d) && !forward[k] -> \
		printf("daemon %d: forwards ticket %d\n", d, k); forward[k] = true } \
	:: d_step { issued > k && executor[k] != d && TO(k, d) && !withdrawal[k] -> \
		printf("daemon %d: sends VoidTicket of ticket %d\n", d, k); withdrawal[k] = true } \
	:: d_step { issued > k && executor[k] != d && TO(k, d) && MAY_TELL_VOIDED(k) && !not_run[k] -> \
		printf("daemon %d: forwarder ends ticket %d\n", d, k); \
		tell_not_run(k) } \
	:: d_step { issued > k && executor[k] != d && TO(k, d) && !unknown[k] -> \
		printf("daemon %d: tells unknown for ticket %d\n", d, k); unknown[k] = true } \
	:: d_step { IS_DEAD(k, d) && ARRIVED(k, d) && MAY_TELL_DEAD(k) -> tell_dead(k) } \
	STEP_VOID_DEAD(k)

/* A forwarder reports "not run" only after VOIDED, not after UNKNOWN or a
 * timeout. */
#if defined(MUT_NOT_RUN_ON_SILENCE)
#define MAY_TELL_VOIDED(k) (withdrawal[k])
#elif defined(MUT_NOT_RUN_BEFORE_FORWARD)
#define MAY_TELL_VOIDED(k) (!forward[k])
#else
#define MAY_TELL_VOIDED(k) (voided[k])
#endif

#define MAY_TELL_DEAD(k) (!unknown[k])
inline tell_dead(k)
{
	printf("daemon %d: ticket %d is of an earlier incarnation\n", d, k);
#ifdef MUT_NOT_RUN_WHEN_DEAD
	tell_not_run(k);
#endif
	unknown[k] = true
}

/* A later incarnation has no record of the ticket and responds UNKNOWN. */
#ifdef MUT_VOID_BY_OTHER_INCARNATION
#define STEP_VOID_DEAD(k) \
	:: d_step { IS_DEAD(k, d) && withdrawal[k] && !voided[k] -> \
		printf("daemon %d: answers VOIDED for earlier ticket %d\n", d, k); voided[k] = true }
#else
#define STEP_VOID_DEAD(k)
#endif

inline crash_book(k)
{
	if
	:: issued > k && executor[k] == d -> book[k] = UNUSED; wrote[k] = false;
		/* The connection is closed; a request in transit may still run. */
		if
		:: connection[k] == RAN -> connection[k] = CLOSED
		:: else -> skip
		fi
	:: else -> skip
	fi
}

inline crash()
{
	printf("daemon %d: crashes and restarts\n", d);
	crashes--;
	incarnation[d]++;
#if TICKETS > 2
	crash_book(2);
#endif
	crash_book(1);
	crash_book(0)
}

proctype daemon(byte d)
{
end:
	do
	STEP_EXECUTOR(0) STEP_FORWARDER(0)
	STEP_EXECUTOR(1) STEP_FORWARDER(1)
#if TICKETS > 2
	STEP_EXECUTOR(2) STEP_FORWARDER(2)
#endif
	:: d_step { crashes > 0 -> crash() }
	od
}

inline run_booking(k)
{
	printf("server: runs the booking of ticket %d\n", k);
	connection[k] = RAN;
	ran[k] = true;
	ledger++;
	/* The ledger never records two runs, and no run after "not run". */
	PROPERTY(at_most_once, ledger <= 1);
	PROPERTY(never_after_not_run, !not_run[k])
}

#define STEP_SERVER(k) \
	:: d_step { connection[k] == WRITTEN -> run_booking(k) } \
	:: d_step { connection[k] == WRITTEN -> \
		printf("network: loses the request of ticket %d\n", k); connection[k] = CLOSED } \
	:: d_step { connection[k] == RAN -> \
		printf("network: loses the answer of ticket %d\n", k); connection[k] = CLOSED } \
	/* Time passes for a ticket. */ \
	:: d_step { issued > k && !expired[k] -> \
		printf("clock: ticket %d expires\n", k); expired[k] = true } \
	/* After the retention time, only a ticket in a final state is dropped. */ \
	:: d_step { expired[k] && !dropped[k] && book[k] != STARTED -> \
		printf("executor: drops ticket %d from the book\n", k); dropped[k] = true }

proctype server()
{
end:
	do
	STEP_SERVER(0)
	STEP_SERVER(1)
#if TICKETS > 2
	STEP_SERVER(2)
#endif
	od
}

/* The caller requests a new ticket only after "not run". */
#ifdef MUT_NEW_AFTER_UNKNOWN
#define MAY_TAKE_NEW (not_run[LATEST] || unknown[LATEST])
#else
#define MAY_TAKE_NEW (not_run[LATEST])
#endif

inline take_ticket(d)
{
	printf("caller: takes ticket %d of executor %d\n", issued, d);
	executor[issued] = d;
	named[issued] = incarnation[d];
	issued++
}

proctype caller()
{
end:
	do
	:: d_step { issued == 0 -> take_ticket(0) }
	:: d_step { issued > 0 && issued < TICKETS && MAY_TAKE_NEW -> take_ticket(0) }
	:: d_step { issued > 0 && issued < TICKETS && MAY_TAKE_NEW -> take_ticket(1) }
	:: d_step { issued > 0 && !TO(LATEST, 0) ->
		printf("caller: sends ticket %d to daemon 0\n", LATEST); TO(LATEST, 0) = true }
	:: d_step { issued > 0 && !TO(LATEST, 1) ->
		printf("caller: sends ticket %d to daemon 1\n", LATEST); TO(LATEST, 1) = true }
	od
}

/* Witnesses: the assertion of each must fail, which shows that its state is
 * reachable. */
#ifdef WITNESS_SECOND_TICKET
#define WITNESS (ran[1] && answer[1])
#endif
#ifdef WITNESS_RAN_AFTER_CRASH
#define WITNESS (ran[0] && IS_DEAD(0, 0) && connection[0] == RAN)
#endif
#ifdef WITNESS_BROKEN_BUT_RAN
#define WITNESS (ran[0] && unknown[0] && book[0] == BROKEN)
#endif
#ifdef WITNESS_VOIDED
#define WITNESS (voided[0] && not_run[0] && forward[0])
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
		run server();
		run caller()
	}
}
