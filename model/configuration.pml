/* Acceptance of configuration changes, snapshots and trimming.
 *
 * Operators race through two daemons; a third only follows. The platform keeps one key a
 * change and the base record, which names the newest snapshot and says up to which version
 * changes may be gone. Answers of creates are lost after they took effect, or requests are
 * delayed and land later. Every interleaving stands for a pause of a daemon between two steps.
 *
 * Holds: a version has one change; an operator who was told "accepted" was, one who was told
 * "refused" was not and will not be; the version at a daemon never falls; all daemons that
 * ever had a version had the same document of it.
 *
 * A document is the list of the changes that led to it.
 */

// broken: NO_BASE_READ
// broken: TRIMMED_CHANGES_COUNT
// broken: TRIM_BEFORE_BASE
// broken: LOST_ANSWER_IS_REFUSED
// broken: OVERWRITE
// broken: SNAPSHOT_WITHOUT_VERSION
// broken: BASE_WITHOUT_SWAP

/* Two versions, each with a snapshot, are the fewest that trim a change. The variant needs a
 * third; the whole holds with three too (30 million states, 1.4 GB). */
#ifdef SNAPSHOT_WITHOUT_VERSION
#define VERSIONS 3
#else
#define VERSIONS 2        /* version 0 is "none yet"; array index = version */
#endif
#define SLOTS (VERSIONS + 1)
#define SUBMISSIONS(me) (2 - me)
#define INTERVAL 1        /* changes between snapshots */
#define NONE 0

/* The platform. */
byte change[SLOTS];       /* id of the change whose key stands, NONE if absent */
byte baseSnapshot;
byte baseTrimmed;
byte baseRevision;
bool partPresent[SLOTS];  /* the snapshot of that version has its parts */
byte part[16];            /* part[s * SLOTS + v]: change of version v in snapshot s */

/* A create that was sent, not answered, and has not landed; one at a time. */
byte delayedId;
byte delayedVersion;

/* What has happened; processes read the first two only to assert. */
byte accepted[SLOTS];     /* the change of the version, from the moment of its creation */
bool refused[8];          /* the operator of the change was told so */
byte agreed[SLOTS];       /* the change of the version as the first daemon applied it; that
                             daemon's peers pull it from there */

/* Creates the key of `version` if it is absent; `landed` says whether it did. */
inline create(id, version, landed) {
    d_step {
        landed = false;
        if
        :: change[version] == NONE ->
            landed = true
#ifdef OVERWRITE
        :: else -> landed = true
#else
        :: else -> skip
#endif
        fi;
        if
        :: landed ->
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

/* Puts the change `id` in force as `version`. */
inline apply(id, version) {
    d_step {
        assert(agreed[version] == NONE || agreed[version] == id);
        agreed[version] = id;
        assert(version == have + 1);
        history[version] = id;
        have = version
    }
}

/* Takes over snapshot `s` whole. */
inline applySnapshot(s) {
    d_step {
        assert(s >= have);
        i = 1;
        do
        :: i <= s ->
            assert(agreed[i] == NONE || agreed[i] == part[s * SLOTS + i]);
            agreed[i] = part[s * SLOTS + i];
            history[i] = part[s * SLOTS + i];
            i++
        :: else -> break
        od;
        have = s;
        i = 0
    }
}

/* Pulls what peers have. */
inline pull() {
    do
    :: d_step { have < VERSIONS && agreed[have + 1] != NONE -> found = agreed[have + 1] }
        apply(found, (have + 1))
    :: break
    od;
    found = NONE
}

/* One listing of the changes shows them and the base record as of one moment. */
inline load(pulls) {
    d_step {
        seenTrimmed = baseTrimmed;
        seenSnapshot = baseSnapshot;
        if
        :: have < VERSIONS -> found = change[have + 1]
        :: else -> found = NONE
        fi
    }
    if
#ifdef TRIMMED_CHANGES_COUNT
    :: found != NONE -> apply(found, (have + 1))
    :: found == NONE && have < seenTrimmed ->
#else
    :: have >= seenTrimmed && found != NONE -> apply(found, (have + 1))
    :: have < seenTrimmed ->
#endif
        /* The parts are read later; they may have been removed by then, and changes may
         * have come from peers. */
        if
        :: pulls -> pull()
        :: else -> skip
        fi;
        if
        :: d_step { partPresent[seenSnapshot] -> skip };
            if
#ifndef SNAPSHOT_WITHOUT_VERSION
            :: seenSnapshot <= have -> skip
#endif
            :: else -> applySnapshot(seenSnapshot)
            fi
        :: else -> skip
        fi
    :: else -> skip
    fi;
    d_step { seenTrimmed = 0; seenSnapshot = 0; found = NONE }
}

/* Writes a snapshot of what this daemon has, names it in the base record, then trims. */
inline snapshot() {
    d_step { seenRevision = baseRevision; seenSnapshot = baseSnapshot; target = have }
    if
    :: target >= seenSnapshot + INTERVAL ->
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
                landed = true
            :: else -> landed = false
            fi
        }
        if
        :: landed ->
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
    d_step { seenRevision = 0; seenSnapshot = 0; target = 0; landed = false }
}

/* Removes the keys of changes up to `upTo`, each if it is still what was listed. */
inline trim(upTo) {
    i = 1;
    do
    :: i <= upTo -> d_step { change[i] = NONE; i++ }
    :: else -> break
    od;
    i = 0
}

inline tellAccepted(id, version) {
    d_step { assert(accepted[version] == id) }
}

inline tellRefused(id, version) {
    d_step { assert(accepted[version] != id); refused[id] = true }
}

/* Submits change `id` as the version after the one that this daemon has. */
inline submit(id) {
    d_step { version = have + 1; mayHaveLanded = false; inKey = false }
    do
    :: create(id, version, landed);
        if
        :: landed -> inKey = true; goto settleBase
        :: landed -> /* the answer is lost */
            mayHaveLanded = true
        :: !landed && mayHaveLanded -> skip
        :: !landed && !mayHaveLanded -> tellRefused(id, version); goto settled
        fi;
#ifdef LOST_ANSWER_IS_REFUSED
        tellRefused(id, version);
        goto settled
#endif
        /* Reads the key again. */
        d_step { found = change[version] }
        if
        :: found == NONE -> skip /* sends the create again */
        :: else -> inKey = (found == id); goto settleBase
        fi
    :: !mayHaveLanded -> /* the request is delayed and may land at any later moment */
        d_step {
            delayedId == NONE ->
            delayedId = id;
            delayedVersion = version;
            mayHaveLanded = true
        }
        d_step { found = change[version] }
        if
        :: found == NONE -> skip
        :: else -> inKey = (found == id); goto settleBase
        fi
    od;
settleBase:
    skip;
#ifdef NO_BASE_READ
    if
    :: inKey -> tellAccepted(id, version); apply(id, version)
    :: else -> tellRefused(id, version)
    fi;
#else
    d_step { seenTrimmed = baseTrimmed; seenRevision = baseRevision }
    if
    :: version > seenTrimmed && inKey ->
        tellAccepted(id, version);
        apply(id, version)
    :: version > seenTrimmed && !inKey -> tellRefused(id, version)
    :: else -> skip /* told neither: unsettled */
    fi;
#endif
settled:
    skip;
    d_step {
        version = 0; mayHaveLanded = false; inKey = false; found = NONE; landed = false;
        seenTrimmed = 0; seenRevision = 0
    }
}

#define LOCALS \
    byte have; byte history[SLOTS]; byte i; byte found; byte seenTrimmed; byte seenSnapshot; \
    byte seenRevision; byte target; bool landed

proctype Writer(byte me) {
    LOCALS;
    byte version; bool mayHaveLanded; bool inKey; byte done;
    do
    :: done < SUBMISSIONS(me) && have < VERSIONS ->
        done++;
        submit((me * 2 + done))
    :: load(false)
    :: snapshot()
    :: done == SUBMISSIONS(me) -> break
    od
}

/* Starts at any moment, while changes go on, and follows. */
proctype Follower() {
    LOCALS;
    do
    :: load(true)
    :: have == VERSIONS -> break
    :: break
    od
}

proctype Network() {
    bool landed;
end:
    do
    :: delayedId != NONE ->
        create(delayedId, delayedVersion, landed);
        d_step { delayedId = NONE; delayedVersion = 0; landed = false }
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
