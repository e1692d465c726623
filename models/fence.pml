/* The fence and the claims for one idempotency key, as implemented in
 * core/proc/keytable.go, core/proc/claims.go and io/call/keylookup.go, for key
 * lookup in the store (the setting "finder": "store").
 *
 * Two entries receive attempts of the same request, which must be executed at
 * most once. Messages and replies of the store may be lost. An entry may be
 * arbitrarily slow between any two steps, which includes pauses and delayed
 * messages. An entry may restart and lose its state. The process repeatedFence
 * sends an earlier fence request again at any later time.
 *
 * FAULT 1: dispatch does not check whether the key was granted to another entry.
 * FAULT 2: a restarted entry grants or refuses fence requests for its previous
 *   generation instead of replying UNKNOWN.
 * FAULT 3: a takeover does not compare the owner that it replaces.
 */
#ifndef FAULT
#define FAULT 0
#endif

#define ENTRIES 2
#define ATTEMPTS 3
#define MAX_OWNERS 8

/* States of the key at an entry. */
#define NONE 0
#define ACQUIRING 1
#define RUNNING 2
#define ENDED_NOT_RUN 3
#define ENDED_RAN 4
#define MOVED 5

/* Replies to a fence request. */
#define UNKNOWN 0
#define GRANTED 1
#define NOT_GRANTED 2

/* For each entry: the state of the key, its latest owner there, the owner it was
 * granted to, and the generation, which differs after a restart. */
byte state[ENTRIES];
byte owner[ENTRIES];
byte movedTo[ENTRIES];
byte generation[ENTRIES];
/* The number of owners so far. An owner is one attempt to execute the key, with
 * its entry and generation. */
byte ownerCount = 0;
byte ownerEntry[MAX_OWNERS];
byte ownerGeneration[MAX_OWNERS];
/* The owner in the claim that the store holds, or 0. */
byte claim = 0;
byte executions = 0;
byte restartCount = 0;
/* The fence request that repeatedFence sends again: from one owner to another. */
byte repeatedFrom = 0;
byte repeatedTo = 0;
bool isRepeated = false;

/* replyToFence sets reply to an entry's reply to a fence request for one of its
 * generations. A granted request moves the key to the requester. */
inline replyToFence(entry, requestedGeneration, requester, reply) {
	if
	:: FAULT != 2 && requestedGeneration != generation[entry] -> reply = UNKNOWN
	:: else ->
		if
		:: state[entry] == RUNNING || state[entry] == ENDED_RAN -> reply = NOT_GRANTED
		:: state[entry] == MOVED && movedTo[entry] != requester -> reply = NOT_GRANTED
		:: else ->
			state[entry] = MOVED;
			movedTo[entry] = requester;
			reply = GRANTED
		fi
	fi
}

/* attempt is one attempt of the request at entry e. It claims the key, sends
 * a fence request to the entry of the present owner if there is one, and dispatches
 * the request. */
proctype attempt(byte e) {
	byte self, g, claimOwner, replaces, reply, rounds;
	bool hadRecord;
	atomic {
		replaces = 0;
		rounds = 0;
		self = 0;
		g = generation[e];
		if
		:: state[e] == NONE || state[e] == ENDED_NOT_RUN || state[e] == MOVED ->
			hadRecord = state[e] != NONE;
			ownerCount++;
			self = ownerCount;
			ownerEntry[self] = e;
			ownerGeneration[self] = g;
			state[e] = ACQUIRING;
			owner[e] = self
		:: else
		fi
	}
	if
	:: self == 0 -> goto done
	:: else
	fi;
claiming:
	/* After a restart of the entry its attempts no longer exist. */
	if
	:: g != generation[e] || rounds == 3 -> goto abandon
	:: else
	fi;
	rounds++;
	if
	:: true -> goto abandon /* the store is unreachable */
	:: atomic {
			claimOwner = 0;
			if
			:: claim == self
			:: claim != self && (claim == 0 || claim == replaces || (FAULT == 3 && replaces != 0)) -> claim = self
			:: else -> claimOwner = claim
			fi
		}
	fi;
	if
	:: claimOwner == 0 ->
		if
		:: goto dispatch
		:: goto claiming /* the reply was lost; the next round reads the claim */
		:: goto abandon /* the reply was lost and the store became unreachable */
		fi
	:: else
	fi;
	if
	:: ownerEntry[claimOwner] == e ->
		if
		:: hadRecord && ownerGeneration[claimOwner] == g && g == generation[e] -> replaces = claimOwner; goto claiming
		:: else -> goto done
		fi
	:: else
	fi;
	atomic {
		replyToFence(ownerEntry[claimOwner], ownerGeneration[claimOwner], self, reply);
		if
		:: !isRepeated -> repeatedFrom = self; repeatedTo = claimOwner
		:: else
		fi
	}
	if
	:: reply == GRANTED -> replaces = claimOwner; goto claiming
	:: true -> goto done /* unknown, not granted, or the reply was lost */
	fi;
dispatch:
	atomic {
		if
		:: g == generation[e] && ((state[e] == ACQUIRING && owner[e] == self) || FAULT == 1) ->
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
			/* The upstream receives the request and executes it. */
			g == generation[e] -> executions++;
			assert(executions <= 1)
		};
		atomic { if :: g == generation[e] -> state[e] = ENDED_RAN :: else fi }
	:: atomic { if :: g == generation[e] -> state[e] = ENDED_NOT_RUN :: else fi }
	:: g != generation[e]
	fi;
	goto done;
abandon:
	atomic {
		if
		:: g == generation[e] && state[e] == ACQUIRING && owner[e] == self -> state[e] = ENDED_NOT_RUN
		:: else
		fi
	}
done:
	skip
}

/* repeatedFence sends an earlier fence request again at any later time. Its reply
 * is ignored. */
proctype repeatedFence() {
	byte reply;
	if
	:: atomic {
			repeatedFrom != 0 -> isRepeated = true;
			replyToFence(ownerEntry[repeatedTo], ownerGeneration[repeatedTo], repeatedFrom, reply)
		}
	:: true
	fi
}

/* restart restarts one of the entries. */
proctype restart() {
	byte e;
	select(e : 0 .. 1);
	atomic {
		state[e] = NONE;
		owner[e] = 0;
		generation[e]++
	}
}

init {
	atomic {
		run attempt(0);
		run attempt(1);
		run attempt(0);
		run repeatedFence();
		run restart()
	}
}
