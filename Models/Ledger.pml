/*
 * One ledger shard with one job and one place to run it, two owners: docs/DESIGN.md, "Jobs and requests that run at most
 * once".
 */
// mutants: NO_READ_BACK NO_START_BY_WAIT DELETE_SLOTS NO_FENCE_ENTRY NO_INTENT NO_ONCE
/*
 * An entry of the log carries the state that it makes; a snapshot's part in that is left out. Any time may pass between
 * two steps of an owner, which covers pauses. A write may be answered, or take effect and lose its answer, or time out and
 * take effect later or never. A start may arrive at any time. Of the worker's clock only matters whether the window of a
 * reservation has closed. The place does not refuse a second start of one attempt, since two owners may reserve on two
 * workers. The worker may reboot once. Either owner may take over whenever it isn't the owner; the length of the log bounds the run.
 *
 * Invariants: no attempt runs twice; no two attempts run at once; an at-most-once job runs once; an accepted job is in
 * every later entry; no commit of an owner succeeds once another has taken over.
 */

#define SLOTS 3
#ifndef LAST
#define LAST 5 /* number of the last entry */
#endif
#define ATTEMPTS 2

#define ABSENT 0
#define RUNNING 1
#define ENDED 2

typedef Shard {
    bit accepted;
    byte attempt; /* number of the last attempt */
    bit open;     /* it isn't resolved */
    bit by;       /* who intended it */
    bit over;
};

typedef Entry {
    byte number;
    byte revision; /* 0: the slot doesn't exist */
    byte epoch;
    bit owner;
    Shard state;
};

typedef Late {
    bit waits;
    byte expected;
    Entry entry;
};

Entry ring[SLOTS];
byte revision;
Late late[2];

typedef Windows {
    bit open[ATTEMPTS + 1];
    bit sent[ATTEMPTS + 1]; /* a start is under way */
};
Windows windows[2];
byte listed[ATTEMPTS + 1];
byte runs[ATTEMPTS + 1];

/* What the judge knows. */
byte topEpoch;
bit acceptedForSure;
bit once;

inline copyState(to, from)
{
    to.accepted = from.accepted;
    to.attempt = from.attempt;
    to.open = from.open;
    to.by = from.by;
    to.over = from.over
}

inline clearState(what)
{
    what.accepted = 0;
    what.attempt = 0;
    what.open = 0;
    what.by = 0;
    what.over = 0
}

inline copyEntry(to, from)
{
    to.number = from.number;
    to.epoch = from.epoch;
    to.owner = from.owner;
    copyState(to.state, from.state)
}

/* A late write whose slot has moved on can't take effect any more. */
inline dropLate(who)
{
    if
    :: late[who].waits && ring[late[who].entry.number % SLOTS].revision != late[who].expected ->
        late[who].waits = 0;
        late[who].expected = 0;
        late[who].entry.number = 0;
        late[who].entry.epoch = 0;
        late[who].entry.owner = 0;
        clearState(late[who].entry.state)
    :: else -> skip
    fi
}

/* Writes `what` if its slot has the revision `revisionSeen`. */
inline swap(what, revisionSeen, written)
{
    if
    :: ring[what.number % SLOTS].revision == revisionSeen ->
        assert(what.epoch >= topEpoch);
        assert(what.state.accepted || !acceptedForSure);
        topEpoch = what.epoch;
        revision++;
        /* Only the newest entry's state is ever read. */
        clearState(ring[0].state);
        clearState(ring[1].state);
        clearState(ring[2].state);
        copyEntry(ring[what.number % SLOTS], what);
        ring[what.number % SLOTS].revision = revision;
#ifndef MUTANT_DELETE_SLOTS
        dropLate(0);
        dropLate(1);
#endif
        written = true
    :: else -> written = false
    fi
}

/* The owner knows that `next` is in the log. */
inline adopt()
{
    outcome = 1;
    expected[next.number % SLOTS] = ring[next.number % SLOTS].revision;
    copyEntry(mine, next);
#ifdef MUTANT_DELETE_SLOTS
    /* A snapshot holds all entries before this one. */
    slot = 0;
    do
    :: slot == SLOTS -> break
    :: slot < SLOTS ->
        if
        :: slot != next.number % SLOTS && ring[slot].revision == expected[slot] ->
            ring[slot].revision = 0;
            ring[slot].number = 0;
            expected[slot] = 0
        :: else -> skip
        fi;
        slot++
    od;
    slot = 0;
#endif
    forget()
}

inline forget()
{
    next.number = 0;
    next.epoch = 0;
    next.owner = 0;
    clearState(next.state)
}

/* Commits `next`; `outcome` becomes 1 when it is in the log, 2 when another owner's entry is. */
inline commit()
{
    outcome = 0;
    do
    :: outcome == 1 || outcome == 2 -> break
    /* Answered. */
    :: atomic {
           outcome == 0 ->
           swap(next, expected[next.number % SLOTS], written);
           if
           :: written -> adopt()
           :: else -> outcome = 3
           fi;
           written = 0
       }
    /* Took effect, the answer is lost. */
    :: atomic {
           outcome == 0 ->
           swap(next, expected[next.number % SLOTS], written);
           written = 0;
           outcome = 3
       }
    /* Timed out, and takes effect later or never. */
    :: atomic {
           outcome == 0 && !late[me].waits ->
           late[me].waits = 1;
           late[me].expected = expected[next.number % SLOTS];
           copyEntry(late[me].entry, next);
           outcome = 3
       }
    /* Reads the slot back before anything else. */
    :: atomic {
           outcome == 3 ->
#ifdef MUTANT_NO_READ_BACK
           adopt()
#else
           if
           :: ring[next.number % SLOTS].revision == expected[next.number % SLOTS] -> outcome = 0
           :: else ->
               if
               :: (ring[next.number % SLOTS].number == next.number && ring[next.number % SLOTS].owner == me &&
                   ring[next.number % SLOTS].epoch == next.epoch) -> adopt()
               :: else -> outcome = 2
               fi
           fi
#endif
       }
    od
}

inline prepare()
{
    copyEntry(next, mine);
    next.number = mine.number + 1
}

proctype Owner(bit me)
{
    Entry mine;
    Entry next;
    byte expected[SLOTS];
    byte slot;
    byte outcome;
    byte seen;
    bit closed;
    bit written;

takeOver:
    atomic {
        forget();
        seen = 0;
        closed = 0;
        mine.number = 0;
        mine.epoch = 0;
        clearState(mine.state);
        slot = 0;
        do
        :: slot == SLOTS -> break
        :: slot < SLOTS ->
            expected[slot] = ring[slot].revision;
            if
            :: ring[slot].number > mine.number -> copyEntry(mine, ring[slot])
            :: else -> skip
            fi;
            slot++
        od;
        slot = 0;
        if
        :: mine.number >= LAST -> goto end
        :: else -> skip
        fi;
        prepare();
        next.epoch = mine.epoch + 1;
        next.owner = me
    }
#ifdef MUTANT_NO_FENCE_ENTRY
    atomic {
        mine.epoch = mine.epoch + 1;
        mine.owner = me;
        topEpoch = (mine.epoch > topEpoch -> mine.epoch : topEpoch)
    }
#else
    commit();
    if
    :: outcome == 2 -> goto takeOver
    :: else -> skip
    fi;
#endif

    do
    :: mine.number >= LAST -> break
    /* Sees by itself that another is assigned, or is restarted. */
    :: true -> goto takeOver
    :: mine.number < LAST && !mine.state.accepted ->
        atomic {
            prepare();
            next.state.accepted = 1
        }
        commit();
        if
        :: outcome == 2 -> goto takeOver
        :: else -> acceptedForSure = 1
        fi
    :: (mine.number < LAST && mine.state.accepted && !mine.state.open && !mine.state.over &&
        mine.state.attempt < ATTEMPTS) ->
        atomic {
            prepare();
            next.state.attempt = mine.state.attempt + 1;
            next.state.open = 1;
            next.state.by = me;
            /* The reservation. */
            windows[me].open[next.state.attempt] = 1
        }
#ifdef MUTANT_NO_INTENT
        windows[me].sent[next.state.attempt] = 1;
#endif
        commit();
        if
        :: outcome == 2 -> goto takeOver
        :: else -> skip
        fi;
        /* A pause may come here. */
        windows[me].sent[mine.state.attempt] = windows[me].open[mine.state.attempt]
    :: mine.number < LAST && mine.state.open ->
        atomic {
            seen = listed[mine.state.attempt];
            closed = !windows[mine.state.by].open[mine.state.attempt]
        }
#ifdef MUTANT_NO_START_BY_WAIT
        closed = 1;
#endif
        if
        :: seen == RUNNING || (seen == ABSENT && !closed) -> skip
        :: seen == ENDED || (seen == ABSENT && closed) ->
            atomic {
                prepare();
                next.state.open = 0;
#ifdef MUTANT_NO_ONCE
                next.state.over = (seen == ENDED);
#else
                next.state.over = (seen == ENDED || once);
#endif
            }
            commit();
            if
            :: outcome == 2 -> goto takeOver
            :: else -> skip
            fi
        fi;
        seen = 0;
        closed = 0
    od;
end:
    skip
}

inline deliverStart(daemon, which)
{
    windows[daemon].sent[which] = 0;
    if
    :: windows[daemon].open[which] ->
        runs[which]++;
        assert(runs[which] <= 1);
        assert(listed[1] != RUNNING && listed[2] != RUNNING);
        assert(!once || runs[1] + runs[2] <= 1);
        listed[which] = RUNNING
    :: else -> skip
    fi
}

#define START_ARRIVES(daemon, which) atomic { windows[daemon].sent[which] -> deliverStart(daemon, which) }
/* A start that arrives later is refused. */
#define WINDOW_CLOSES(daemon, which) \
    atomic { \
        windows[daemon].open[which] -> windows[daemon].open[which] = 0; \
        windows[daemon].sent[which] = 0 \
    }
#define RUN_ENDS(which) atomic { listed[which] == RUNNING -> listed[which] = ENDED }
#define LATE_WRITE(daemon) \
    atomic { \
        late[daemon].waits -> swap(late[daemon].entry, late[daemon].expected, written); \
        written = 0; \
        late[daemon].waits = 0; \
        dropLate(daemon) \
    }

/* The worker and the network. */
active proctype World()
{
    bit written;
    bit rebooted;

    atomic {
        if
        :: once = 0
        :: once = 1
        fi;
        run Owner(0);
        run Owner(1)
    }
endWorld:
    do
    :: START_ARRIVES(0, 1)
    :: START_ARRIVES(0, 2)
    :: START_ARRIVES(1, 1)
    :: START_ARRIVES(1, 2)
    :: WINDOW_CLOSES(0, 1)
    :: WINDOW_CLOSES(0, 2)
    :: WINDOW_CLOSES(1, 1)
    :: WINDOW_CLOSES(1, 2)
    :: RUN_ENDS(1)
    :: RUN_ENDS(2)
    /* A reboot: nothing of it is listed, and no reservation counts. */
    :: atomic {
           !rebooted && listed[1] + listed[2] > 0 ->
           rebooted = 1;
           listed[1] = ABSENT;
           listed[2] = ABSENT;
           windows[0].open[1] = 0;
           windows[0].open[2] = 0;
           windows[1].open[1] = 0;
           windows[1].open[2] = 0;
           windows[0].sent[1] = 0;
           windows[0].sent[2] = 0;
           windows[1].sent[1] = 0;
           windows[1].sent[2] = 0
       }
    :: LATE_WRITE(0)
    :: LATE_WRITE(1)
    od
}
