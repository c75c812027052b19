/* Orders to targets: one issuer by lease, with a fencing number that only grows.
 *
 * Two daemons want to issue. Time moves in ticks of the platform's service; a holder's clock may
 * be behind by DRIFT ticks in a lease. A holder counts its lease from before it asked for it and
 * stops EARLY ticks before its end. It may be paused at any step, also between its last look at
 * the clock and the send. An order is on its way for up to FLIGHT ticks. A successor gets the
 * lease when it has lapsed at the service and then waits for the drift and the flight.
 *
 * A target that checks the number never takes an order of an old holder after one of a newer,
 * whatever is paused. One that ignores it takes such an order only if its holder was paused for
 * longer than EARLY between look and send: that is the window which is left. Reconciliation
 * heals what came of it, as each order states the whole wanted state.
 *
 * Each variant lacks one guard, or denies the window, and must fail:
 * broken: FENCING_NUMBER_REUSED
 * broken: COUNTS_FROM_THE_ANSWER
 * broken: NO_DRIFT_MARGIN
 * broken: NO_WAIT_FOR_FLIGHT
 * broken: NO_WINDOW
 */

#define LEASE 5
#define EARLY 1
#define DRIFT 1
#define FLIGHT 1
#define MAX_TIME 16
#define MAX_GRANTS 3

#ifdef NO_DRIFT_MARGIN
#define WAIT FLIGHT
#else
#ifdef NO_WAIT_FOR_FLIGHT
#define WAIT DRIFT
#else
#define WAIT (DRIFT + FLIGHT)
#endif
#endif

byte time;
byte grants;    /* leases granted; each is a holder newer than all before */
byte leaseLeft; /* ticks for which the service keeps the present lease */

byte age[2];    /* of each daemon's lease, by its own clock */
byte waited[2]; /* ticks since its lease was granted */
bool slipped[2];
byte paused[2]; /* ticks since its last look at the clock */

typedef Order {
    bool underWay;
    byte grant;
    byte flight;
    bool overslept
}

Order orders[2];

#define HAS_FLOWN(d) (orders[d].underWay && orders[d].flight == FLIGHT)

byte checkedNumber; /* largest fencing number that the checking target saw */
byte checkedGrant;  /* the newest holder whose order each target took */
byte ignoringGrant;

#ifdef FENCING_NUMBER_REUSED
#define NUMBER(grant) 1
#else
#define NUMBER(grant) (grant)
#endif

proctype Clock()
{
    byte d;

end:
    do
    :: atomic {
            /* An order that has flown its time arrives before time goes on. */
            time < MAX_TIME && !HAS_FLOWN(0) && !HAS_FLOWN(1) ->
            time++;
            leaseLeft = (leaseLeft > 0 -> leaseLeft - 1 : 0);
            d = 0;
            do
            :: d < 2 ->
                if
                :: age[d] < LEASE -> age[d]++
                :: age[d] >= LEASE
                :: age[d] < LEASE && !slipped[d] -> slipped[d] = true
                fi;
                waited[d] = (waited[d] < WAIT -> waited[d] + 1 : waited[d]);
                paused[d] = (paused[d] <= EARLY -> paused[d] + 1 : paused[d]);
                orders[d].flight = (orders[d].underWay -> orders[d].flight + 1 : 0);
                d++
            :: else -> break
            od;
            d = 0
        }
    od
}

inline askForLease()
{
    do
    :: atomic {
            age[d] = 0; /* before the request leaves */
            slipped[d] = false
        }
        if
        :: atomic {
                leaseLeft == 0 && grants < MAX_GRANTS -> /* the service's compare-and-swap */
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
        age[d] = 0;
        slipped[d] = false
    }
#endif
    waited[d] = 0
}

proctype Issuer(byte d)
{
    byte grant;

end:
    do
    :: askForLease();
endWait:
        waited[d] >= WAIT;
        do
        :: atomic { age[d] < LEASE - EARLY && !orders[d].underWay -> paused[d] = 0 }
            atomic {
                orders[d].underWay = true;
                orders[d].grant = grant;
                orders[d].flight = 0;
                orders[d].overslept = paused[d] > EARLY
            }
        :: age[d] >= LEASE - EARLY -> break
        od
    od
}

inline takeOrder(o)
{
    if
    :: NUMBER(o.grant) >= checkedNumber ->
        checkedNumber = NUMBER(o.grant);
        assert(o.grant >= checkedGrant);
        checkedGrant = o.grant
    :: else /* refused: 409 */
    fi;
#ifdef NO_WINDOW
    assert(o.grant >= ignoringGrant);
#else
    assert(o.grant >= ignoringGrant || o.overslept);
#endif
    ignoringGrant = (o.grant > ignoringGrant -> o.grant : ignoringGrant);
    o.underWay = false;
    o.grant = 0;
    o.flight = 0;
    o.overslept = false
}

proctype Targets()
{
end:
    do
    :: atomic { orders[0].underWay -> takeOrder(orders[0]) }
    :: atomic { orders[1].underWay -> takeOrder(orders[1]) }
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
