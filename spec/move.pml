/*
 * The final state of a rollout.
 *
 * Two daemons evaluate a rollout, and an operator may cancel it. A fault may show at any time; it
 * is a flag that only goes from clear to set and reaches the other daemon later. The final
 * state is written by compare-and-swap; a reply can be lost after the write took effect.
 *
 * Safety: the final state is written once; a daemon reports only the state that the store holds;
 * Done is never written by a daemon that knows of a fault; no traffic goes to the new version
 * from a daemon that knows of a fault.
 * Liveness: every daemon reports a final state in the end.
 */
#define RUNNING 0
#define DONE 1
#define TAKEN_BACK 2

byte stored = RUNNING;
byte writes = 0;
byte reported[2];
bool fault = false;
bool knows[2];
bool sending[2];

inline write(state, forbidden) {
	atomic {
		if
#ifdef MUTATION_BLIND_WRITE
		:: true ->
#else
		:: stored == RUNNING ->
#endif
			assert(!forbidden);
			stored = state;
			writes++;
			assert(writes <= 1)
		:: else -> skip
		fi
	}
}

proctype Evaluator(byte d) {
	byte wanted;
	do
	:: reported[d] != RUNNING -> break
	:: reported[d] == RUNNING ->
		/* Learn the flag, then send according to it. */
		atomic {
			if
			:: fault -> knows[d] = true
			:: true -> skip
			fi;
#ifdef MUTATION_SEND_AFTER_FAULT
			sending[d] = true;
#else
			sending[d] = !knows[d];
#endif
			assert(!(sending[d] && knows[d]))
		};
		if
		:: knows[d] -> wanted = TAKEN_BACK
		:: !knows[d] -> wanted = DONE
		fi;
		write(wanted, (wanted == DONE && knows[d]));
		/* The reply may be lost, so the state is read back before it is reported. */
#ifdef MUTATION_REPORT_WANTED
		reported[d] = wanted;
#else
		atomic {
			if
			:: stored != RUNNING -> reported[d] = stored
			:: else -> skip
			fi
		};
#endif
		assert(reported[d] == RUNNING || reported[d] == stored);
		sending[d] = false
	od
}

proctype Operator() {
	if
	:: write(TAKEN_BACK, false)
	:: skip
	fi
}

proctype Version() {
	if
	:: fault = true
	:: skip
	fi
}

init {
	atomic {
		run Evaluator(0);
		run Evaluator(1);
		run Operator();
		run Version()
	}
}

#ifdef LIVENESS
ltl final { <> (reported[0] != RUNNING && reported[1] != RUNNING) }
#endif
