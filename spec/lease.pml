/*
 * The lease of one unit: 3 voters, of which the processes 0 and 1 are also its candidates, and one
 * cold upstream. Times are timers that every tick counts down, so a process that takes no step
 * while ticks go by is a paused one.
 *
 * A request reaches its voter at once, or it is a late message, or it is lost, which is
 * the same as not sent. A grant waits until it is delivered or replaced. A release is delivered at any
 * time or never. MUTATION_x takes one guard out; the checker must then find a violation.
 */

#ifndef RESTARTS
#define RESTARTS 1      /* process restarts in a run */
#endif
#ifndef LATE
#define LATE 1          /* late messages in a run */
#endif
#define LEASE 2         /* ticks of a lease, counted by the owner from its request and by the voter from receipt */
#define GRACE 1         /* ticks after a lease within which requests sent under it end */
#define VOTERS 3
#define CANDIDATES 2
#define ALLOWANCE 1     /* requests that the cold upstream bears */
#define NOBODY 0
#define GONE 3          /* holder of a vote that was granted to an earlier incarnation */

#ifdef MUTATION_MAJORITY
#define MAJORITY 1
#else
#define MAJORITY 2
#endif

#define PAIR(c, v) ((c) * VOTERS + (v))

byte holder[VOTERS];        /* candidate + 1, or GONE; NOBODY when the vote is free */
byte until[VOTERS];         /* ticks to the end of the grant, and GRACE */
bool closed[VOTERS];        /* the holder has closed the round of this grant: its release is on the way or lost */
byte quiet[VOTERS];         /* ticks for which earlier owners' requests may run; above GRACE is the no-grant period */

byte reply[6];              /* by PAIR: ticks that a grant on its way is worth to the candidate; 0 is none */
byte grant[6];              /* by PAIR: ticks for which the candidate counts a grant */
bool owns[CANDIDATES];
byte startIn[CANDIDATES];   /* ticks until a new owner may send */
byte lapsed[CANDIDATES];    /* ticks for which requests of a lease that ran out may still run */
#ifdef MUTATION_VALID_UNTIL
bool decided[CANDIDATES];   /* the owner decided to send and has not done it yet */
#endif
#ifdef LIVENESS
bool asking[CANDIDATES];
bool renewed[CANDIDATES];
byte backoff[CANDIDATES];
#endif

/* The late message. */
#define NONE 0
#define REQUEST 1
#define RELEASE 2
byte late;
byte lateFrom, lateTo;      /* candidate and voter */
byte lateLeft;              /* ticks that a late request is worth; 0 also when its round is closed */

byte flight[3];             /* ticks for which a request of candidate 0, 1 or an earlier incarnation runs */
byte restarts;
byte lates;
bool calm;                  /* no faults any more */

#define OWNED (owns[0] || owns[1])
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define DOWN(x) x = x - (x > 0)
#define COUNT(c) ((grant[PAIR(c, 0)] > 0) + (grant[PAIR(c, 1)] > 0) + (grant[PAIR(c, 2)] > 0))

/* The time until which a majority of the grants holds: the second largest of three. */
#define SECOND(x, y, z) (MAX(MIN(x, y), MIN(MAX(x, y), z)))
#define LEASELEFT(c) SECOND(grant[PAIR(c, 0)], grant[PAIR(c, 1)], grant[PAIR(c, 2)])

inline check() {
	i = 0;
	assert(!(owns[0] && owns[1]));
	assert((flight[0] > 0) + (flight[1] > 0) + (flight[2] > 0) <= ALLOWANCE)
}

inline clearLate() {
	late = NONE;
	lateFrom = 0;
	lateTo = 0;
	lateLeft = 0
}

inline delay(what, c, v) {
	lates++;
	late = what;
	lateFrom = c;
	lateTo = v
}

/* Voter v decides on a request that is worth some ticks. A request of a closed round blocks the vote, but its
 * grant is worth nothing to the candidate. A late request that is older than one granted is dropped. */
inline decide(c, v, worth) {
	if
	:: quiet[v] > GRACE || (holder[v] != NOBODY && holder[v] != c + 1 && until[v] > GRACE)
	:: else ->
		if
		:: holder[v] != NOBODY && holder[v] != c + 1 -> quiet[v] = MAX(quiet[v], until[v])
		:: else
		fi;
		holder[v] = c + 1;
		until[v] = LEASE + GRACE;
		closed[v] = (worth == 0);
#ifndef MUTATION_STALE_REQUEST
		if
		:: late == REQUEST && lateFrom == c && lateTo == v -> clearLate()
		:: else
		fi;
#endif
		reply[PAIR(c, v)] = MAX(reply[PAIR(c, v)], worth)
	fi
}

inline receiveGrant(c, v) {
#ifdef MUTATION_FROM_RECEIPT
	grant[PAIR(c, v)] = LEASE;
#else
	grant[PAIR(c, v)] = MAX(grant[PAIR(c, v)], reply[PAIR(c, v)]);
#endif
	reply[PAIR(c, v)] = 0;
	if
#ifndef MUTATION_START_WAIT
	:: !owns[c] -> startIn[c] = MAX(startIn[c], MIN(quiet[v], GRACE))
#endif
	:: else
	fi;
	if
	:: COUNT(c) >= MAJORITY -> owns[c] = true
	:: else
	fi
}

inline receiveRelease(v) {
#ifndef MUTATION_RELEASE_WAIT
	if
	:: holder[v] == 1 -> quiet[v] = MAX(quiet[v], lapsed[0])
	:: holder[v] == 2 -> quiet[v] = MAX(quiet[v], lapsed[1])
	:: else
	fi;
#endif
	holder[v] = NOBODY;
	until[v] = 0;
	closed[v] = false
}

inline receiveLate() {
	if
	:: late == REQUEST ->
		late = NONE;
		decide(lateFrom, lateTo, lateLeft)
#ifdef MUTATION_STALE_RELEASE
	:: late == RELEASE && holder[lateTo] == lateFrom + 1 -> receiveRelease(lateTo)
#else
	:: late == RELEASE && holder[lateTo] == lateFrom + 1 && closed[lateTo] -> receiveRelease(lateTo)
#endif
	:: else
	fi;
	clearLate()
}

/* Closing a round makes its requests and grants worthless; a release goes to every voter. */
inline close(c) {
	for (i : 0 .. VOTERS - 1) {
#ifndef MUTATION_CLOSED_GRANT
		reply[PAIR(c, i)] = 0;
#endif
		grant[PAIR(c, i)] = 0;
		closed[i] = closed[i] || holder[i] == c + 1
	}
	if
	:: late == REQUEST && lateFrom == c -> lateLeft = 0
	:: else
	fi;
	owns[c] = false;
	startIn[c] = 0
}

/* A new process takes the seat n: its voter knows nothing, and its candidate has a new incarnation. */
inline restartVoter(n) {
	restarts++;
	holder[n] = NOBODY;
	until[n] = 0;
	closed[n] = false;
#ifdef MUTATION_HOLD
	quiet[n] = 0
#else
	quiet[n] = LEASE + GRACE
#endif
}

inline restartCandidate(n) {
	for (i : 0 .. VOTERS - 1) {
		reply[PAIR(n, i)] = 0;
		grant[PAIR(n, i)] = 0;
#ifndef MUTATION_INCARNATION
		if
		:: holder[i] == n + 1 ->
			holder[i] = GONE;
			closed[i] = false
		:: else
		fi
#endif
	}
	if
	:: late != NONE && lateFrom == n -> clearLate()
	:: else
	fi;
	owns[n] = false;
	startIn[n] = 0;
	lapsed[n] = 0;
#ifdef MUTATION_VALID_UNTIL
	decided[n] = false;
#endif
	flight[2] = MAX(flight[2], flight[n]);
	flight[n] = 0
}

inline tick() {
	DOWN(lateLeft);
	for (i : 0 .. 5) {
		DOWN(reply[i]);
		DOWN(grant[i])
	}
	for (i : 0 .. VOTERS - 1) {
#ifndef MUTATION_EXPIRY
		DOWN(until[i]);
#endif
		DOWN(quiet[i]);
		DOWN(flight[i]);
		if
		:: until[i] == 0 ->
			holder[i] = NOBODY;
			closed[i] = false
		:: else
		fi
	}
	for (i : 0 .. CANDIDATES - 1) {
		DOWN(startIn[i]);
		DOWN(lapsed[i]);
		if
		:: owns[i] && COUNT(i) < MAJORITY ->
			owns[i] = false;
			startIn[i] = 0;
			lapsed[i] = GRACE
		:: else
		fi
	}
}

/*
 * The request ends upstream GRACE after the lease under which it is sent. Whether the lease holds is
 * decided when the request goes out; the mutation sends what was decided before a pause.
 */
inline send(c) {
#ifdef MUTATION_VALID_UNTIL
	decided[c] = false;
	flight[c] = LEASE + GRACE
#else
#ifdef MUTATION_CLIP
	flight[c] = LEASE + GRACE + 1
#else
	flight[c] = LEASELEFT(c) + GRACE
#endif
#endif
}

#ifdef MUTATION_VALID_UNTIL
#define SEND(c) \
	:: d_step { !calm && owns[c] && startIn[c] == 0 && flight[c] == 0 && !decided[c] -> decided[c] = true } \
	:: d_step { !calm && decided[c] -> send(c); check() }
#else
#define SEND(c) \
	:: d_step { !calm && owns[c] && startIn[c] == 0 && flight[c] == 0 -> send(c); check() }
#endif

#define MESSAGES(c, v) \
	:: d_step { !calm -> decide(c, v, LEASE); check() } \
	:: d_step { !calm && lates < LATE && late == NONE -> delay(REQUEST, c, v); lateLeft = LEASE } \
	:: d_step { !calm && reply[PAIR(c, v)] > 0 -> receiveGrant(c, v); check() } \
	:: d_step { !calm && lates < LATE && late == NONE && holder[v] == c + 1 && closed[v] -> delay(RELEASE, c, v) }

#define VOTER(v) \
	:: d_step { !calm && closed[v] && (holder[v] == 1 || holder[v] == 2) -> receiveRelease(v); check() }

#define CANDIDATE(c) \
	SEND(c) \
	:: d_step { !calm && flight[c] > 0 -> flight[c] = 0 } \
	:: d_step { !calm && !owns[c] -> close(c); check() } \
	:: d_step { !calm && owns[c] && flight[c] == 0 -> lapsed[c] = 0; close(c); check() } \
	:: d_step { !calm && restarts < RESTARTS -> restartVoter(c); restartCandidate(c); check() }

#ifdef LIVENESS
#define BUSY (late || reply[0] || reply[1] || reply[2] || reply[3] || reply[4] || reply[5] \
	|| closed[0] || closed[1] || closed[2])
#define FREE(c) (holder[c] == NOBODY || holder[c] == (c) + 1 || until[c] <= GRACE)
#define FAILED(c) (!owns[c] && asking[c])
#define DUE(c) (owns[c] && !renewed[c])
#define READY(c) (!owns[c] && !asking[c] && backoff[c] == 0 && FREE(c))

inline ask(c) {
	decide(c, 0, LEASE);
	decide(c, 1, LEASE);
	decide(c, 2, LEASE);
	asking[c] = !owns[c];
	renewed[c] = owns[c]
}

inline retreat(c, ticks) {
	close(c);
	asking[c] = false;
	backoff[c] = ticks
}

inline calmTick() {
	tick();
	for (i : 0 .. CANDIDATES - 1) {
		DOWN(backoff[i]);
		renewed[i] = false
	}
}

/* Without faults messages arrive and candidates act before time goes on. Candidates
 * draw different back-off times, as random ones do sooner or later. */
#define CALM \
	:: d_step { !calm -> calm = true } \
	:: d_step { calm && late -> receiveLate(); check() } \
	:: d_step { calm && closed[0] -> receiveRelease(0); check() } \
	:: d_step { calm && closed[1] -> receiveRelease(1); check() } \
	:: d_step { calm && closed[2] -> receiveRelease(2); check() } \
	:: d_step { calm && reply[0] -> receiveGrant(0, 0); check() } \
	:: d_step { calm && reply[1] -> receiveGrant(0, 1); check() } \
	:: d_step { calm && reply[2] -> receiveGrant(0, 2); check() } \
	:: d_step { calm && reply[3] -> receiveGrant(1, 0); check() } \
	:: d_step { calm && reply[4] -> receiveGrant(1, 1); check() } \
	:: d_step { calm && reply[5] -> receiveGrant(1, 2); check() } \
	:: d_step { calm && !BUSY -> \
		if \
		:: FAILED(0) -> retreat(0, 1) \
		:: else -> \
			if \
			:: FAILED(1) -> retreat(1, 2) \
			:: else -> \
				if \
				:: DUE(0) || READY(0) -> ask(0) \
				:: else -> \
					if \
					:: DUE(1) || READY(1) -> ask(1) \
					:: else -> calmTick() \
					fi \
				fi \
			fi \
		fi; \
		check() }
#else
#define CALM
#endif

active proctype world() {
	byte i;
	do
	:: d_step { !calm -> tick(); check() }
	:: d_step { !calm && late -> receiveLate(); check() }
	:: d_step { !calm && restarts < RESTARTS -> restartVoter(2); check() }
	VOTER(0)
	VOTER(1)
	VOTER(2)
	MESSAGES(0, 0)
	MESSAGES(0, 1)
	MESSAGES(0, 2)
	MESSAGES(1, 0)
	MESSAGES(1, 1)
	MESSAGES(1, 2)
	CANDIDATE(0)
	CANDIDATE(1)
	CALM
	od
}

#ifdef LIVENESS
ltl live { [] (calm -> <> [] OWNED) }
#endif
