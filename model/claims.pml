/* Claims of one shard: at most one send for one key.
 *
 * Two requests with the same key come to two daemons. The second takes itself for the one that
 * gathers the shard's claims; the first may ask another that takes itself for it too, and go the
 * direct way when no answer comes. A fourth daemon claims other keys and seals segments. A
 * process that is never scheduled again has crashed, one that is scheduled late was paused: any
 * of this may happen between any two steps.
 *
 * The head of the shard is one value in the platform's service. A write to it may be answered,
 * take effect without an answer, be lost, or stay on its way and take effect later.
 *
 * Each variant lacks one guard and must fail:
 * broken: NO_CAS_BEFORE_SEND
 * broken: NO_REVISION_IN_SEAL
 * broken: NO_SETTLE_REREAD
 * broken: NO_SEALED_KNOWLEDGE
 * broken: GATHERER_GIVES_BACK
 */

#define FULL 2         /* claims that fill a segment */
#define MAX_REVISION 6 /* the last write to the head that is looked at; the first is given */
#define MAX_SEALS 2
#define FILLS 3 /* further claims for other keys */

/* What a write does to the head: claims the key for attempt 1 or 2, or one of these. */
#define CLAIM_OTHER 0
#define GIVE_BACK 3

#define NOBODY 0
#define SWAPPED 1
#define CONFLICT 2
#define UNKNOWN 3

#define WON 1
#define HELD 2

typedef Head {
    byte holder; /* the attempt whose claim for the key stands in the open segment */
    byte claims; /* claims in the open segment */
    byte sequence;
    byte sealed[MAX_SEALS] /* name of each sealed segment, plus one; 0: none */
}

Head head;
byte revision;

bool segmentExists[MAX_REVISION + 1]; /* sealed segments by name */
byte segmentHolder[MAX_REVISION + 1];

/* A write on its way that expects the present revision; one that expects another is dead. Of
 * several only one can take effect, so it is enough to follow one. */
bool lateUnderWay;
bool lateSeals;
byte lateChange;

byte gathered; /* the gatherer's answer to the first request */
bool asked;
byte sends;

#ifdef NO_REVISION_IN_SEAL
#define SEGMENT_NAME (head.sequence)
#else
#define SEGMENT_NAME (revision)
#endif

#define IN_SEALED(n) ((head.sealed[n] != 0) -> segmentHolder[head.sealed[n] - 1] : NOBODY)

#ifdef NO_SEALED_KNOWLEDGE
#define HOLDER (head.holder)
#else
/* Of the open segment and of all sealed ones that the head names. */
#define HOLDER                                                                                     \
    (head.holder != NOBODY   -> head.holder   :                                                    \
     (IN_SEALED(0) != NOBODY -> IN_SEALED(0) : IN_SEALED(1)))
#endif

inline takeEffect(change, seals)
{
    if
    :: seals ->
        head.sealed[head.sequence] = SEGMENT_NAME + 1;
        head.sequence++;
        head.holder = NOBODY;
        head.claims = 0
    :: else
    fi;
    if
    :: change == CLAIM_OTHER -> head.claims++
    :: change == GIVE_BACK ->
        head.holder = NOBODY;
        head.claims--
    :: else ->
        head.holder = change;
        head.claims++
    fi;
    revision++;
    lateUnderWay = false;
    lateSeals = false;
    lateChange = 0
}

/* Reads the head into seen, seenHolder and name; chooses whether to seal. A segment is sealed
 * when it is full, or before, as settings may differ between daemons. */
inline readHead()
{
    seen = revision;
    seenHolder = head.holder;
    name = SEGMENT_NAME;
    if
    :: head.claims > 0 && head.sequence < MAX_SEALS -> seals = true
    :: head.claims < FULL -> seals = false
    fi
}

/* Copies the segment that was read aside; what has that name already is taken for it. */
inline sealSegment()
{
    atomic {
        if
        :: !segmentExists[name] ->
            segmentExists[name] = true;
            segmentHolder[name] = seenHolder
        :: else
        fi;
        seenHolder = NOBODY;
        name = 0
    }
}

/* Compare-and-swap of the head that was read; sets `outcome`. Blocks at the bound. */
inline compareAndSwap(change)
{
    atomic {
        revision < MAX_REVISION;
        if
        :: revision == seen ->
            takeEffect(change, seals);
            if
            :: outcome = SWAPPED
            :: outcome = UNKNOWN
            fi
        :: revision == seen && !lateUnderWay ->
            lateUnderWay = true;
            lateSeals = seals;
            lateChange = change;
            outcome = UNKNOWN
        :: revision != seen -> outcome = CONFLICT
        :: outcome = UNKNOWN /* the request was lost, or the answer to a conflict */
        fi;
        seen = 0;
        seenHolder = NOBODY;
        name = 0;
        seals = false
    }
}

/* Claims the key for `attempt`; sets `result` to WON, HELD or 0: could not be settled. */
inline claim(attempt)
{
    do
    :: atomic {
            if
            :: HOLDER == attempt -> result = WON; break
            :: HOLDER != attempt && HOLDER != NOBODY -> result = HELD; break
            :: HOLDER == NOBODY -> readHead()
            fi
        }
#ifdef NO_CAS_BEFORE_SEND
        result = WON;
        break;
#endif
        if
        :: seals -> sealSegment()
        :: else
        fi;
        compareAndSwap(attempt);
        atomic {
            if
            :: outcome == SWAPPED -> result = WON; break
#ifdef NO_SETTLE_REREAD
            :: outcome == UNKNOWN -> result = WON; break
#else
            :: outcome == UNKNOWN /* settled by the read at the top */
            :: outcome == UNKNOWN -> break /* given up: refused, and never sent afterwards */
#endif
            :: outcome == CONFLICT
            fi
        }
    od;
    outcome = 0
}

proctype Gatherer()
{
    byte seen, seenHolder, name, outcome, result;
    bool seals;

    asked;
    claim(1);
    gathered = result;
#ifdef GATHERER_GIVES_BACK
    atomic {
        if
        :: result == 0 && head.holder == 1 -> seen = revision
        :: else -> goto done
        fi
    }
    compareAndSwap(GIVE_BACK);
done:
    skip
#endif
}

proctype Entry(byte attempt)
{
    byte seen, seenHolder, name, outcome, result;
    bool seals;

    if
    :: attempt == 1 ->
        asked = true;
        if
        :: gathered != 0 -> result = gathered
        :: claim(attempt) /* no answer in time: the direct way */
        fi
    :: claim(attempt)
    fi;
    if
    :: result != WON -> goto done
    :: result == WON ->
        sends++;
        assert(sends <= 1);
        goto done
    :: result == WON /* refused before it was sent: the claim is given back */
    fi;
    atomic {
        if
        :: head.holder == attempt -> seen = revision
        :: else -> goto done /* sealed by now: the key stays taken */
        fi
    }
    compareAndSwap(GIVE_BACK);
done:
    skip
}

proctype Filler()
{
    byte seen, seenHolder, name, outcome, fills;
    bool seals;

    do
    :: fills < FILLS ->
        atomic {
            fills++;
            readHead()
        }
        if
        :: seals -> sealSegment()
        :: else
        fi;
        compareAndSwap(CLAIM_OTHER);
        outcome = 0
    :: else -> break
    od
}

/* A write on its way arrives. */
proctype Network()
{
end:
    do
    :: atomic {
            lateUnderWay && revision < MAX_REVISION -> takeEffect(lateChange, lateSeals)
        }
    od
}

init
{
    atomic {
        revision = 1;
        head.claims = 1;
        run Entry(1);
        run Entry(2);
        run Gatherer();
        run Filler();
        run Network()
    }
}
