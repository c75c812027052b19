/* Claims of one shard: at most one send for one idempotency key.
 *
 * Two requests with the same key arrive at two daemons. Each shard has a gatherer, the daemon that
 * claims keys for the others. The second daemon believes that it is the gatherer. The first daemon
 * may ask another process that believes the same, and claims the key directly if no answer
 * arrives. A fourth daemon claims other keys and seals segments. Every interleaving is explored:
 * a process that is not scheduled again models a crash, one that is scheduled late models a pause,
 * and either can happen between any two steps.
 *
 * The head of the shard is one value in the platform's store. A write to it may be answered, take
 * effect without an answer, be lost, or be delayed and take effect later.
 *
 * Each variant omits one guard and must fail:
 * broken: NO_CAS_BEFORE_SEND
 * broken: NO_REVISION_IN_SEAL
 * broken: NO_SETTLE_REREAD
 * broken: NO_SEALED_KNOWLEDGE
 * broken: GATHERER_GIVES_BACK
 */

#define SEGMENT_CAPACITY 2 /* claims in a full segment */
#define MAX_REVISION 6     /* bound on writes to the head; revision 1 is the initial state */
#define MAX_SEALS 2
#define OTHER_CLAIMS 3 /* claims for other keys, besides the initial one */

/* The change that a write makes to the head: 1 or 2 claims the key for that attempt, or: */
#define CLAIM_OTHER 0
#define RELEASE 3

#define NOBODY 0
#define SWAPPED 1
#define CONFLICT 2
#define UNKNOWN 3

#define WON 1
#define HELD 2

typedef Head {
    byte holder; /* attempt that claims the key in the open segment */
    byte claims; /* claims in the open segment */
    byte sequence;
    byte sealed[MAX_SEALS] /* name of each sealed segment, plus one; 0: none */
}

Head head;
byte revision;

bool segmentExists[MAX_REVISION + 1]; /* sealed segments by name */
byte segmentHolder[MAX_REVISION + 1];

/* A delayed write that expects the current revision. A write that expects another revision has no
 * effect, and of several with the same revision only one can take effect, so one is modelled. */
bool delayedPending;
bool delayedSeals;
byte delayedChange;

byte gathererResult; /* the gatherer's answer to the first daemon; 0: none */
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
/* The holder in the open segment or in any sealed segment that the head names. */
#define HOLDER                                                                                     \
    (head.holder != NOBODY   -> head.holder   :                                                    \
     (IN_SEALED(0) != NOBODY -> IN_SEALED(0) : IN_SEALED(1)))
#endif

inline applyWrite(change, seals)
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
    :: change == RELEASE ->
        head.holder = NOBODY;
        head.claims--
    :: else ->
        head.holder = change;
        head.claims++
    fi;
    revision++;
    delayedPending = false;
    delayedSeals = false;
    delayedChange = 0
}

/* Reads the head into readRevision, readHolder and segmentName, and chooses whether to seal. A
 * full segment is sealed; one that is not full may be, as settings can differ between daemons. */
inline readHead()
{
    readRevision = revision;
    readHolder = head.holder;
    segmentName = SEGMENT_NAME;
    if
    :: head.claims > 0 && head.sequence < MAX_SEALS -> seals = true
    :: head.claims < SEGMENT_CAPACITY -> seals = false
    fi
}

/* Writes the segment that was read as a sealed segment, unless one of that name exists. */
inline sealSegment()
{
    atomic {
        if
        :: !segmentExists[segmentName] ->
            segmentExists[segmentName] = true;
            segmentHolder[segmentName] = readHolder
        :: else
        fi;
        readHolder = NOBODY;
        segmentName = 0
    }
}

/* Compare-and-swap of the head that was read; sets `outcome`. Blocks at MAX_REVISION. */
inline compareAndSwap(change)
{
    atomic {
        revision < MAX_REVISION;
        if
        :: revision == readRevision ->
            applyWrite(change, seals);
            if
            :: outcome = SWAPPED
            :: outcome = UNKNOWN
            fi
        :: revision == readRevision && !delayedPending ->
            delayedPending = true;
            delayedSeals = seals;
            delayedChange = change;
            outcome = UNKNOWN
        :: revision != readRevision -> outcome = CONFLICT
        :: outcome = UNKNOWN /* the request, or the answer to a conflict, is lost */
        fi;
        readRevision = 0;
        readHolder = NOBODY;
        segmentName = 0;
        seals = false
    }
}

/* Claims the key for `attempt`; sets `result` to WON, HELD or 0 (outcome not known). */
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
            :: outcome == UNKNOWN /* resolved by the read at the top */
            :: outcome == UNKNOWN -> break /* abandoned: refused and never sent */
#endif
            :: outcome == CONFLICT
            fi
        }
    od;
    outcome = 0
}

proctype Gatherer()
{
    byte readRevision, readHolder, segmentName, outcome, result;
    bool seals;

    asked;
    claim(1);
    gathererResult = result;
#ifdef GATHERER_GIVES_BACK
    atomic {
        if
        :: result == 0 && head.holder == 1 -> readRevision = revision
        :: else -> goto done
        fi
    }
    compareAndSwap(RELEASE);
done:
    skip
#endif
}

proctype Entry(byte attempt)
{
    byte readRevision, readHolder, segmentName, outcome, result;
    bool seals;

    if
    :: attempt == 1 ->
        asked = true;
        if
        :: gathererResult != 0 -> result = gathererResult
        :: claim(attempt) /* no answer in time: claims the key directly */
        fi
    :: claim(attempt)
    fi;
    if
    :: result != WON -> goto done
    :: result == WON ->
        sends++;
        assert(sends <= 1);
        goto done
    :: result == WON /* refused before it was sent: releases the claim */
    fi;
    atomic {
        if
        :: head.holder == attempt -> readRevision = revision
        :: else -> goto done /* already sealed: the key stays claimed */
        fi
    }
    compareAndSwap(RELEASE);
done:
    skip
}

proctype OtherClaimer()
{
    byte readRevision, readHolder, segmentName, outcome, otherClaims;
    bool seals;

    do
    :: otherClaims < OTHER_CLAIMS ->
        atomic {
            otherClaims++;
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

/* Delivers the delayed write. */
proctype Network()
{
end:
    do
    :: atomic {
            delayedPending && revision < MAX_REVISION -> applyWrite(delayedChange, delayedSeals)
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
        run OtherClaimer();
        run Network()
    }
}
