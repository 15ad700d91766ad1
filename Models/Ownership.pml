/*
 * Ownership of one worker with one slot by two daemons: docs/DESIGN.md, "Who may place work on a worker".
 */
// mutants: NO_WAIT NO_START_BY NO_CLAIM_CHECK NO_CONTINUITY NO_IDENTITY NO_BOOT_CHECK NO_ADOPTION
/*
 * There is no store and no membership: a daemon may want or give up the worker at any moment, which covers every
 * assignment and every disagreement on who is alive. Daemons have no clocks and any time may pass between two steps of
 * theirs, which covers pauses, slow networks and clocks of any rate. They pick any terms: that terms grow is needed for
 * progress only.
 *
 * A sync's report may be lost, and a copy of a sync may be handled at any later time. A report that is late is covered
 * by a daemon that does nothing after it: what it knows is of the moment at which the worker made the report. A start
 * waits for any time after it was decided; this covers the pause between check and send. The worker refuses a second
 * copy of a start by its id, so that there is none here.
 * The worker may reboot at any moment.
 *
 * Times are spans on the worker's clock, so that its run is not bounded.
 *
 * Invariants (in deliverStart): no start is accepted that was decided before another daemon adopted, and none into a
 * taken slot.
 */

#define WINDOW 2 /* start window */
#define LIFE 3   /* claim time to live */
#ifndef TERMS
#define TERMS 2
#endif

/* States, as in Membership::WorkerOwnership. */
#define UNCLAIMED 0 /* or yielding */
#define CLAIMING 1
#define OWNED 2
#define DISPLACED 3

/* A copy of a sync that withdraws; one that claims is known by its term. */
#define WITHDRAWAL (TERMS + 1)

/* The worker. A claim lives while claimLeft > 0. */
byte claimTerm[2];
byte claimLeft[2];
bit claimNew[2]; /* made (madeAt) since the newest report that its daemon has handled */
bit slotTaken;

/* What a daemon knows. */
byte state[2];
byte term[2];
bit seen[2];      /* has a report of this boot */
byte lastAge[2]; /* since the newest report that showed the claim as the counting one */
bit waiting[2];   /* the row of reports that show the claim as the counting one has begun */
byte waited[2];   /* from the first to the newest report of that row */
bit viewTaken[2]; /* a report or a start of its own takes the slot */

/* A copy of an earlier sync. */
byte lateTerm;
bit lateFrom;

/* A start that the worker may accept. */
bit sent[2];
byte startLeft[2]; /* until startBy */
bit startOldBoot[2];
bit startStale[2]; /* the other daemon has adopted since */

#ifdef MUTANT_NO_CONTINUITY
#define GAP(d) false
#else
#define GAP(d) (lastAge[d] >= WINDOW)
#endif
#ifdef MUTANT_NO_IDENTITY
#define REMADE(d) false
#else
#define REMADE(d) (claimNew[d])
#endif
#ifdef MUTANT_NO_WAIT
#define WAIT_OVER(d) true
#else
#define WAIT_OVER(d) (waited[d] >= WINDOW)
#endif
#ifdef MUTANT_NO_CLAIM_CHECK
#define KEEPS(d) (seen[d] && state[d] == OWNED)
#define FADES(d) false
#else
#define KEEPS(d) false
#define FADES(d) (seen[d] && state[d] >= OWNED && LIVE(1 - d) && !COUNTS(d) && lastAge[d] < WINDOW)
#endif

#ifdef MUTANT_NO_BOOT_CHECK
#define OLD_BOOT_START(d) startOldBoot[d] = !seen[d]
#else
#define OLD_BOOT_START(d) \
    if \
    :: !seen[d] -> dropStart(d) \
    :: else \
    fi
#endif

#define LIVE(d) (claimLeft[d] > 0)
#define COUNTS(d) (LIVE(d) && (!LIVE(1 - d) || claimTerm[d] > claimTerm[1 - d] || (claimTerm[d] == claimTerm[1 - d] && d == 1)))

inline applyClaim(d, t)
{
    claimNew[d] = waiting[d] && (!LIVE(d) || t > claimTerm[d] || claimNew[d]);
    claimTerm[d] = ((!LIVE(d) || t > claimTerm[d]) -> t : claimTerm[d]);
    claimLeft[d] = LIFE
}

inline applyWithdrawal(d)
{
    claimTerm[d] = 0; claimLeft[d] = 0; claimNew[d] = 0
}

inline pickTerm(d)
{
    if
    :: term[d] = 1
    :: term[d] = TERMS
#if TERMS > 2
    :: term[d] = 2
#endif
    fi
}

inline forget(d)
{
    waiting[d] = 0; waited[d] = 0; lastAge[d] = 0; viewTaken[d] = 0
}

inline handleCounting(d)
{
    if
    :: !waiting[d] || GAP(d) || REMADE(d) ->
        state[d] = CLAIMING; viewTaken[d] = 0; waiting[d] = 1; waited[d] = 0
    :: else -> waited[d] = (waited[d] + lastAge[d] > WINDOW -> WINDOW : waited[d] + lastAge[d])
    fi;
    if
    :: state[d] == CLAIMING && WAIT_OVER(d) ->
        state[d] = OWNED; waited[d] = 0;
        startStale[1 - d] = sent[1 - d];
#ifdef MUTANT_NO_ADOPTION
        viewTaken[d] = sent[d]
#else
        viewTaken[d] = slotTaken || sent[d]
#endif
    :: state[d] == OWNED -> waited[d] = 0; viewTaken[d] = slotTaken || sent[d]
    :: else
    fi
}

inline handleReport(d)
{
    if
    :: state[d] == UNCLAIMED
    :: else ->
        if
        :: seen[d] && state[d] != DISPLACED && COUNTS(d) && claimTerm[d] == term[d] -> handleCounting(d); lastAge[d] = 0
        :: KEEPS(d) && !COUNTS(d) -> viewTaken[d] = slotTaken || sent[d]; lastAge[d] = 0
        /* Authority lasts as long as the newest report gave it that showed the claim as the counting one. */
        :: FADES(d) -> state[d] = DISPLACED; waiting[d] = 0; waited[d] = 0; viewTaken[d] = slotTaken || sent[d]
        :: else -> forget(d); state[d] = CLAIMING; pickTerm(d)
        fi
    fi;
    claimNew[d] = 0;
    seen[d] = 1
}

inline dropStart(d)
{
    sent[d] = 0; startLeft[d] = 0; startOldBoot[d] = 0; startStale[d] = 0
}

inline deliverStart(d)
{
    assert(!startStale[d]);
    assert(!slotTaken);
    slotTaken = 1;
    dropStart(d)
}

inline tick(d)
{
    claimLeft[d] = (LIVE(d) -> claimLeft[d] - 1 : 0);
    claimTerm[d] = (LIVE(d) -> claimTerm[d] : 0);
    claimNew[d] = (LIVE(d) && claimNew[d]);
    lastAge[d] = ((waiting[d] || state[d] == DISPLACED) && lastAge[d] < WINDOW -> lastAge[d] + 1 : lastAge[d]);
    startLeft[d] = (startLeft[d] > 0 -> startLeft[d] - 1 : 0);
#ifndef MUTANT_NO_START_BY
    if
    :: sent[d] && startLeft[d] == 0 -> dropStart(d)
    :: else
    fi
#endif
}

inline reboot(d)
{
    applyWithdrawal(d);
    seen[d] = 0;
#ifndef MUTANT_NO_BOOT_CHECK
    dropStart(d)
#else
    /* The new clock begins low: by it the start has time left again. */
    startOldBoot[d] = sent[d];
    startLeft[d] = (sent[d] -> LIFE + WINDOW : 0)
#endif
}

inline sync(d)
{
    if
    :: state[d] == UNCLAIMED -> applyWithdrawal(d)
    :: else -> applyClaim(d, term[d])
    fi;
    if
    :: lateTerm == 0 -> lateTerm = (state[d] == UNCLAIMED -> WITHDRAWAL : term[d]); lateFrom = d
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
    :: atomic { state[d] == UNCLAIMED -> state[d] = CLAIMING; pickTerm(d) }
    :: d_step { state[d] != UNCLAIMED -> state[d] = UNCLAIMED; term[d] = 0; forget(d) }
    :: atomic { state[d] != DISPLACED -> sync(d) }
    :: atomic { state[d] == DISPLACED -> handleReport(d) } /* reads only */
    :: d_step { state[d] >= OWNED && !viewTaken[d] && lastAge[d] < WINDOW ->
        sent[d] = 1; viewTaken[d] = 1; startLeft[d] = WINDOW - lastAge[d];
        OLD_BOOT_START(d) }
    :: d_step { sent[d] -> deliverStart(d) }
    od
}

proctype Network()
{
end:
    do
    :: d_step { lateTerm > 0 ->
        if
        :: lateTerm == WITHDRAWAL -> applyWithdrawal(lateFrom)
        :: else -> applyClaim(lateFrom, lateTerm)
        fi;
        lateTerm = 0; lateFrom = 0 }
    od
}

proctype Worker()
{
end:
    do
    :: d_step { true -> tick(0); tick(1) }
    :: slotTaken -> slotTaken = 0
    :: d_step { true -> slotTaken = 0; reboot(0); reboot(1) }
    od
}

init {
    atomic { run Daemon(0); run Daemon(1); run Network(); run Worker() }
}
