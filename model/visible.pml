/*
 * A rejected design: each daemon that considers itself the home scales the limit
 * by the visible fraction of the published group.
 *
 * Links fail and recover at any time. With -DTRANSITIVE only partitions into
 * disjoint groups occur; without it, A and B may each see C but not each other.
 */
#define PROPERTY(name, condition) assert(condition)

#define N 3
#define LIMIT 3

bool down[N];             /* down[i]: no link between the other two daemons */
byte running[N];

#define SEES(d, e)  (d == e || !down[N - (d) - (e)])
#define VISIBLE(d)  (SEES(d, 0) + SEES(d, 1) + SEES(d, 2))
#define HOME(d)     (d == 0 || !SEES(d, 0)) && (d != 2 || !SEES(2, 1))
#define ALLOWED(d)  ((VISIBLE(d) * LIMIT) / N)

/* Visibility is not transitive only if exactly one link is down. */
#ifdef TRANSITIVE
#define MAY_SERVE (down[0] + down[1] + down[2] != 1)
#else
#define MAY_SERVE true
#endif
#define IDLE (running[0] + running[1] + running[2] == 0)

proctype daemon(byte d)
{
	do
	:: d_step { MAY_SERVE && HOME(d) && running[d] < ALLOWED(d) ->
		printf("home %d: admits a request\n", d);
		running[d]++;
		/* The engine never runs more than the limit. */
		PROPERTY(engine_limit, running[0] + running[1] + running[2] <= LIMIT) }
	:: d_step { running[d] > 0 -> running[d]-- }
	od
}

/* Links change only while the engine is idle, so that requests admitted before a
 * change play no part in the counterexample. */
proctype network()
{
	do
	:: d_step { IDLE -> down[0] = !down[0]; printf("network: link of 1 and 2 changes\n") }
	:: d_step { IDLE -> down[1] = !down[1]; printf("network: link of 0 and 2 changes\n") }
	:: d_step { IDLE -> down[2] = !down[2]; printf("network: link of 0 and 1 changes\n") }
	od
}

init
{
	atomic {
		run daemon(0);
		run daemon(1);
		run daemon(2);
		run network()
	}
}
