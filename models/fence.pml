/* The fence and the claims for one idempotency key, as in core/proc/keys.go,
 * core/proc/claims.go and io/call/finder.go, with the finder "store".
 *
 * Two entries get attempts of the same request. Messages and the replies of the
 * store may be lost; an entry may be arbitrarily slow between any two steps,
 * which covers pauses and late messages; an entry may restart and forget.
 * A question that is repeated late is covered by the process "late".
 *
 * FAULT 1: dispatch doesn't look whether the key was granted to another entry.
 * FAULT 2: an entry that has restarted vouches for its former generation.
 * FAULT 3: a takeover doesn't compare the owner that it replaces.
 */
#ifndef FAULT
#define FAULT 0
#endif

#define ENTRIES 2
#define ATTEMPTS 3
#define TRIES 8

#define NONE 0
#define ASKING 1
#define RUNNING 2
#define ENDEDNOTRUN 3
#define ENDEDRAN 4
#define MOVED 5

#define UNKNOWN 0
#define GRANTED 1
#define OTHER 2

byte state[ENTRIES];
byte mine[ENTRIES];
byte movedTo[ENTRIES];
byte gen[ENTRIES];
byte seq = 0;
byte ownerEntry[TRIES];
byte ownerGen[TRIES];
byte claim = 0;
byte runs = 0;
byte restarts = 0;
byte lateFrom = 0;
byte lateTo = 0;
bool lateSent = false;

/* ask is an entry's answer to the question of try t about its key. */
inline ask(at, askedGen, t, reply) {
	if
	:: FAULT != 2 && askedGen != gen[at] -> reply = UNKNOWN
	:: else ->
		if
		:: state[at] == RUNNING || state[at] == ENDEDRAN -> reply = OTHER
		:: state[at] == MOVED && movedTo[at] != t -> reply = OTHER
		:: else ->
			state[at] = MOVED;
			movedTo[at] = t;
			reply = GRANTED
		fi
	fi
}

proctype attempt(byte e) {
	byte t, g, found, replaces, reply, hops;
	bool known;
	atomic {
		replaces = 0;
		hops = 0;
		t = 0;
		g = gen[e];
		if
		:: state[e] == NONE || state[e] == ENDEDNOTRUN || state[e] == MOVED ->
			known = state[e] != NONE;
			seq++;
			t = seq;
			ownerEntry[t] = e;
			ownerGen[t] = g;
			state[e] = ASKING;
			mine[e] = t
		:: else
		fi
	}
	if
	:: t == 0 -> goto done
	:: else
	fi;
claiming:
	/* The entry has died if its generation has changed. */
	if
	:: g != gen[e] || hops == 3 -> goto giveUp
	:: else
	fi;
	hops++;
	if
	:: true -> goto giveUp /* the store can't be reached */
	:: atomic {
			found = 0;
			if
			:: claim == t
			:: claim != t && (claim == 0 || claim == replaces || (FAULT == 3 && replaces != 0)) -> claim = t
			:: else -> found = claim
			fi
		}
	fi;
	if
	:: found == 0 ->
		if
		:: goto dispatch
		:: goto claiming /* the reply was lost; the next round reads back */
		:: goto giveUp /* the reply was lost and the store went away */
		fi
	:: else
	fi;
	if
	:: ownerEntry[found] == e ->
		if
		:: known && ownerGen[found] == g && g == gen[e] -> replaces = found; goto claiming
		:: else -> goto done
		fi
	:: else
	fi;
	atomic {
		ask(ownerEntry[found], ownerGen[found], t, reply);
		if
		:: !lateSent -> lateFrom = t; lateTo = found
		:: else
		fi
	}
	if
	:: reply == GRANTED -> replaces = found; goto claiming
	:: true -> goto done /* unknown, or the reply was lost */
	fi;
dispatch:
	atomic {
		if
		:: g == gen[e] && ((state[e] == ASKING && mine[e] == t) || FAULT == 1) ->
			state[e] = RUNNING;
			reply = GRANTED
		:: else -> reply = UNKNOWN
		fi
	}
	if
	:: reply == UNKNOWN -> goto done
	:: else
	fi;
	if
	:: atomic {
			/* The request is written; the upstream runs it. */
			g == gen[e] -> runs++;
			assert(runs <= 1)
		};
		atomic { if :: g == gen[e] -> state[e] = ENDEDRAN :: else fi }
	:: atomic { if :: g == gen[e] -> state[e] = ENDEDNOTRUN :: else fi }
	:: g != gen[e]
	fi;
	goto done;
giveUp:
	atomic {
		if
		:: g == gen[e] && state[e] == ASKING && mine[e] == t -> state[e] = ENDEDNOTRUN
		:: else
		fi
	}
done:
	skip
}

/* late repeats an earlier question at any later time; nobody waits for its
 * answer. */
proctype late() {
	byte reply;
	if
	:: atomic {
			lateFrom != 0 -> lateSent = true;
			ask(ownerEntry[lateTo], ownerGen[lateTo], lateFrom, reply)
		}
	:: true
	fi
}

proctype restart() {
	byte e;
	select(e : 0 .. 1);
	atomic {
		state[e] = NONE;
		mine[e] = 0;
		gen[e]++
	}
}

init {
	atomic {
		run attempt(0);
		run attempt(1);
		run attempt(0);
		run late();
		run restart()
	}
}
