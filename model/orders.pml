/* Orders to targets: one issuer by lease, with a monotonically increasing fencing number.
 *
 * Two daemons compete for the lease. Time advances in ticks of the platform's store; a holder's
 * clock may lag by DRIFT ticks during a lease. A holder counts its lease from before it sends the
 * lease request and stops issuing STOP_MARGIN ticks before the end. It may pause at any step, also
 * between its last clock read and the send. An order is in transit for up to TRANSIT ticks. A
 * successor gets the lease when it has expired at the store, and then waits for the drift and the
 * transit time.
 *
 * A target that checks the fencing number never accepts an order of an old holder after one of a
 * newer holder, however long a process pauses. A target that ignores the number does so only if
 * the old holder paused for more than STOP_MARGIN ticks between clock read and send. This window
 * remains. Reconciliation repairs the effects, as each order states the complete desired state.
 *
 * Each variant omits one guard, or asserts that there is no window, and must fail:
 * broken: FENCING_NUMBER_REUSED
 * broken: COUNTS_FROM_THE_ANSWER
 * broken: NO_DRIFT_MARGIN
 * broken: NO_WAIT_FOR_FLIGHT
 * broken: NO_WINDOW
 */

#define LEASE 5
#define STOP_MARGIN 1
#define DRIFT 1
#define TRANSIT 1
#define MAX_TIME 16
#define MAX_GRANTS 3

#ifdef NO_DRIFT_MARGIN
#define TAKEOVER_WAIT TRANSIT
#else
#ifdef NO_WAIT_FOR_FLIGHT
#define TAKEOVER_WAIT DRIFT
#else
#define TAKEOVER_WAIT (DRIFT + TRANSIT)
#endif
#endif

byte time;
byte grants;    /* leases granted so far; the number of the newest holder */
byte leaseLeft; /* ticks until the lease expires at the store */

byte leaseAge[2];       /* ticks of each daemon's lease by its own clock */
byte waited[2];         /* ticks since the lease was granted, up to TAKEOVER_WAIT */
bool hasLagged[2];      /* the clock has missed its DRIFT tick in this lease */
byte sinceClockRead[2]; /* ticks since the last clock read */

typedef Order {
    bool inTransit;
    byte grant;
    byte transitTime;
    bool sentLate
}

Order orders[2];

#define IS_DUE(d) (orders[d].inTransit && orders[d].transitTime == TRANSIT)

byte maxFencingNumber; /* largest fencing number that the checking target has accepted */
byte checkingGrant;    /* newest holder whose order the checking target accepted */
byte ignoringGrant;    /* the same for the target that ignores the fencing number */

#ifdef FENCING_NUMBER_REUSED
#define FENCING_NUMBER(grant) 1
#else
#define FENCING_NUMBER(grant) (grant)
#endif

proctype Clock()
{
    byte d;

end:
    do
    :: atomic {
            /* An order that has been in transit for TRANSIT ticks arrives before time advances. */
            time < MAX_TIME && !IS_DUE(0) && !IS_DUE(1) ->
            time++;
            leaseLeft = (leaseLeft > 0 -> leaseLeft - 1 : 0);
            d = 0;
            do
            :: d < 2 ->
                if
                :: leaseAge[d] < LEASE -> leaseAge[d]++
                :: leaseAge[d] >= LEASE
                :: leaseAge[d] < LEASE && !hasLagged[d] -> hasLagged[d] = true
                fi;
                waited[d] = (waited[d] < TAKEOVER_WAIT -> waited[d] + 1 : waited[d]);
                sinceClockRead[d] =
                    (sinceClockRead[d] <= STOP_MARGIN -> sinceClockRead[d] + 1 : sinceClockRead[d]);
                orders[d].transitTime = (orders[d].inTransit -> orders[d].transitTime + 1 : 0);
                d++
            :: else -> break
            od;
            d = 0
        }
    od
}

inline acquireLease()
{
    do
    :: atomic {
            leaseAge[d] = 0; /* before the request is sent */
            hasLagged[d] = false
        }
        if
        :: atomic {
                leaseLeft == 0 && grants < MAX_GRANTS -> /* the store's compare-and-swap */
                grants++;
                grant = grants;
                leaseLeft = LEASE
            }
            break
        :: leaseLeft > 0 || grants == MAX_GRANTS
        fi
    od;
#ifdef COUNTS_FROM_THE_ANSWER
    atomic {
        leaseAge[d] = 0;
        hasLagged[d] = false
    }
#endif
    waited[d] = 0
}

proctype Issuer(byte d)
{
    byte grant;

end:
    do
    :: acquireLease();
endWait:
        waited[d] >= TAKEOVER_WAIT;
        do
        :: atomic {
                leaseAge[d] < LEASE - STOP_MARGIN && !orders[d].inTransit -> sinceClockRead[d] = 0
            }
            atomic {
                orders[d].inTransit = true;
                orders[d].grant = grant;
                orders[d].transitTime = 0;
                orders[d].sentLate = sinceClockRead[d] > STOP_MARGIN
            }
        :: leaseAge[d] >= LEASE - STOP_MARGIN -> break
        od
    od
}

inline deliverOrder(o)
{
    if
    :: FENCING_NUMBER(o.grant) >= maxFencingNumber ->
        maxFencingNumber = FENCING_NUMBER(o.grant);
        assert(o.grant >= checkingGrant);
        checkingGrant = o.grant
    :: else /* refused: 409 */
    fi;
#ifdef NO_WINDOW
    assert(o.grant >= ignoringGrant);
#else
    assert(o.grant >= ignoringGrant || o.sentLate);
#endif
    ignoringGrant = (o.grant > ignoringGrant -> o.grant : ignoringGrant);
    o.inTransit = false;
    o.grant = 0;
    o.transitTime = 0;
    o.sentLate = false
}

proctype Targets()
{
end:
    do
    :: atomic { orders[0].inTransit -> deliverOrder(orders[0]) }
    :: atomic { orders[1].inTransit -> deliverOrder(orders[1]) }
    od
}

init
{
    atomic {
        run Clock();
        run Issuer(0);
        run Issuer(1);
        run Targets()
    }
}
