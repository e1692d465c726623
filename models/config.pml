/* Acceptance and distribution of configuration versions, as implemented in
 * core/vers/change.go, io/vers/submit.go and io/vers/syncer.go.
 *
 * Two operators submit changes based on the same revision. The store may be
 * unreachable or lose replies. A relay forwards the version that it read at any
 * later time, which includes a paused relay that still acts as one. Messages may
 * be delayed, repeated or lost. An entry applies versions from the store and
 * from relays.
 *
 * FAULT 1: entries apply any version, not only higher ones.
 * FAULT 2: a change whose reply was lost is reported as rejected.
 * FAULT 3: the write does not compare the base revision.
 */
#ifndef FAULT
#define FAULT 0
#endif

#define OPERATORS 2
#define ENTRIES 2

#define NO_RESULT 0
#define ACCEPTED 1
#define REJECTED 2
#define PENDING 3

byte revision = 1;
byte change[8];
bool accepted[OPERATORS + 1];
byte reportedResult[OPERATORS + 1];
byte activeRevision[ENTRIES];
byte relayRevision[2];
byte restartCount = 0;

/* applyVersion applies revision r at entry e if it is higher than the active one. */
inline applyVersion(e, r) {
	d_step {
		if
		:: r > activeRevision[e] || (FAULT == 1 && r > 0) ->
			assert(r >= activeRevision[e]);
			assert(r == 1 || change[r] != 0);
			activeRevision[e] = r
		:: else
		fi
	}
}

/* operator submits change c, which is based on revision 1, up to three times. */
proctype operator(byte c) {
	byte attempts = 0, result;
	bool replyMissing = false;
submit:
	attempts++;
	if
	:: attempts > 3 -> if :: replyMissing -> reportedResult[c] = PENDING :: else -> reportedResult[c] = REJECTED fi; goto done
	:: else
	fi;
	if
	:: d_step { /* the store executes the write */
			if
			:: revision == 1 || FAULT == 3 ->
				revision++;
				change[revision] = c;
				accepted[c] = true;
				result = ACCEPTED
			:: revision != 1 && FAULT != 3 ->
				/* The conflict response shows whether this change was accepted. */
				if
				:: accepted[c] -> result = ACCEPTED
				:: else -> result = REJECTED
				fi
			fi
		};
		if
		:: reportedResult[c] = result; goto done
		:: true -> replyMissing = true; if :: FAULT == 2 -> reportedResult[c] = REJECTED; goto done :: else -> goto submit fi
		fi
	:: true -> replyMissing = true; goto submit /* no reply from the store */
	fi;
done:
	skip
}

/* relay reads the store and forwards what it read at any later time. */
proctype relay(byte i) {
	byte r, n = 0;
	do
	:: n < 2 -> relayRevision[i] = revision; n++
	:: r = relayRevision[i]; applyVersion(0, r)
	:: r = relayRevision[i]; applyVersion(1, r)
	:: n >= 1 -> break
	od
}

/* restartedEntry is entry 1 after a restart: it has no version and loads one from
 * the store or from its peer. */
proctype restartedEntry() {
	byte r;
	if
	:: r = revision
	:: r = activeRevision[0]
	fi;
	d_step { activeRevision[1] = 0 };
	applyVersion(1, r)
}

init {
	atomic {
		activeRevision[0] = 1;
		activeRevision[1] = 1;
		relayRevision[0] = 1;
		relayRevision[1] = 1;
		run operator(1);
		run operator(2);
		run relay(0);
		run relay(1);
		run restartedEntry()
	}
	(_nr_pr == 1);
	assert(!(reportedResult[1] == REJECTED && accepted[1]));
	assert(!(reportedResult[2] == REJECTED && accepted[2]));
	assert(!(reportedResult[1] == ACCEPTED && !accepted[1]));
	assert(!(reportedResult[2] == ACCEPTED && !accepted[2]));
	assert(!(accepted[1] && accepted[2]))
}
