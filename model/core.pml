/*
 * Dissemination of versions: three nodes, a source, faults with a budget, and ghost state for the
 * properties. Each option of a process is one atomic event, so that a run is a list of events.
 * README.md says what is left out. `-DMUTATION_...` takes one rule away.
 */

#define NODES 3
#define READERS 2
#define SOURCE NODES /* number of the source as the origin of a transfer */

/*
 * Versions in their total order; 0 is none. Without CLASH, 3 is bad: its routes name a resource that
 * its targets lack. With CLASH, all are good, and 2 and 3 were accepted on the same base under the
 * same number; 3 has the greater digest. Routes of version v name resource ROUTES(v), and its
 * targets hold resource TARGETS(v).
 */
#define NEWEST 3
#ifdef CLASH
#define BAD 9
#define NUMBER(v) ((v) == 3 -> 2 : (v))
#define BASE(v) ((v) == 3 -> 1 : (v) - 1)
#else
#define BAD 3
#define NUMBER(v) (v)
#define BASE(v) ((v) - 1)
#endif
#define ROUTES(v) (v)
#define TARGETS(v) ((v) == BAD -> 2 : (v))
#define BIT(v) (1 << (v))
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

#ifndef RESTARTS
#define RESTARTS 2
#endif
#ifndef ROLLBACKS
#define ROLLBACKS 1
#endif
#ifndef PARTITIONS
#define PARTITIONS 1
#endif
#ifndef TRANSFERS
#define TRANSFERS 1
#endif
#ifndef PAUSES
#define PAUSES 1
#endif

/* Version in force on every node at the beginning; none with COLD. */
#ifdef COLD
#define FIRST 0
#else
#define FIRST 1
#endif

/* Random runs are to hold some events; a search also covers runs without faults. */
#ifdef LONG_RUN
#define MAY_CALM (accepted == NEWEST && restarts == RESTARTS && rollbacks == ROLLBACKS)
#else
#define MAY_CALM true
#endif

/* Rules that a mutation takes away. */
#ifdef MUTATION_ORDER
#define NEWER(v, than) ((v) != (than))
#elif defined(MUTATION_CLASH)
#define NEWER(v, than) (NUMBER(v) > NUMBER(than))
#else
#define NEWER(v, than) ((v) > (than))
#endif

byte accepted = FIRST;          /* greatest accepted version */
byte head = FIRST;              /* what the source presents */
byte held[NODES] = FIRST;       /* compiled version */
byte routes[NODES] = FIRST;     /* content in the routing table */
byte targets[NODES] = FIRST;
byte seen[NODES] = FIRST;       /* greatest version heard of */
byte rejected[NODES];       /* mask of rejected versions */
byte pushed = BIT(FIRST);       /* mask of versions pushed; a push arrives late, again or never */
byte told[NODES];           /* mask of the heads that peers named at the start */
bool asked[NODES] = true;   /* the peers were asked */
bool ready[NODES] = FIRST;   /* calls are routed */
bool paused[NODES];
byte wanted_by[NODES];      /* transfer: version, */
byte origin[NODES];         /* origin, */
byte part[NODES];           /* content of the routes part, 0 while absent */

byte transfers;             /* transfers on their way in all, bounded by TRANSFERS */
byte cut;                   /* number of the node that is cut off, plus 1 */
bool calm;                  /* faults are over */
byte restarts;
byte rollbacks;
byte partitions;
byte pauses;

/* Ghost state. */
byte applied[NODES] = FIRST;    /* what the node may not fall below, over all restarts */
bool order_kept = true;
bool version_whole = true;
bool resource_present = true;
bool in_effect_everywhere = true;

#define REACHES(a, b) (cut != (a) + 1 && cut != (b) + 1)
#define IS_REJECTED(n, v) ((rejected[n] & BIT(v)) != 0)
#define WAITS_FOR(n, v) (((told[n] & ~rejected[n]) & BIT(v)) != 0)
#define MEETS_WANTED(n) \
    (held[n] >= (WAITS_FOR(n, 3) -> 3 : \
        (WAITS_FOR(n, 2) -> 2 : (WAITS_FOR(n, 1) -> 1 : 0))))
#define HOLDS_WANTED(n, m) \
    ((m) != (n) && REACHES(n, m) && !paused[m] && NEWER(held[m], held[n]) && asked[m])

mtype = { Abandon, Part, Transfer, Push, Hear, LearnRejected, Pull, Head, Read, Ask, Serve, ServeLate, Restart, Pause, Wake, Cut, Heal };

#define EVENT(name) printf("{\"event\":\"%e\",\"node\":%d", name, n)
#define EVENT_END \
    printf(",\"active\":%d,\"routes\":%d,\"targets\":%d,\"ready\":%d,\"may_serve\":%d,\"rejected\":%d}\n", \
        held[n], routes[n], targets[n], ready[n], \
        (asked[n] && held[n] != 0 && MEETS_WANTED(n)), rejected[n])

/* An exported run goes on to the end of the event that breaks a property. */
#ifdef EXPORT
#define CHECK(property) skip
#else
#define CHECK(property) assert(property)
#endif

inline check(n) {
    version_whole = (routes[n] == ROUTES(held[n]) && targets[n] == TARGETS(held[n]));
    CHECK(version_whole);
    resource_present = (routes[n] == targets[n]);
    CHECK(resource_present);
}

inline install(n) {
    order_kept = (held[n] >= applied[n]);
    CHECK(order_kept);
    applied[n] = held[n];
}

inline reject(n, v) {
    rejected[n] = rejected[n] | BIT(v);
    if
    :: seen[n] == v -> seen[n] = held[n]
    :: else -> skip
    fi;
#ifdef MUTATION_FORGET
    if
    :: (told[n] & BIT(v)) != 0 -> told[n] = 0
    :: else -> skip
    fi
#endif
}

/* Takes a whole version with the content given. */
inline take(n, v, new_routes, new_targets) {
    if
    :: !NEWER(v, held[n]) || IS_REJECTED(n, v) -> skip
#ifndef MUTATION_RESOURCE
    :: else -> if
    :: (new_routes) != (new_targets) -> reject(n, v)
#else
    :: else -> if
#endif
    :: else ->
        routes[n] = new_routes;
        targets[n] = new_targets;
        held[n] = v;
        seen[n] = MAX(seen[n], v);
        pushed = pushed | BIT(v);
        if
        :: ready[n] -> install(n)
        :: else -> skip
        fi
    fi fi;
    check(n);
}

inline end_transfer(n) {
    if
    :: wanted_by[n] != 0 -> transfers--
    :: else -> skip
    fi;
    wanted_by[n] = 0;
    origin[n] = 0;
    part[n] = 0;
}

inline start_transfer(n, v, from) {
    transfers++;
    wanted_by[n] = v;
    origin[n] = from;
}

/* Takes one part from an origin that now holds version v, or gives up if it moved on. */
inline transfer_part(n, v, is_there) {
    if
#ifdef MUTATION_HASH
    :: !(is_there) ->
#else
    :: !(is_there) || v != wanted_by[n] ->
#endif
        EVENT(Abandon); end_transfer(n)
    :: else ->
        if
        :: part[n] == 0 ->
            EVENT(Part); printf(",\"version\":%d", wanted_by[n]);
            part[n] = ROUTES(v);
#ifdef MUTATION_PART
            routes[n] = part[n];
            check(n);
#endif
        :: else ->
            EVENT(Transfer); printf(",\"version\":%d,\"part_routes\":%d,\"part_targets\":%d",
                wanted_by[n], part[n], TARGETS(v));
            take(n, wanted_by[n], part[n], TARGETS(v));
            end_transfer(n)
        fi
    fi;
    EVENT_END;
}

#define TOLD_BY(m) \
    (((m) != n && REACHES(n, m) && !paused[m] && asked[m]) -> (BIT(held[m]) | BIT(seen[m])) : 0)

/* Lowers what the node may not fall below to what the peers it asked know; see README.md. */
inline owe(n) {
    if
    :: (told[n] & BIT(3)) != 0 && BAD != 3 -> skip
    :: else -> if
    :: (told[n] & BIT(2)) != 0 -> applied[n] = MIN(applied[n], 2)
    :: else -> if
    :: (told[n] & BIT(1)) != 0 -> applied[n] = MIN(applied[n], 1)
    :: else -> applied[n] = 0
    fi fi fi
}

#define PUSH(v) \
    :: d_step { !calm && !paused[n] && (pushed & BIT(v)) != 0 && NEWER(v, held[n]) \
        && !IS_REJECTED(n, v) && BASE(v) == held[n] -> \
        EVENT(Push); printf(",\"version\":%d", v); \
        take(n, v, ROUTES(v), TARGETS(v)); EVENT_END }

/* Heads that spread ahead of the content. */
#ifdef GOSSIP
#define HEAR(m) \
    :: d_step { !paused[n] && asked[n] && m != n && REACHES(n, m) && !paused[m] \
        && seen[m] > seen[n] && !IS_REJECTED(n, seen[m]) -> \
        EVENT(Hear); printf(",\"peer\":%d,\"version\":%d", m, seen[m]); \
        seen[n] = seen[m]; EVENT_END }
#else
#define HEAR(m)
#endif

#define PEER(m) \
    HEAR(m) \
    :: d_step { !paused[n] && m != n && REACHES(n, m) && !paused[m] \
        && (rejected[m] & ~rejected[n]) != 0 -> \
        EVENT(LearnRejected); printf(",\"peer\":%d", m); \
        reject(n, BAD); EVENT_END } \
    PULL(m)

#ifdef MUTATION_REPAIR
#define PULL(m)
#else
#define PULL(m) \
    :: d_step { !paused[n] && asked[n] && m != n && REACHES(n, m) && !paused[m] \
        && wanted_by[n] == 0 && transfers < TRANSFERS && NEWER(held[m], held[n]) && held[m] != 0 \
        && !IS_REJECTED(n, held[m]) -> \
        EVENT(Pull); printf(",\"peer\":%d,\"version\":%d", m, held[m]); \
        if \
        :: BASE(held[m]) == held[n] -> take(n, held[m], routes[m], targets[m]) \
        :: else -> start_transfer(n, held[m], m) \
        fi; \
        EVENT_END } \
    :: d_step { !paused[n] && wanted_by[n] != 0 && origin[n] == m && m != n -> \
        transfer_part(n, held[m], REACHES(n, m) && !paused[m]) }
#endif

active [NODES] proctype node() {
    byte n = _pid;
    do
    PUSH(1)
    PUSH(2)
    PUSH(3)
    PEER(0)
    PEER(1)
    PEER(2)

    /* The reader duty: watch the head, then read the delta or the parts. */
    :: d_step { n < READERS && !paused[n] && asked[n] && cut != n + 1 && head > seen[n] &&
        !IS_REJECTED(n, head) ->
        EVENT(Head); printf(",\"version\":%d", head);
        seen[n] = head; EVENT_END }
    :: d_step { n < READERS && !paused[n] && asked[n] && cut != n + 1 && wanted_by[n] == 0 && transfers < TRANSFERS &&
        head != 0 && NEWER(head, held[n]) && !IS_REJECTED(n, head) ->
        EVENT(Read); printf(",\"version\":%d", head);
        if
        :: BASE(head) == held[n] && held[n] != 0 ->
            take(n, head, ROUTES(head), TARGETS(head))
        :: else -> start_transfer(n, head, SOURCE)
        fi;
        EVENT_END }
    :: d_step { !paused[n] && wanted_by[n] != 0 && origin[n] == SOURCE ->
        transfer_part(n, head, cut != n + 1) }

    /* The start. */
    :: d_step { !paused[n] && !asked[n] ->
        told[n] = TOLD_BY(0) | TOLD_BY(1) | TOLD_BY(2);
        owe(n);
        asked[n] = true;
        EVENT(Ask); printf(",\"told\":%d", told[n]); EVENT_END }
#ifdef MUTATION_START
    :: d_step { !paused[n] && asked[n] && !ready[n] && held[n] != 0 ->
#else
    :: d_step { !paused[n] && asked[n] && !ready[n] && held[n] != 0 && MEETS_WANTED(n) ->
#endif
        ready[n] = true;
        told[n] = 0;
        install(n);
        EVENT(Serve); EVENT_END }
    /* The deadline of the start passes while no reachable peer has a newer version. */
    :: d_step { !paused[n] && asked[n] && !ready[n] && held[n] != 0 && !MEETS_WANTED(n) &&
        !HOLDS_WANTED(n, 0) && !HOLDS_WANTED(n, 1) && !HOLDS_WANTED(n, 2) ->
        applied[n] = held[n];
        ready[n] = true;
        told[n] = 0;
        install(n);
        EVENT(ServeLate); EVENT_END }

    /* Faults. */
    /* Readers are alike, so that the first to restart need not be node 0. */
    :: d_step { !calm && restarts < RESTARTS && held[n] != 0 && (n != 0 || restarts > 0) ->
        restarts++;
        held[n] = 0; routes[n] = 0; targets[n] = 0; seen[n] = 0; rejected[n] = 0;
        told[n] = 0; asked[n] = false; ready[n] = false; paused[n] = false;
        end_transfer(n);
        EVENT(Restart); EVENT_END }
    :: d_step { !calm && !paused[n] && pauses < PAUSES ->
        pauses++;
        paused[n] = true;
        EVENT(Pause); EVENT_END }
    :: d_step { paused[n] ->
        paused[n] = false;
        end_transfer(n);
#ifdef MUTATION_TIMER
        if
        :: asked[n] && !ready[n] && held[n] != 0 -> ready[n] = true; install(n)
        :: else -> skip
        fi;
#endif
        EVENT(Wake); EVENT_END }
    :: d_step { !calm && cut == 0 && partitions < PARTITIONS ->
        partitions++;
        cut = n + 1;
        EVENT(Cut); EVENT_END }
    :: d_step { cut == n + 1 ->
        cut = 0;
        EVENT(Heal); EVENT_END }
    od
}

active proctype source() {
    do
    :: d_step { !calm && accepted < NEWEST ->
        accepted++;
        head = accepted;
        printf("{\"event\":\"Accept\",\"version\":%d}\n", accepted) }
    :: d_step { head < accepted && !calm ->
        head = accepted;
        printf("{\"event\":\"Publish\",\"version\":%d}\n", head) }
    :: d_step { !calm && rollbacks < ROLLBACKS && head > 1 ->
        rollbacks++;
        head--;
        printf("{\"event\":\"RollBack\",\"version\":%d}\n", head) }
    :: d_step { !calm && MAY_CALM ->
        calm = true;
        printf("{\"event\":\"Calm\"}\n") }
    od
}

#define IN_EFFECT(n) (held[n] == newest && ready[n])

/* Runs when nothing is left to do, which is after the faults are over. */
active proctype judge() {
    byte newest;
    atomic {
        timeout ->
        newest = (head == BAD -> 0 : head);
        newest = MAX(newest, MAX(held[0], MAX(held[1], held[2])));
        in_effect_everywhere =
            (newest == 0 || (IN_EFFECT(0) && IN_EFFECT(1) && IN_EFFECT(2)));
        CHECK(in_effect_everywhere);
        in_effect_everywhere = true
    }
}
