/*
 * One request with a single-use token. The caller sends it SENDS times through any daemons. Each send reaches
 * the issuer at any time or never; the issuer forwards the query to the owner, which sends it to an upstream.
 * Replies are lost, and what was sent may run after its sender gave up on it.
 *
 * Telling the caller is never undone, so a lost answer needs no step of its own: the model tells each one.
 * MUTATION_x takes one guard out; the checker must then find a violation.
 */

#ifndef SENDS
#define SENDS 3         /* times that the caller sends the request */
#endif
#define RETRIES 2       /* times that issuer and owner each retry */
#define FORWARDS 3      /* forwards that can be under way; more than one only in mutations */

/* Verdicts, and states of the token at its issuer. */
#define NOT_RUN 0
#define MAY_HAVE_RUN 1
#define RAN 2
#define UNUSED 3
#define RUNNING 4

/* States of a send of the caller. */
#define UNSENT 0
#define ON_ITS_WAY 1
#define ENDED 2
byte sent[SENDS];

byte token = UNUSED;
bool restarted;             /* the issuer's process is gone; another has its seat */

/* States of a forward to the owner. */
#define NONE 0
#define TRANSIT 1
#define OWNER 2             /* the owner works on it */
byte forward[FORWARDS];
bool awaited[FORWARDS];     /* the issuer waits for the reply */
bool known[FORWARDS];       /* the owner got the response of the run */
byte attempts[FORWARDS];    /* requests at upstreams that may run */

byte issuerRetries, ownerRetries;
byte runs;
bool toldNotRun, toldRan;

inline check() {
	i = 0;
	assert(runs <= 1);
	assert(!(toldNotRun && runs > 0));
	assert(!(toldRan && runs == 0))
}

inline tell(verdict) {
	toldNotRun = toldNotRun || (verdict) == NOT_RUN;
	toldRan = toldRan || (verdict) == RAN
}

inline startForward() {
	for (i : 0 .. FORWARDS - 1) {
		if
		:: forward[i] == NONE && attempts[i] == 0 ->
			forward[i] = TRANSIT;
			awaited[i] = true;
			break
		:: else
		fi
	}
}

inline accept() {
#ifndef MUTATION_MARK_LATE
	token = RUNNING;
#endif
	startForward()
}

/* The issuer refuses before it sent anything. The refusal is the token's outcome, because
 * another send of the same request may still be on its way. */
inline refuse() {
#ifndef MUTATION_REFUSE_UNSPENT
	token = NOT_RUN;
#endif
	tell(NOT_RUN)
}

/* A send reaches the seat of the issuer and is not the first. */
inline resend() {
	if
	:: restarted ->
#ifdef MUTATION_GONE_NOT_RUN
		tell(NOT_RUN)
#else
		tell(MAY_HAVE_RUN)
#endif
	:: else ->
		if
		:: token == RUNNING ->
#ifdef MUTATION_RUNNING_NOT_RUN
			tell(NOT_RUN)
#else
			tell(MAY_HAVE_RUN)
#endif
		:: else -> tell(token)
		fi
	fi
}

/* The issuer learns what became of a forward. */
inline outcome(f, verdict) {
	awaited[f] = false;
	if
	:: !restarted ->
		token = verdict;
		tell(verdict)
	:: else
	fi
}

/* The issuer tries again after NotRun. */
inline retry(f) {
	awaited[f] = false;
	issuerRetries++;
	startForward()
}

#ifdef MUTATION_RESTART_ACCEPTS
#define NEW_TOKEN (token == UNUSED || restarted)
#else
#define NEW_TOKEN (token == UNUSED && !restarted)
#endif

#ifdef MUTATION_ENTRY_NOT_RUN
#define ENTRY_VERDICT NOT_RUN
#else
#define ENTRY_VERDICT MAY_HAVE_RUN
#endif

/* A daemon that could not send one byte to the issuer cannot say NotRun: an earlier send may run. */
#define SEND(s) \
	:: d_step { sent[s] == UNSENT -> sent[s] = ON_ITS_WAY } \
	:: d_step { sent[s] == ON_ITS_WAY -> sent[s] = ENDED; tell(ENTRY_VERDICT); check() } \
	:: d_step { sent[s] == ON_ITS_WAY && NEW_TOKEN -> sent[s] = ENDED; accept(); check() } \
	:: d_step { sent[s] == ON_ITS_WAY && NEW_TOKEN -> sent[s] = ENDED; refuse(); check() } \
	:: d_step { sent[s] == ON_ITS_WAY && !NEW_TOKEN -> sent[s] = ENDED; resend(); check() }

/* What the issuer takes for NotRun: no byte went out, or the owner says so. */
#define FAILED(f) (forward[f] == TRANSIT || (forward[f] == OWNER && attempts[f] == 0 && !known[f]))

#ifdef MUTATION_LOST_NOT_RUN
#define LOST_VERDICT NOT_RUN
#else
#define LOST_VERDICT MAY_HAVE_RUN
#endif

#ifdef MUTATION_ISSUER_RETRY
#define LOST_RETRY(f) \
	:: d_step { awaited[f] && !restarted && issuerRetries < RETRIES -> retry(f); check() }
#else
#define LOST_RETRY(f)
#endif

#ifdef MUTATION_OWNER_RETRY
#define OWNER_MAY_SEND(f) (attempts[f] <= 1 && !known[f])
#else
#define OWNER_MAY_SEND(f) (attempts[f] == 0 && !known[f])
#endif

/* An attempt that the owner lost sight of stays in `attempts`: it may run later. */
#define FORWARD(f) \
	:: d_step { awaited[f] && FAILED(f) -> forward[f] = NONE; outcome(f, NOT_RUN); check() } \
	:: d_step { awaited[f] && FAILED(f) && !restarted && issuerRetries < RETRIES -> \
		forward[f] = NONE; retry(f); check() } \
	:: d_step { awaited[f] -> outcome(f, LOST_VERDICT); check() } \
	LOST_RETRY(f) \
	:: d_step { forward[f] == TRANSIT -> forward[f] = OWNER; attempts[f] = 1 } \
	:: d_step { forward[f] == OWNER && OWNER_MAY_SEND(f) && ownerRetries < RETRIES -> \
		ownerRetries++; attempts[f]++ } \
	:: d_step { attempts[f] > 0 && !known[f] -> attempts[f]-- /* shed */ } \
	:: d_step { attempts[f] > 0 -> attempts[f]--; runs++; known[f] = true; check() } \
	:: d_step { forward[f] == OWNER && known[f] && awaited[f] -> forward[f] = NONE; outcome(f, RAN); check() }

active proctype world() {
	byte i;
	do
	SEND(0)
	SEND(1)
	SEND(2)
	FORWARD(0)
	FORWARD(1)
	FORWARD(2)
	:: d_step { !restarted -> restarted = true }
	od
}
