/* A store that is restored from a copy, as its entries follow it: core/mirror and
 * io/mirror.
 *
 * The operator writes versions, others write other keys. A copy of the store may be
 * taken at any time, and the store may return from it twice: revisions go back, the
 * era rises, and the operator writes its last version again. A watcher lists the store
 * or asks for the changes after its position; a subscriber takes the watcher's
 * position and item at any time, also late. No version may go back, and in the end both
 * have the last version.
 *
 * FAULT 1: positions are compared by their revision alone.
 * FAULT 2: the first list of an era replaces a later version by that of the copy.
 * FAULT 3: an item keeps the revision that it had in the era before.
 */
#ifndef FAULT
#define FAULT 0
#endif

#define VERSIONS 3
#define OTHER_WRITES 2
#define RESTORATIONS 2
#define READS 4

/* The store: its position, and the version with the revision of its last write. */
byte era = 1, revision = 1, version = 1, versionRevision = 1;
/* The copy. */
byte copyRevision = 1, copyVersion = 1, copyVersionRevision = 1;
byte lastVersion = 1;
byte running = 0;

/* The mirrors of the watcher and of the subscriber: position, item and its revision. */
#define WATCHER 0
#define SUBSCRIBER 1
byte mirrorEra[2] = 1, mirrorRevision[2] = 1, mirrorVersion[2] = 1, mirrorVersionRevision[2] = 1;

#define isBefore(e1, r1, e2, r2) ((FAULT != 1 && e1 < e2) || ((FAULT == 1 || e1 == e2) && r1 < r2))

/* put applies a version at a revision of the mirror's present era. */
inline put(m, v, r) {
	if
	:: r > mirrorVersionRevision[m] ->
		if
		:: v < mirrorVersion[m] && FAULT != 2 -> skip
		:: else ->
			assert(v >= mirrorVersion[m]);
			mirrorVersion[m] = v
		fi;
		mirrorVersionRevision[m] = r
	:: else
	fi
}

/* snapshot applies a list of all items. */
inline snapshot(m, e, r, v, vr) {
	if
	:: isBefore(e, r, mirrorEra[m], mirrorRevision[m]) -> skip
	:: else ->
		if
		:: e > mirrorEra[m] && FAULT != 1 && FAULT != 3 -> mirrorVersionRevision[m] = 0
		:: else
		fi;
		put(m, v, vr);
		mirrorEra[m] = e;
		mirrorRevision[m] = r
	fi
}

inline readStore() {
	d_step {
		if
		:: (FAULT != 1 && mirrorEra[WATCHER] != era) || mirrorRevision[WATCHER] > revision ->
			snapshot(WATCHER, era, revision, version, versionRevision)
		:: else ->
			if
			:: versionRevision > mirrorRevision[WATCHER] -> put(WATCHER, version, versionRevision)
			:: else
			fi;
			mirrorRevision[WATCHER] = revision
		fi
	}
}

inline follow() {
	d_step { snapshot(SUBSCRIBER, mirrorEra[WATCHER], mirrorRevision[WATCHER], mirrorVersion[WATCHER], mirrorVersionRevision[WATCHER]) }
}

proctype operator() {
	do
	:: lastVersion < VERSIONS ->
		d_step { lastVersion++; revision++; version = lastVersion; versionRevision = revision }
	:: d_step { version < lastVersion -> revision++; version = lastVersion; versionRevision = revision }
	:: lastVersion == VERSIONS -> break
	od;
	running--
}

proctype others() {
	byte n = 0;
	do
	:: n < OTHER_WRITES -> d_step { revision++; n++ }
	:: d_step { copyRevision = revision; copyVersion = version; copyVersionRevision = versionRevision }
	:: n == OTHER_WRITES -> break
	od;
	running--
}

proctype restorer() {
	byte n = 0;
	do
	:: n < RESTORATIONS ->
		d_step { revision = copyRevision; version = copyVersion; versionRevision = copyVersionRevision; era++; n++ }
	:: break
	od;
	running--
}

proctype entries() {
	byte n = 0;
	do
	:: n < READS -> n++; if :: readStore() :: follow() fi
	:: break
	od;
	running--
}

init {
	atomic {
		running = 4;
		run operator(); run others(); run restorer(); run entries()
	};
	running == 0 ->
	/* The operator notices that its last version was lost. */
	d_step {
		if
		:: version < lastVersion -> revision++; version = lastVersion; versionRevision = revision
		:: else
		fi
	};
	readStore();
	follow();
	assert(mirrorVersion[WATCHER] == lastVersion);
	assert(mirrorVersion[SUBSCRIBER] == lastVersion)
}
