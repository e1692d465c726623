/* Concurrent attempts with one idempotency key at three entries, as implemented in
 * core/proc/keytable.go and io/call/keylookup.go, for key lookup in the store. No
 * message is lost and no entry restarts. Exactly one attempt must execute the
 * request, and each must end.
 *
 * FAULT 1: an attempt that is acquiring the key grants it to any other attempt.
 * FAULT 2: an attempt does not record that it granted the key.
 * FAULT 3: dispatch does not check whether the key was granted to another entry.
 */
#ifndef FAULT
#define FAULT 0
#endif

#define ENTRIES 3

/* States of the key at an entry. */
#define NONE 0
#define ACQUIRING 1
#define ENDED_RAN 2
#define MOVED 3

byte state[ENTRIES];
byte movedTo[ENTRIES];
/* The entry in the claim that the store holds, plus 1, or 0. */
byte claim = 0;
byte executions = 0;
byte finished = 0;

/* The entry with the lower number keeps a key that both are acquiring. */
#define keeps(entry, requester) (FAULT != 1 && entry < requester)

proctype attempt(byte e) {
	byte replaces, found, asked;
	replaces = 0;
	state[e] = ACQUIRING;
claiming:
	atomic {
		asked = 0;
		if
		:: claim == 0 || claim == replaces || claim == e + 1 -> claim = e + 1
		:: else -> asked = claim
		fi;
		found = asked
	}
	if
	:: asked == 0 ->
		atomic {
			if
			:: state[e] == ACQUIRING || FAULT == 3 -> state[e] = ENDED_RAN; executions++
			:: else
			fi
		}
		goto done
	:: else
	fi;
asking:
	atomic {
		/* The reply is delayed while the other attempt keeps the key. */
		!(state[asked - 1] == ACQUIRING && keeps(asked - 1, e));
		if
		:: state[asked - 1] == ENDED_RAN -> goto done
		:: state[asked - 1] == MOVED && movedTo[asked - 1] == e -> replaces = found; goto claiming
		:: state[asked - 1] == MOVED && movedTo[asked - 1] != e -> asked = movedTo[asked - 1] + 1; goto asking
		:: else ->
			if
			:: FAULT != 2 -> state[asked - 1] = MOVED; movedTo[asked - 1] = e
			:: else
			fi;
			replaces = found;
			goto claiming
		fi
	}
done:
	finished++
}

init {
	atomic {
		run attempt(0);
		run attempt(1);
		run attempt(2)
	}
	finished == ENTRIES;
	assert(executions == 1)
}
