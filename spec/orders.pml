/*
 * Order protocol: one ticket and four processes of three proxies.
 *
 * Process 0 issued the ticket; 1 and 2 may become its successors; 3 replaces
 * 1 at the same address with empty memory. Submissions, withdrawals and
 * hand-overs reach any live process at any time, so the model covers entry
 * proxies with any view of the fleet, and late and duplicated messages. A
 * frozen process is one whose steps come late. Bytes on the wire may run
 * after the process that sent them has ended.
 *
 * Checked: the order runs at most once, and "not run" implies that it never
 * runs. Each macro below removes one rule; spin must then find an error.
 */
#define N 4
#define SAME_ADDRESS(a, b) ((a) == (b) || ((a) == 1 && (b) == 3))

mtype = { none, issued, claimed, dispatched, answered, not_run, unknown, gone };

mtype ledger[N] = none;
bool sealed[N];
bool alive[N];
bool draining[N];
bool adopted[N];

/* Copy of the ledger in transit from process i to process j, at i * N + j. */
mtype copy[16] = none;
bool is_sent[16];
bool is_refused[16];

/* Requests sent to the upstream that it has not yet run. */
byte wire;
byte runs;
bool said_not_run;

inline run_order() {
    runs++;
    assert(runs <= 1);
    assert(!said_not_run)
}

inline say_not_run() {
    said_not_run = true;
    assert(runs == 0)
}

/* Ledger.resolve with NOT_RUN. */
inline settle_not_run(i) {
    if
#ifdef BROKEN_NOT_RUN_AFTER_SEAL
    :: ledger[i] == claimed ->
#else
    :: ledger[i] == claimed && !sealed[i] ->
#endif
        ledger[i] = not_run;
        say_not_run()
    :: else -> skip
    fi
}

/* One submission at a process: Orders._submit_to_ledger and OrderDispatch. */
proctype Submission(byte i) {
    byte attempts = 0;

    /* Ledger.claim */
#ifdef BROKEN_NO_CLAIM
    atomic { (alive[i] && (ledger[i] == issued || ledger[i] == claimed)
              && !sealed[i]) -> ledger[i] = claimed }
#else
    atomic { (alive[i] && ledger[i] == issued && !sealed[i]) -> ledger[i] = claimed }
#endif

again:
    attempts++;
    if
    /* UpstreamCall.open fails. */
    :: atomic { alive[i] -> settle_not_run(i) }; goto done
    :: skip
    fi;

    /* Ledger.mark_dispatched */
    atomic {
        if
        :: !alive[i] -> goto done
#ifdef BROKEN_DISPATCH_AFTER_SEAL
        :: alive[i] && ledger[i] == claimed -> ledger[i] = dispatched
#else
        :: alive[i] && ledger[i] == claimed && !sealed[i] -> ledger[i] = dispatched
#endif
#ifdef BROKEN_NO_CLAIM
        :: alive[i] && ledger[i] == dispatched -> skip
#endif
        :: else -> settle_not_run(i); goto done
        fi
    }

    /* UpstreamCall.send: the process may have been frozen just before. */
    atomic { if :: alive[i] -> wire++ :: !alive[i] -> goto done fi };

    if
    :: atomic { wire > 0 -> wire--; run_order() };
       atomic {
           if
           :: alive[i] && ledger[i] == dispatched -> ledger[i] = answered
           :: else -> skip
           fi
       }
    /* Timeout, reset or truncated reply: the order may still run. */
    :: atomic {
           alive[i] ->
           if
           :: ledger[i] == dispatched ->
#ifdef BROKEN_NOT_RUN_ON_TIMEOUT
               ledger[i] = not_run;
               say_not_run()
#else
               ledger[i] = unknown
#endif
           :: else -> skip
           fi
       }
    /* The upstream refused without running the order: Ledger.revert_dispatch. */
    :: atomic { wire > 0 -> wire-- };
       atomic {
           if
           :: alive[i] && ledger[i] == dispatched -> ledger[i] = claimed
           :: else -> goto done
           fi
       };
       if
       :: attempts < 2 -> goto again
       :: else -> atomic { alive[i] -> settle_not_run(i) }
       fi
    fi;
done:
    skip
}

/* Ledger.withdraw, and the result that Ledger.look_up returns. */
proctype Withdrawal(byte i) {
    atomic {
        alive[i] ->
        if
        :: (ledger[i] == issued || ledger[i] == claimed) ->
            if
#ifdef BROKEN_WITHDRAW_AFTER_SEAL
            :: true -> ledger[i] = not_run; say_not_run()
#else
            :: !sealed[i] -> ledger[i] = not_run; say_not_run()
            :: sealed[i] -> skip
#endif
            fi
        :: ledger[i] == not_run -> say_not_run()
        :: else -> skip
        fi
    }
}

/* Ledger._remove_expired: an entry in progress is kept. */
proctype Expiry(byte i) {
    atomic {
        (alive[i] && ledger[i] != none && ledger[i] != claimed
         && ledger[i] != dispatched) -> ledger[i] = gone
    }
}

/* Ledger.seal: makes the copy for a hand-over. */
inline seal_copy(i, j) {
#ifndef BROKEN_SEND_BEFORE_SEAL
    sealed[i] = true;
#endif
    if
#ifdef BROKEN_REVIVE_DISPATCHED
    :: ledger[i] == dispatched -> copy[i * N + j] = issued
#else
    :: ledger[i] == dispatched -> copy[i * N + j] = unknown
#endif
    :: ledger[i] == claimed -> copy[i * N + j] = issued
    :: else -> copy[i * N + j] = ledger[i]
    fi;
    is_sent[i * N + j] = true
}

/* HeldLedgers.hand_over_all: another successor only after a definite refusal. */
proctype HandOver(byte i) {
    byte j;
    byte tries = 0;

    atomic { (alive[i] && ledger[i] != none && ledger[i] != gone) -> draining[i] = true };
next:
    tries++;
    if
    :: j = 1 :: j = 2 :: j = 3
    fi;
    atomic {
        if
        :: !alive[i] || i == j || is_sent[i * N + j] -> goto done
        :: else -> seal_copy(i, j)
        fi
    };
    if
    :: atomic { is_refused[i * N + j] -> skip };
       if
       :: tries < 2 -> goto next
       :: else -> goto done
       fi
#ifdef BROKEN_SECOND_SUCCESSOR
    :: tries < 2 -> goto next
#endif
    :: skip
    fi;
#ifdef BROKEN_SEND_BEFORE_SEAL
    atomic { alive[i] -> sealed[i] = true };
#endif
done:
    skip
}

/* HeldLedgers.answer_hand_over: copies arrive late, more than once, or never. */
proctype Arrival(byte i; byte j; byte at) {
    atomic {
        (is_sent[i * N + j] && alive[at]) ->
        if
#ifdef BROKEN_ACCEPT_ANY_BOOT
        :: SAME_ADDRESS(j, at) && !draining[at] && !adopted[at] ->
#else
        :: j == at && !draining[at] && !adopted[at] ->
#endif
            adopted[at] = true;
            ledger[at] = copy[i * N + j]
#ifdef BROKEN_ACCEPT_TWICE
        :: j == at && draining[at] ->
            sealed[at] = false;
            ledger[at] = copy[i * N + j]
#endif
        /* A second copy that was accepted before gets the same answer as the first. */
#ifdef BROKEN_REFUSE_SECOND_COPY
        :: j == at && (draining[at] || adopted[at]) -> is_refused[i * N + j] = true
#else
        :: j == at && draining[at] && !adopted[at] -> is_refused[i * N + j] = true
#endif
        :: else -> skip
        fi
    }
}

/* Crash of a process; 3 then replaces 1 at the same address. */
proctype Crash(byte i) {
    atomic { alive[i] -> alive[i] = false };
    if
    :: i == 1 -> atomic { alive[3] = true }
    :: else -> skip
    fi
}

/* Requests left on the wire run late, or are lost. */
active proctype Upstream() {
    do
    :: atomic { wire > 0 -> wire--; run_order() }
    :: atomic { wire > 0 -> wire-- }
    od
}

init {
    atomic {
        alive[0] = true;
        alive[1] = true;
        alive[2] = true;
        ledger[0] = issued;
        run Submission(0);
        run Submission(0);
        run Submission(1);
        run Submission(2);
        run Submission(3);
        run Withdrawal(0);
        run Withdrawal(2);
        run HandOver(0);
        run HandOver(1);
        run Arrival(0, 1, 1);
        run Arrival(0, 2, 2);
        run Arrival(1, 2, 2);
        run Arrival(0, 1, 1);
        run Arrival(0, 1, 3);
        run Crash(0);
        run Crash(1);
        run Expiry(0)
    }
}
