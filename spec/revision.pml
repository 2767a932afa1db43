/*
 * Accepted changes of the operators' document.
 *
 * Two operators write by compare-and-swap. A reply can be lost after the write took effect, and a
 * read can return an old record. Two daemons learn revisions from the store and from each other,
 * and one of them restarts.
 *
 * Safety: a change that is called accepted is in the history at the revision that was told;
 * a change that is called NotRun is not in the history and never will be; a revision holds one change;
 * a daemon never goes back to a lower revision within one lifetime.
 * Liveness: in the end both daemons have the newest revision.
 */
#define PENDING 0
#define ACCEPTED 1
#define NOT_RUN 2
#define MAY_HAVE_RUN 3

#ifndef TRIES
#define TRIES 3
#endif

byte revision = 0;
byte history[4];
byte verdict[3];
byte told[3];
byte finished = 0;
byte inForce[2];
byte highest[2];
bool restarted = false;

inline checkVerdicts() {
	d_step {
		assert(verdict[1] != ACCEPTED || history[told[1]] == 1);
		assert(verdict[2] != ACCEPTED || history[told[2]] == 2);
		assert(verdict[1] != NOT_RUN || (history[1] != 1 && history[2] != 1 && history[3] != 1));
		assert(verdict[2] != NOT_RUN || (history[1] != 2 && history[2] != 2 && history[3] != 2));
	}
}

inline findOperation() {
	d_step {
		found = 0;
#ifdef MUTATION_NO_HISTORY
		if
		:: seen > 0 && history[seen] == id -> found = seen
		:: else -> skip
		fi;
#else
		i = 1;
		do
		:: i <= seen ->
			if
			:: history[i] == id -> found = i
			:: else -> skip
			fi;
			i++
		:: else -> break
		od;
#endif
		i = 0
	}
}

/* swap leaves in reply: 0 conflict, 1 finished, 2 lost. */
inline swap() {
	atomic {
		reply = 0;
		if
#ifdef MUTATION_BLIND_WRITE
		:: revision < 3 ->
#else
		:: revision == seen ->
#endif
			revision++;
			history[revision] = id;
			if
			:: reply = 1
			:: reply = 2
			fi
		:: else -> skip
		fi
	}
}

proctype Operator(byte id) {
	byte seen, found, i, reply, expected;
	byte tries = 0;
	if
	:: expected = 0
	:: expected = 1
	fi;
	do
	:: verdict[id] != PENDING -> break
	:: verdict[id] == PENDING && tries == TRIES ->
		verdict[id] = MAY_HAVE_RUN
	:: verdict[id] == PENDING && tries < TRIES ->
		tries++;
		atomic {
			if
			:: seen = revision
			:: revision > 0 -> seen = revision - 1
			fi
		}
		findOperation();
		if
		:: found > 0 -> atomic { told[id] = found; verdict[id] = ACCEPTED }
		:: found == 0 && seen > expected -> verdict[id] = NOT_RUN
		:: found == 0 && seen < expected -> skip
		:: found == 0 && seen == expected ->
			swap();
			if
			:: reply == 1 -> atomic { told[id] = seen + 1; verdict[id] = ACCEPTED }
#ifdef MUTATION_LOST_IS_NOT_RUN
			:: reply == 2 -> verdict[id] = NOT_RUN
#else
			:: reply == 2 -> skip
#endif
			:: reply == 0 -> skip
			fi
		fi;
		checkVerdicts()
	od;
	checkVerdicts();
	finished++
}

inline apply(d, r) {
	d_step {
#ifndef MUTATION_NO_REVISION_CHECK
		if
		:: r > inForce[d] -> inForce[d] = r
		:: else -> skip
		fi;
#else
		inForce[d] = r;
#endif
		assert(inForce[d] >= highest[d]);
		highest[d] = inForce[d]
	}
}

/* Daemon learns the newest revision again and again. */
proctype Daemon(byte d) {
end:	do
	:: atomic { inForce[d] < revision -> apply(d, revision) }
	od
}

/* Stale delivers old revisions from the store and from a peer, in any order, and restarts daemon 1 once. */
proctype Stale() {
	byte n = 0;
	do
	:: n < 3 -> atomic { n++; apply(0, inForce[1]) }
	:: n < 3 -> atomic { n++; apply(1, inForce[0]) }
	:: n < 3 && revision > 0 -> atomic { n++; apply(0, revision - 1) }
	:: n < 3 && !restarted -> atomic { n++; restarted = true; inForce[1] = 0; highest[1] = 0 }
	:: n == 3 -> break
	od
}

init {
	atomic {
		run Operator(1);
		run Operator(2);
		run Daemon(0);
		run Daemon(1);
		run Stale()
	}
}

#ifdef LIVENESS
ltl converge { <> [] (finished == 2 && inForce[0] == revision && inForce[1] == revision) }
#endif
