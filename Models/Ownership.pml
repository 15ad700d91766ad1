/*
 * Model of the ownership of one worker with one slot by two daemons. It specifies the protocol in docs/DESIGN.md, "Who
 * may place work on a worker".
 */
// mutants: NO_WAIT NO_START_BY NO_CLAIM_CHECK NO_CONTINUITY NO_IDENTITY NO_BOOT_CHECK NO_ADOPTION
/*
 * Store and membership are not modelled: a daemon may claim or give up the worker at any moment, which covers every
 * assignment and every disagreement on which daemons are alive. Daemons have no clocks, and any time may pass between
 * two of their steps, which covers pauses, slow networks and clocks of any rate. They choose arbitrary terms, because
 * increasing terms are needed for progress only.
 *
 * The report that answers a sync may be lost, and a copy of a sync may be handled at any later time. A delayed report
 * is covered by a daemon that does nothing after the sync: its knowledge dates from the moment at which the worker
 * made the report. A start may be delayed by any time after the decision, which covers a pause between check and
 * send. The worker refuses a second copy of a start by its id, so copies of starts are not modelled. The worker may
 * reboot at any moment.
 *
 * Times are durations on the worker's clock, so that the length of a run is not bounded.
 *
 * Invariants (asserted in deliverStart): the worker accepts no start that was decided before another daemon took
 * ownership, and no start into a taken slot.
 */

#define START_WINDOW 2
#define CLAIM_TTL 3
#ifndef TERMS
#define TERMS 2
#endif

/* The states of Membership::WorkerOwnership. */
#define UNCLAIMED 0 /* stands for Yielding, too */
#define CLAIMING 1
#define OWNED 2
#define DISPLACED 3

/* The value of delayedTerm for a sync that withdraws the claim; for a sync that claims it is the term. */
#define WITHDRAWAL (TERMS + 1)

/* The worker. A claim is live while claimLeft > 0. */
byte claimTerm[2];
byte claimLeft[2];
bit claimIsNew[2]; /* made (see madeAt) since the newest report that its daemon has handled */
bit slotTaken;

/* The state of a daemon. */
byte state[2];
byte term[2];
bit hasReport[2];      /* of the current boot */
byte countingAge[2];   /* time since the newest report that showed the claim as the counting one */
bit waitStarted[2];    /* an unbroken series of reports that show the claim as the counting one has begun */
byte waitElapsed[2];   /* time from the first to the newest report of that series */
bit slotSeemsTaken[2]; /* by the newest report, or by a start that this daemon has sent */

/* A delayed copy of an earlier sync; none if delayedTerm is 0. */
byte delayedTerm;
bit delayedFrom;

/* A start that has been sent and that the worker may still accept. */
bit startSent[2];
byte startTimeLeft[2]; /* time until startBy */
bit startFromOldBoot[2];
bit startStale[2]; /* the other daemon has taken ownership since the start was decided */

#ifdef MUTANT_NO_CONTINUITY
#define REPORT_GAP(d) false
#else
#define REPORT_GAP(d) (countingAge[d] >= START_WINDOW)
#endif
#ifdef MUTANT_NO_IDENTITY
#define CLAIM_REMADE(d) false
#else
#define CLAIM_REMADE(d) (claimIsNew[d])
#endif
#ifdef MUTANT_NO_WAIT
#define WAIT_OVER(d) true
#else
#define WAIT_OVER(d) (waitElapsed[d] >= START_WINDOW)
#endif
#ifdef MUTANT_NO_CLAIM_CHECK
#define KEEPS_AUTHORITY(d) (hasReport[d] && state[d] == OWNED)
#define BECOMES_DISPLACED(d) false
#else
#define KEEPS_AUTHORITY(d) false
#define BECOMES_DISPLACED(d) \
    (hasReport[d] && state[d] >= OWNED && CLAIM_LIVE(1 - d) && !CLAIM_COUNTS(d) && countingAge[d] < START_WINDOW)
#endif

#ifdef MUTANT_NO_BOOT_CHECK
#define CHECK_START_BOOT(d) startFromOldBoot[d] = !hasReport[d]
#else
#define CHECK_START_BOOT(d) \
    if \
    :: !hasReport[d] -> dropStart(d) \
    :: else \
    fi
#endif

#define CLAIM_LIVE(d) (claimLeft[d] > 0)
/* The counting claim is the live one with the highest term; of equal terms, the one of the greater daemon id. */
#define CLAIM_COUNTS(d) \
    (CLAIM_LIVE(d) && \
        (!CLAIM_LIVE(1 - d) || claimTerm[d] > claimTerm[1 - d] || (claimTerm[d] == claimTerm[1 - d] && d == 1)))

inline applyClaim(d, newTerm)
{
    claimIsNew[d] = waitStarted[d] && (!CLAIM_LIVE(d) || newTerm > claimTerm[d] || claimIsNew[d]);
    claimTerm[d] = ((!CLAIM_LIVE(d) || newTerm > claimTerm[d]) -> newTerm : claimTerm[d]);
    claimLeft[d] = CLAIM_TTL
}

inline applyWithdrawal(d)
{
    claimTerm[d] = 0; claimLeft[d] = 0; claimIsNew[d] = 0
}

inline chooseTerm(d)
{
    if
    :: term[d] = 1
    :: term[d] = TERMS
#if TERMS > 2
    :: term[d] = 2
#endif
    fi
}

inline clearReports(d)
{
    waitStarted[d] = 0; waitElapsed[d] = 0; countingAge[d] = 0; slotSeemsTaken[d] = 0
}

inline handleCounting(d)
{
    if
    :: !waitStarted[d] || REPORT_GAP(d) || CLAIM_REMADE(d) ->
        state[d] = CLAIMING; slotSeemsTaken[d] = 0; waitStarted[d] = 1; waitElapsed[d] = 0
    :: else ->
        waitElapsed[d] =
            (waitElapsed[d] + countingAge[d] > START_WINDOW -> START_WINDOW : waitElapsed[d] + countingAge[d])
    fi;
    if
    :: state[d] == CLAIMING && WAIT_OVER(d) ->
        state[d] = OWNED; waitElapsed[d] = 0;
        startStale[1 - d] = startSent[1 - d];
#ifdef MUTANT_NO_ADOPTION
        slotSeemsTaken[d] = startSent[d]
#else
        slotSeemsTaken[d] = slotTaken || startSent[d]
#endif
    :: state[d] == OWNED -> waitElapsed[d] = 0; slotSeemsTaken[d] = slotTaken || startSent[d]
    :: else
    fi
}

inline handleReport(d)
{
    if
    :: state[d] == UNCLAIMED
    :: else ->
        if
        :: hasReport[d] && state[d] != DISPLACED && CLAIM_COUNTS(d) && claimTerm[d] == term[d] ->
            handleCounting(d); countingAge[d] = 0
        :: KEEPS_AUTHORITY(d) && !CLAIM_COUNTS(d) ->
            slotSeemsTaken[d] = slotTaken || startSent[d]; countingAge[d] = 0
        /* Authority ends a start window after the newest report that showed the claim as the counting one. */
        :: BECOMES_DISPLACED(d) ->
            state[d] = DISPLACED; waitStarted[d] = 0; waitElapsed[d] = 0; slotSeemsTaken[d] = slotTaken || startSent[d]
        :: else -> clearReports(d); state[d] = CLAIMING; chooseTerm(d)
        fi
    fi;
    claimIsNew[d] = 0;
    hasReport[d] = 1
}

inline dropStart(d)
{
    startSent[d] = 0; startTimeLeft[d] = 0; startFromOldBoot[d] = 0; startStale[d] = 0
}

inline deliverStart(d)
{
    assert(!startStale[d]);
    assert(!slotTaken);
    slotTaken = 1;
    dropStart(d)
}

inline advanceClock(d)
{
    claimLeft[d] = (CLAIM_LIVE(d) -> claimLeft[d] - 1 : 0);
    claimTerm[d] = (CLAIM_LIVE(d) -> claimTerm[d] : 0);
    claimIsNew[d] = (CLAIM_LIVE(d) && claimIsNew[d]);
    countingAge[d] =
        ((waitStarted[d] || state[d] == DISPLACED) && countingAge[d] < START_WINDOW ->
            countingAge[d] + 1 : countingAge[d]);
    startTimeLeft[d] = (startTimeLeft[d] > 0 -> startTimeLeft[d] - 1 : 0);
#ifndef MUTANT_NO_START_BY
    if
    :: startSent[d] && startTimeLeft[d] == 0 -> dropStart(d)
    :: else
    fi
#endif
}

inline reboot(d)
{
    applyWithdrawal(d);
    hasReport[d] = 0;
#ifndef MUTANT_NO_BOOT_CHECK
    dropStart(d)
#else
    /* The clock restarts at a low value, so the start has time left again. */
    startFromOldBoot[d] = startSent[d];
    startTimeLeft[d] = (startSent[d] -> CLAIM_TTL + START_WINDOW : 0)
#endif
}

inline sync(d)
{
    if
    :: state[d] == UNCLAIMED -> applyWithdrawal(d)
    :: else -> applyClaim(d, term[d])
    fi;
    if
    :: delayedTerm == 0 -> delayedTerm = (state[d] == UNCLAIMED -> WITHDRAWAL : term[d]); delayedFrom = d
    :: true
    fi;
    if
    :: handleReport(d)
    :: true /* the report is lost */
    fi
}

proctype Daemon(byte d)
{
end:
    do
    :: atomic { state[d] == UNCLAIMED -> state[d] = CLAIMING; chooseTerm(d) }
    :: d_step { state[d] != UNCLAIMED -> state[d] = UNCLAIMED; term[d] = 0; clearReports(d) }
    :: atomic { state[d] != DISPLACED -> sync(d) }
    :: atomic { state[d] == DISPLACED -> handleReport(d) } /* reads the report without a claim */
    :: d_step { state[d] >= OWNED && !slotSeemsTaken[d] && countingAge[d] < START_WINDOW ->
        startSent[d] = 1; slotSeemsTaken[d] = 1; startTimeLeft[d] = START_WINDOW - countingAge[d];
        CHECK_START_BOOT(d) }
    :: d_step { startSent[d] -> deliverStart(d) }
    od
}

proctype Network()
{
end:
    do
    :: d_step { delayedTerm > 0 ->
        if
        :: delayedTerm == WITHDRAWAL -> applyWithdrawal(delayedFrom)
        :: else -> applyClaim(delayedFrom, delayedTerm)
        fi;
        delayedTerm = 0; delayedFrom = 0 }
    od
}

proctype Worker()
{
end:
    do
    :: d_step { true -> advanceClock(0); advanceClock(1) }
    :: slotTaken -> slotTaken = 0
    :: d_step { true -> slotTaken = 0; reboot(0); reboot(1) }
    od
}

init {
    atomic { run Daemon(0); run Daemon(1); run Network(); run Worker() }
}
