/* Acceptance of configuration changes, snapshots and trimming.
 *
 * Operators submit concurrently through two daemons; a third daemon only follows. The platform's
 * store holds one key for each change and the base record, which names the newest snapshot and the
 * version up to which changes may have been removed. The answer to a create can be lost after the
 * create took effect, and a request can be delayed and take effect later. Every interleaving
 * models a pause of a daemon between two steps.
 *
 * Invariants: a version has one change; a change reported as accepted is accepted, and one
 * reported as refused is not and never will be; the version at a daemon never decreases; all
 * daemons that have had a version have had the same document for it.
 *
 * A document is the list of the changes that led to it.
 *
 * Each variant omits one guard and must fail:
 */
// broken: NO_BASE_READ
// broken: TRIMMED_CHANGES_COUNT
// broken: TRIM_BEFORE_BASE
// broken: LOST_ANSWER_IS_REFUSED
// broken: OVERWRITE
// broken: SNAPSHOT_WITHOUT_VERSION
// broken: BASE_WITHOUT_SWAP

/* Two versions, each with a snapshot, are the minimum that trims a change. The variant needs a
 * third. The complete model also holds with three versions (30 million states, 1.4 GB). */
#ifdef SNAPSHOT_WITHOUT_VERSION
#define VERSIONS 3
#else
#define VERSIONS 2        /* version 0 is "none yet"; array index = version */
#endif
#define SLOTS (VERSIONS + 1)
#define SUBMISSIONS(me) (2 - me)
#define SNAPSHOT_INTERVAL 1 /* changes between snapshots */
#define NONE 0

/* The platform's store. */
byte change[SLOTS];       /* id of the change under the key of the version, NONE if absent */
byte baseSnapshot;
byte baseTrimmed;
byte baseRevision;
bool partPresent[SLOTS];  /* the parts of the snapshot of that version exist */
byte part[16];            /* part[s * SLOTS + v]: change of version v in snapshot s */

/* A create that was sent and not answered and has not taken effect; one at a time. */
byte delayedId;
byte delayedVersion;

/* The history of the run. Processes read `accepted` and `refused` only in assertions. */
byte accepted[SLOTS];     /* the change of the version, set when its key is created */
bool refused[8];          /* the change was reported as refused */
byte agreed[SLOTS];       /* the change of the version as the first daemon applied it; peers
                             pull it from that daemon */

/* Creates the key of `version` if it is absent; sets `written` to whether it did. */
inline create(id, version, written) {
    d_step {
        written = false;
        if
        :: change[version] == NONE ->
            written = true
#ifdef OVERWRITE
        :: else -> written = true
#else
        :: else -> skip
#endif
        fi;
        if
        :: written ->
            change[version] = id;
            if
            :: version > baseTrimmed ->
                /* This creation is the commit point. */
                assert(accepted[version] == NONE);
                assert(!refused[id]);
                accepted[version] = id
            :: else -> skip
            fi
        :: else -> skip
        fi
    }
}

/* Applies the change `id` as `version` at this daemon. */
inline apply(id, version) {
    d_step {
        assert(agreed[version] == NONE || agreed[version] == id);
        agreed[version] = id;
        assert(version == ownVersion + 1);
        history[version] = id;
        ownVersion = version
    }
}

/* Replaces the document of this daemon by snapshot `s`. */
inline applySnapshot(s) {
    d_step {
        assert(s >= ownVersion);
        i = 1;
        do
        :: i <= s ->
            assert(agreed[i] == NONE || agreed[i] == part[s * SLOTS + i]);
            agreed[i] = part[s * SLOTS + i];
            history[i] = part[s * SLOTS + i];
            i++
        :: else -> break
        od;
        ownVersion = s;
        i = 0
    }
}

/* Pulls the changes that peers have applied. */
inline pull() {
    do
    :: d_step {
            ownVersion < VERSIONS && agreed[ownVersion + 1] != NONE ->
            found = agreed[ownVersion + 1]
        }
        apply(found, (ownVersion + 1))
    :: break
    od;
    found = NONE
}

/* Loads changes or a snapshot. A listing returns the changes and the base record atomically. */
inline load(pulls) {
    d_step {
        seenTrimmed = baseTrimmed;
        seenSnapshot = baseSnapshot;
        if
        :: ownVersion < VERSIONS -> found = change[ownVersion + 1]
        :: else -> found = NONE
        fi
    }
    if
#ifdef TRIMMED_CHANGES_COUNT
    :: found != NONE -> apply(found, (ownVersion + 1))
    :: found == NONE && ownVersion < seenTrimmed ->
#else
    :: ownVersion >= seenTrimmed && found != NONE -> apply(found, (ownVersion + 1))
    :: ownVersion < seenTrimmed ->
#endif
        /* The parts are read after the listing: they may have been removed, and changes may have
         * arrived from peers. */
        if
        :: pulls -> pull()
        :: else -> skip
        fi;
        if
        :: d_step { partPresent[seenSnapshot] -> skip };
            if
#ifndef SNAPSHOT_WITHOUT_VERSION
            :: seenSnapshot <= ownVersion -> skip
#endif
            :: else -> applySnapshot(seenSnapshot)
            fi
        :: else -> skip
        fi
    :: else -> skip
    fi;
    d_step { seenTrimmed = 0; seenSnapshot = 0; found = NONE }
}

/* Writes a snapshot of this daemon's document, names it in the base record, then trims. */
inline snapshot() {
    d_step { seenRevision = baseRevision; seenSnapshot = baseSnapshot; target = ownVersion }
    if
    :: target >= seenSnapshot + SNAPSHOT_INTERVAL ->
        d_step {
            i = 1;
            do
            :: i <= target -> part[target * SLOTS + i] = history[i]; i++
            :: else -> break
            od;
            i = 0;
            partPresent[target] = true
        }
#ifdef TRIM_BEFORE_BASE
        trim(seenSnapshot);
#endif
        d_step {
            if
#ifdef BASE_WITHOUT_SWAP
            :: true ->
#else
            :: baseRevision == seenRevision ->
#endif
                baseTrimmed = seenSnapshot;
                baseSnapshot = target;
                baseRevision++;
                written = true
            :: else -> written = false
            fi
        }
        if
        :: written ->
            trim(seenSnapshot);
            d_step {
                i = 0;
                do
                :: i < target -> partPresent[i] = false; i++
                :: else -> break
                od;
                i = 0
            }
        :: else -> skip
        fi
    :: else -> skip
    fi;
    d_step { seenRevision = 0; seenSnapshot = 0; target = 0; written = false }
}

/* Removes the keys of changes up to `upTo`, each only if it is unchanged since the listing. */
inline trim(upTo) {
    i = 1;
    do
    :: i <= upTo -> d_step { change[i] = NONE; i++ }
    :: else -> break
    od;
    i = 0
}

inline reportAccepted(id, version) {
    d_step { assert(accepted[version] == id) }
}

inline reportRefused(id, version) {
    d_step { assert(accepted[version] != id); refused[id] = true }
}

/* Submits change `id` as the next version after that of this daemon. */
inline submit(id) {
    d_step { version = ownVersion + 1; mayBeWritten = false; ownsKey = false }
    do
    :: create(id, version, written);
        if
        :: written -> ownsKey = true; goto settleBase
        :: written -> /* the answer is lost */
            mayBeWritten = true
        :: !written && mayBeWritten -> skip
        :: !written && !mayBeWritten -> reportRefused(id, version); goto settled
        fi;
#ifdef LOST_ANSWER_IS_REFUSED
        reportRefused(id, version);
        goto settled
#endif
        /* Reads the key again. */
        d_step { found = change[version] }
        if
        :: found == NONE -> skip /* retries the create */
        :: else -> ownsKey = (found == id); goto settleBase
        fi
    :: !mayBeWritten -> /* the request is delayed and may take effect at any later time */
        d_step {
            delayedId == NONE ->
            delayedId = id;
            delayedVersion = version;
            mayBeWritten = true
        }
        d_step { found = change[version] }
        if
        :: found == NONE -> skip
        :: else -> ownsKey = (found == id); goto settleBase
        fi
    od;
settleBase:
    skip;
#ifdef NO_BASE_READ
    if
    :: ownsKey -> reportAccepted(id, version); apply(id, version)
    :: else -> reportRefused(id, version)
    fi;
#else
    d_step { seenTrimmed = baseTrimmed; seenRevision = baseRevision }
    if
    :: version > seenTrimmed && ownsKey ->
        reportAccepted(id, version);
        apply(id, version)
    :: version > seenTrimmed && !ownsKey -> reportRefused(id, version)
    :: else -> skip /* outcome unknown: reported as neither */
    fi;
#endif
settled:
    skip;
    d_step {
        version = 0; mayBeWritten = false; ownsKey = false; found = NONE; written = false;
        seenTrimmed = 0; seenRevision = 0
    }
}

#define LOCALS \
    byte ownVersion; byte history[SLOTS]; byte i; byte found; byte seenTrimmed; byte seenSnapshot; \
    byte seenRevision; byte target; bool written

proctype Writer(byte me) {
    LOCALS;
    byte version; bool mayBeWritten; bool ownsKey; byte done;
    do
    :: done < SUBMISSIONS(me) && ownVersion < VERSIONS ->
        done++;
        submit((me * 2 + done))
    :: load(false)
    :: snapshot()
    :: done == SUBMISSIONS(me) -> break
    od
}

/* Starts at any time while changes are submitted, and follows them. */
proctype Follower() {
    LOCALS;
    do
    :: load(true)
    :: ownVersion == VERSIONS -> break
    :: break
    od
}

proctype Network() {
    bool written;
end:
    do
    :: delayedId != NONE ->
        create(delayedId, delayedVersion, written);
        d_step { delayedId = NONE; delayedVersion = 0; written = false }
    od
}

init {
    atomic {
        run Writer(0);
        run Writer(1);
        run Follower();
        run Network()
    }
}
