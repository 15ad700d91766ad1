/*
 * Model of one ledger shard with one job, one place to run it and two owners. It specifies the protocol in
 * docs/DESIGN.md, "Jobs and requests that run at most once".
 */
// mutants: NO_READ_BACK NO_START_BY_WAIT DELETE_SLOTS NO_FENCE_ENTRY NO_INTENT NO_ONCE
/*
 * Each log entry holds the complete state after it; the part that a snapshot would hold is not modelled. Any time may
 * pass between two steps of an owner, which covers pauses. A write may be answered, may take effect and lose its
 * answer, or may time out and take effect later or never. A start may arrive at any time. The worker's clock is
 * reduced to whether the start window of a reservation has closed. The place does not refuse a second start of the
 * same attempt, because two owners may reserve on two workers. The worker may reboot once. Either owner may take over
 * at any time; the length of the log bounds the run.
 *
 * Invariants: no attempt runs twice; no two attempts run at once; an at-most-once job runs at most once; an accepted
 * job is in every later entry; no commit of an owner succeeds after another owner has taken over.
 */

#define SLOTS 3
#ifndef LAST
#define LAST 5 /* number of the last log entry */
#endif
#define ATTEMPTS 2

#define ABSENT 0
#define RUNNING 1
#define ENDED 2

typedef Shard {
    bit accepted;
    byte lastAttempt; /* number of the last attempt; 0: none yet */
    bit unresolved;   /* the outcome of the last attempt is not recorded yet */
    bit intendedBy;   /* the owner that committed the intent of the last attempt */
    bit ended;
};

typedef Entry {
    byte number;
    byte revision; /* 0: the slot does not exist */
    byte epoch;
    bit owner;
    Shard state;
};

typedef DelayedWrite {
    bit pending;
    byte expected;
    Entry entry;
};

Entry ring[SLOTS];
byte revision;
DelayedWrite delayedWrite[2];

typedef StartWindows {
    bit open[ATTEMPTS + 1];
    bit sent[ATTEMPTS + 1]; /* a start has been sent and has not arrived */
};
StartWindows startWindows[2];
byte taskState[ATTEMPTS + 1]; /* ABSENT, RUNNING or ENDED, as the worker lists it */
byte runCount[ATTEMPTS + 1];

/* For the assertions; an owner reads atMostOnce only. */
byte highestEpoch;
bit acceptanceCommitted; /* an owner knows that the entry that accepts the job is in the log */
bit atMostOnce; /* the kind of job */

inline copyState(to, from)
{
    to.accepted = from.accepted;
    to.lastAttempt = from.lastAttempt;
    to.unresolved = from.unresolved;
    to.intendedBy = from.intendedBy;
    to.ended = from.ended
}

inline clearState(shard)
{
    shard.accepted = 0;
    shard.lastAttempt = 0;
    shard.unresolved = 0;
    shard.intendedBy = 0;
    shard.ended = 0
}

inline copyEntry(to, from)
{
    to.number = from.number;
    to.epoch = from.epoch;
    to.owner = from.owner;
    copyState(to.state, from.state)
}

/* Drops a delayed write that can no longer take effect, because the revision of its slot has changed. */
inline dropStaleWrite(writer)
{
    if
    :: delayedWrite[writer].pending &&
       ring[delayedWrite[writer].entry.number % SLOTS].revision != delayedWrite[writer].expected ->
        delayedWrite[writer].pending = 0;
        delayedWrite[writer].expected = 0;
        delayedWrite[writer].entry.number = 0;
        delayedWrite[writer].entry.epoch = 0;
        delayedWrite[writer].entry.owner = 0;
        clearState(delayedWrite[writer].entry.state)
    :: else -> skip
    fi
}

/* Writes `candidate` if its slot still has the revision `expectedRevision`. */
inline compareAndSwap(candidate, expectedRevision, written)
{
    if
    :: ring[candidate.number % SLOTS].revision == expectedRevision ->
        assert(candidate.epoch >= highestEpoch);
        assert(candidate.state.accepted || !acceptanceCommitted);
        highestEpoch = candidate.epoch;
        revision++;
        /* Only the newest entry's state is ever read, so the others are cleared. */
        clearState(ring[0].state);
        clearState(ring[1].state);
        clearState(ring[2].state);
        copyEntry(ring[candidate.number % SLOTS], candidate);
        ring[candidate.number % SLOTS].revision = revision;
#ifndef MUTANT_DELETE_SLOTS
        dropStaleWrite(0);
        dropStaleWrite(1);
#endif
        written = true
    :: else -> written = false
    fi
}

/* Called when the owner knows that `next` is in the log. */
inline confirmCommit()
{
    outcome = 1;
    expected[next.number % SLOTS] = ring[next.number % SLOTS].revision;
    copyEntry(committed, next);
#ifdef MUTANT_DELETE_SLOTS
    /* Deletes the older slots, as if a snapshot made them unnecessary. */
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
    clearNext()
}

inline clearNext()
{
    next.number = 0;
    next.epoch = 0;
    next.owner = 0;
    clearState(next.state)
}

/*
 * Commits `next`. Outcome 0: not written yet; 1: `next` is in the log; 2: another owner's entry is in the slot;
 * 3: unknown until the slot is read back.
 */
inline commit()
{
    outcome = 0;
    do
    :: outcome == 1 || outcome == 2 -> break
    /* The write is answered. */
    :: atomic {
           outcome == 0 ->
           compareAndSwap(next, expected[next.number % SLOTS], written);
           if
           :: written -> confirmCommit()
           :: else -> outcome = 3
           fi;
           written = 0
       }
    /* The write takes effect, but its answer is lost. */
    :: atomic {
           outcome == 0 ->
           compareAndSwap(next, expected[next.number % SLOTS], written);
           written = 0;
           outcome = 3
       }
    /* The write times out and takes effect later or never. */
    :: atomic {
           outcome == 0 && !delayedWrite[self].pending ->
           delayedWrite[self].pending = 1;
           delayedWrite[self].expected = expected[next.number % SLOTS];
           copyEntry(delayedWrite[self].entry, next);
           outcome = 3
       }
    /* The outcome is unknown: reads the slot back before any other step. */
    :: atomic {
           outcome == 3 ->
#ifdef MUTANT_NO_READ_BACK
           confirmCommit()
#else
           if
           :: ring[next.number % SLOTS].revision == expected[next.number % SLOTS] -> outcome = 0
           :: else ->
               if
               :: (ring[next.number % SLOTS].number == next.number && ring[next.number % SLOTS].owner == self &&
                   ring[next.number % SLOTS].epoch == next.epoch) -> confirmCommit()
               :: else -> outcome = 2
               fi
           fi
#endif
       }
    od
}

inline prepareNext()
{
    copyEntry(next, committed);
    next.number = committed.number + 1
}

proctype Owner(bit self)
{
    Entry committed;
    Entry next;
    byte expected[SLOTS];
    byte slot;
    byte outcome;
    byte observedState;
    bit windowClosed;
    bit written;

takeOver:
    atomic {
        clearNext();
        observedState = 0;
        windowClosed = 0;
        committed.number = 0;
        committed.epoch = 0;
        clearState(committed.state);
        slot = 0;
        do
        :: slot == SLOTS -> break
        :: slot < SLOTS ->
            expected[slot] = ring[slot].revision;
            if
            :: ring[slot].number > committed.number -> copyEntry(committed, ring[slot])
            :: else -> skip
            fi;
            slot++
        od;
        slot = 0;
        if
        :: committed.number >= LAST -> goto end
        :: else -> skip
        fi;
        prepareNext();
        next.epoch = committed.epoch + 1;
        next.owner = self
    }
#ifdef MUTANT_NO_FENCE_ENTRY
    atomic {
        committed.epoch = committed.epoch + 1;
        committed.owner = self;
        highestEpoch = (committed.epoch > highestEpoch -> committed.epoch : highestEpoch)
    }
#else
    commit();
    if
    :: outcome == 2 -> goto takeOver
    :: else -> skip
    fi;
#endif

    do
    :: committed.number >= LAST -> break
    /* Learns that another owner is assigned, or restarts. */
    :: true -> goto takeOver
    :: committed.number < LAST && !committed.state.accepted ->
        atomic {
            prepareNext();
            next.state.accepted = 1
        }
        commit();
        if
        :: outcome == 2 -> goto takeOver
        :: else -> acceptanceCommitted = 1
        fi
    :: (committed.number < LAST && committed.state.accepted && !committed.state.unresolved && !committed.state.ended &&
        committed.state.lastAttempt < ATTEMPTS) ->
        atomic {
            prepareNext();
            next.state.lastAttempt = committed.state.lastAttempt + 1;
            next.state.unresolved = 1;
            next.state.intendedBy = self;
            /* Reserves the place. */
            startWindows[self].open[next.state.lastAttempt] = 1
        }
#ifdef MUTANT_NO_INTENT
        startWindows[self].sent[next.state.lastAttempt] = 1;
#endif
        commit();
        if
        :: outcome == 2 -> goto takeOver
        :: else -> skip
        fi;
        /* The owner may pause here. */
        startWindows[self].sent[committed.state.lastAttempt] = startWindows[self].open[committed.state.lastAttempt]
    :: committed.number < LAST && committed.state.unresolved ->
        atomic {
            observedState = taskState[committed.state.lastAttempt];
            windowClosed = !startWindows[committed.state.intendedBy].open[committed.state.lastAttempt]
        }
#ifdef MUTANT_NO_START_BY_WAIT
        windowClosed = 1;
#endif
        if
        :: observedState == RUNNING || (observedState == ABSENT && !windowClosed) -> skip
        :: observedState == ENDED || (observedState == ABSENT && windowClosed) ->
            atomic {
                prepareNext();
                next.state.unresolved = 0;
#ifdef MUTANT_NO_ONCE
                next.state.ended = (observedState == ENDED);
#else
                next.state.ended = (observedState == ENDED || atMostOnce);
#endif
            }
            commit();
            if
            :: outcome == 2 -> goto takeOver
            :: else -> skip
            fi
        fi;
        observedState = 0;
        windowClosed = 0
    od;
end:
    skip
}

inline deliverStart(daemon, attempt)
{
    startWindows[daemon].sent[attempt] = 0;
    if
    :: startWindows[daemon].open[attempt] ->
        runCount[attempt]++;
        assert(runCount[attempt] <= 1);
        assert(taskState[1] != RUNNING && taskState[2] != RUNNING);
        assert(!atMostOnce || runCount[1] + runCount[2] <= 1);
        taskState[attempt] = RUNNING
    :: else -> skip
    fi
}

#define START_ARRIVES(daemon, attempt) atomic { startWindows[daemon].sent[attempt] -> deliverStart(daemon, attempt) }
/* The worker refuses a start that arrives after its window has closed. */
#define WINDOW_CLOSES(daemon, attempt) \
    atomic { \
        startWindows[daemon].open[attempt] -> startWindows[daemon].open[attempt] = 0; \
        startWindows[daemon].sent[attempt] = 0 \
    }
#define RUN_ENDS(attempt) atomic { taskState[attempt] == RUNNING -> taskState[attempt] = ENDED }
#define DELAYED_WRITE_TAKES_EFFECT(daemon) \
    atomic { \
        delayedWrite[daemon].pending -> \
        compareAndSwap(delayedWrite[daemon].entry, delayedWrite[daemon].expected, written); \
        written = 0; \
        delayedWrite[daemon].pending = 0; \
        dropStaleWrite(daemon) \
    }

/* The worker, the network and the store. */
active proctype Environment()
{
    bit written;
    bit rebooted;

    atomic {
        if
        :: atMostOnce = 0
        :: atMostOnce = 1
        fi;
        run Owner(0);
        run Owner(1)
    }
endEnvironment:
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
    /* The worker reboots: it lists no task, and all reservations are void. */
    :: atomic {
           !rebooted && taskState[1] + taskState[2] > 0 ->
           rebooted = 1;
           taskState[1] = ABSENT;
           taskState[2] = ABSENT;
           startWindows[0].open[1] = 0;
           startWindows[0].open[2] = 0;
           startWindows[1].open[1] = 0;
           startWindows[1].open[2] = 0;
           startWindows[0].sent[1] = 0;
           startWindows[0].sent[2] = 0;
           startWindows[1].sent[1] = 0;
           startWindows[1].sent[2] = 0
       }
    :: DELAYED_WRITE_TAKES_EFFECT(0)
    :: DELAYED_WRITE_TAKES_EFFECT(1)
    od
}
