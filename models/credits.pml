/* Credits of one account, as implemented in core/acct: three candidates, two of which
 * may become the owner, and one holder. Owners may lose their votes at any time; replies are
 * lost, late or repeated. Time is abstract: a vote ends when the voter may vote again, which
 * is not before the owner stops counting it. Never are there two owners, and never does the
 * holder have more credits than the owners count as outstanding.
 *
 * FAULT 1: an entry votes again while its vote for another candidate still counts.
 * FAULT 2: a holder applies a reply to an earlier request than its last one.
 * FAULT 3: a holder applies the reply to its last request again.
 */
#ifndef FAULT
#define FAULT 0
#endif

#define CANDIDATES 3
#define OWNERS 2
#define TOKENS 2
#define REQUESTS 3

/* votedFor is the candidate that a voter's vote counts for, plus 1, or 0. */
byte votedFor[CANDIDATES];
/* votes counts the votes that a candidate counts. */
byte votes[OWNERS];

byte tokens = TOKENS;
byte outstanding = 0;
byte left = 0;
byte lastSeen = 0;
byte number = 0;
bool pending = false;

/* A request holds its number and the unspent credits, a reply the number and the granted
 * credits. */
chan requests = [2] of { byte, byte };
chan replies = [2] of { byte, byte };

#define isOwner(c) (votes[c] >= 2)

proctype candidate(byte c) {
	byte v;
	do
	:: atomic {
		/* It asks one of the voters. */
		if
		:: v = 0
		:: v = 1
		:: v = 2
		fi;
		if
		:: votedFor[v] == 0 -> votedFor[v] = c + 1; votes[c]++
		:: FAULT == 1 && votedFor[v] != 0 && votedFor[v] != c + 1 -> votedFor[v] = c + 1; votes[c]++
		:: else
		fi;
		assert(!(isOwner(0) && isOwner(1)));
		v = 0
	}
	:: atomic {
		/* All of its votes end: it was paused or cut off. */
		votes[c] > 0 -> votes[c] = 0;
		if
		:: votedFor[0] == c + 1 -> votedFor[0] = 0
		:: else
		fi;
		if
		:: votedFor[1] == c + 1 -> votedFor[1] = 0
		:: else
		fi;
		if
		:: votedFor[2] == c + 1 -> votedFor[2] = 0
		:: else
		fi
	}
	od
}

proctype owner() {
	byte n, unspent;
	do
	:: atomic {
		nempty(requests) && nfull(replies) && (isOwner(0) || isOwner(1)) ->
		requests?n,unspent;
		if
		:: n > lastSeen ->
			/* What is left at the holder stays outstanding; the rest counts as spent. */
			outstanding = unspent;
			lastSeen = n;
			if
			:: tokens > 0 -> tokens--; outstanding++; replies!n,1
			:: else -> replies!n,0
			fi
		:: else
		fi;
		n = 0;
		unspent = 0
	}
	od
}

proctype holder() {
	byte n, granted;
	do
	:: atomic { !pending && number < REQUESTS && nfull(requests) -> number++; pending = true; requests!number,left }
	/* The network repeats the oldest request or reply. */
	:: atomic { nempty(requests) && nfull(requests) -> requests?<n,granted>; requests!n,granted; n = 0; granted = 0 }
	:: atomic { nempty(replies) && nfull(replies) -> replies?<n,granted>; replies!n,granted; n = 0; granted = 0 }
	/* The holder gives up. */
	:: atomic { pending -> pending = false }
	/* A request or a reply is lost. */
	:: atomic { nempty(requests) -> requests?n,granted; n = 0; granted = 0 }
	:: atomic { nempty(replies) -> replies?n,granted; n = 0; granted = 0 }
	:: atomic {
		nempty(replies) -> replies?n,granted;
		if
		:: (pending && n == number) || (FAULT == 2 && pending) || (FAULT == 3 && n == number) -> left = left + granted; pending = false
		:: else
		fi;
		assert(left <= outstanding);
		n = 0;
		granted = 0
	}
	:: atomic { left > 0 -> left-- }
	od
}

init {
	atomic {
		run candidate(0);
		run candidate(1);
		run owner();
		run holder()
	}
}
