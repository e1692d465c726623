/* Accepting and spreading versions, as in core/vers/accept.go, io/vers/submit.go
 * and io/vers/keeper.go.
 *
 * Two operators submit changes on the same base. The store may lose replies or
 * be away. A relay passes on what it read, at any later time, which covers a
 * paused relay that still believes in its role; messages may be late, repeated
 * or lost. An entry takes versions from the store and from relays.
 *
 * FAULT 1: entries take any version, not only higher ones.
 * FAULT 2: a lost reply is answered as refused.
 * FAULT 3: the write doesn't compare the base.
 */
#ifndef FAULT
#define FAULT 0
#endif

#define OPERATORS 2
#define ENTRIES 2

#define NOWORD 0
#define ACCEPTED 1
#define REFUSED 2
#define PENDING 3

byte revision = 1;
byte change[8];
bool accepted[OPERATORS + 1];
byte told[OPERATORS + 1];
byte inForce[ENTRIES];
byte held[2];
byte restarts = 0;

inline adopt(e, r) {
	d_step {
		if
		:: r > inForce[e] || (FAULT == 1 && r > 0) ->
			assert(r >= inForce[e]);
			assert(r == 1 || change[r] != 0);
			inForce[e] = r
		:: else
		fi
	}
}

/* operator submits change c made from revision 1. */
proctype operator(byte c) {
	byte tries = 0, seen;
	bool lost = false;
again:
	tries++;
	if
	:: tries > 3 -> if :: lost -> told[c] = PENDING :: else -> told[c] = REFUSED fi; goto done
	:: else
	fi;
	if
	:: d_step { /* the write reaches the store */
			if
			:: revision == 1 || FAULT == 3 ->
				revision++;
				change[revision] = c;
				accepted[c] = true;
				seen = ACCEPTED
			:: revision != 1 && FAULT != 3 ->
				/* The conflict shows which changes have been accepted. */
				if
				:: accepted[c] -> seen = ACCEPTED
				:: else -> seen = REFUSED
				fi
			fi
		};
		if
		:: told[c] = seen; goto done
		:: true -> lost = true; if :: FAULT == 2 -> told[c] = REFUSED; goto done :: else -> goto again fi
		fi
	:: true -> lost = true; goto again /* no word from the store */
	fi;
done:
	skip
}

/* relay reads the store and passes on what it read, however late. */
proctype relay(byte i) {
	byte r, n = 0;
	do
	:: n < 2 -> held[i] = revision; n++
	:: r = held[i]; adopt(0, r)
	:: r = held[i]; adopt(1, r)
	:: n >= 1 -> break
	od
}

/* joiner is an entry that restarts: it has nothing and starts from the store or
 * from its peers. */
proctype joiner() {
	byte r;
	if
	:: r = revision
	:: r = inForce[0]
	fi;
	d_step { inForce[1] = 0 };
	adopt(1, r)
}

init {
	atomic {
		inForce[0] = 1;
		inForce[1] = 1;
		held[0] = 1;
		held[1] = 1;
		run operator(1);
		run operator(2);
		run relay(0);
		run relay(1);
		run joiner()
	}
	(_nr_pr == 1);
	assert(!(told[1] == REFUSED && accepted[1]));
	assert(!(told[2] == REFUSED && accepted[2]));
	assert(!(told[1] == ACCEPTED && !accepted[1]));
	assert(!(told[2] == ACCEPTED && !accepted[2]));
	assert(!(accepted[1] && accepted[2]))
}
