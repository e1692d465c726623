/* One non-idempotent request that an entry hands to another one, as implemented in
 * io/serve/handover.go and io/serve/handed.go.
 *
 * The first entry tries one upstream itself, and then hands the request to up to two
 * helpers, one after the other. Each helper may hold the links to the upstream or have
 * lost them, may decline, or may send the request to an upstream. Any connection may
 * break at any moment, so that requests and responses are lost; a helper may be slow, and
 * a request that it has received may run after the first entry has given up.
 *
 * The request must run at most once, and a 503 to the caller promises that it has not run
 * and never will.
 *
 * FAULT 1: a helper that has lost its links hands the request on to a further entry, and
 *   both answer for it.
 * FAULT 2: a response that is lost between the entries is taken for "not run".
 * FAULT 3: a helper that has sent the request declines it.
 */
#ifndef FAULT
#define FAULT 0
#endif

#define HELPERS 2

/* Results of an attempt, as the first entry sees it. */
#define NOT_RUN 0
#define UNKNOWN 1
#define ANSWERED 2

/* Responses to the caller. */
#define NONE 0
#define OK 1
#define UNAVAILABLE 2
#define BAD_GATEWAY 3

byte runs = 0;
byte response = NONE;

/* Requests in transit to each helper, and their results. A channel that loses messages
 * may drop any of them. */
chan handed[HELPERS] = [1] of { byte };
chan results[HELPERS] = [1] of { byte };

/* runUpstream sends the request to an upstream: it may not get there, run and answer, or
 * run without an answer. */
inline runUpstream(result) {
	if
	:: result = NOT_RUN
	:: runs++; result = ANSWERED
	:: runs++; result = UNKNOWN
	fi
}

proctype Helper(byte self) {
	byte request, result;
	do
	:: handed[self] ? request ->
		if
		:: /* The links are lost. */
			if
			:: FAULT == 1 && self == 0 ->
				if
				:: nfull(handed[1]) -> handed[1] ! request
				:: full(handed[1]) -> skip
				fi;
				result = NOT_RUN
			:: FAULT != 1 || self != 0 -> result = NOT_RUN
			fi
		:: runUpstream(result);
			if
			:: FAULT == 3 && result == UNKNOWN -> result = NOT_RUN
			:: FAULT != 3 || result != UNKNOWN -> skip
			fi
		fi;
		if
		:: nfull(results[self]) -> results[self] ! result
		:: skip /* The response is lost. */
		fi
	:: timeout -> break
	od
}

/* handTo hands the request to a helper and sets result. */
inline handTo(helper, result) {
	if
	:: result = NOT_RUN /* No byte of it was written. */
	:: nfull(handed[helper]) ->
		handed[helper] ! 1;
		if
		:: results[helper] ? result
		:: /* The connection breaks or the deadline passes. */
			if
			:: FAULT == 2 -> result = NOT_RUN
			:: FAULT != 2 -> result = UNKNOWN
			fi
		fi
	fi
}

active proctype Entry() {
	byte result;
	byte helper = 0;
	run Helper(0);
	run Helper(1);
	if
	:: result = NOT_RUN /* No connection could be opened. */
	:: runUpstream(result)
	fi;
	do
	:: result == NOT_RUN && helper < HELPERS ->
		handTo(helper, result);
		helper++
	:: result != NOT_RUN || helper == HELPERS -> break
	od;
	if
	:: result == ANSWERED -> response = OK
	:: result == UNKNOWN -> response = BAD_GATEWAY
	:: result == NOT_RUN -> response = UNAVAILABLE
	fi
}

active proctype Invariants() {
	do
	:: runs > 1 -> assert(false)
	:: response == UNAVAILABLE && runs > 0 -> assert(false)
	:: response == OK && runs == 0 -> assert(false)
	:: timeout -> break
	od
}
