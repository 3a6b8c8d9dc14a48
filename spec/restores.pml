/*
 * Restores of the store: a store that may come back once from an older copy,
 * and two proxies that read it, pull from each other, and prove to each other
 * that their catalogue is current.
 *
 * A revision is an era and a number. Number 0 is the copy; number 1 is given
 * out in each era, for the withdrawal of a key or for another change, so that
 * it names two states. Time passes in steps, and every time is kept as the
 * number of steps since then, up to NONE. A datagram is delivered at any later
 * moment, any number of times, or never. `freshness.pml` has the delays of
 * questions and answers, cuts and freezes; here a call to the store takes no
 * time, but may be made at any moment.
 *
 * Checked: no request runs more than REVOKE after the withdrawal that the
 * store has was acknowledged; a proxy that had the withdrawal keeps it; and no
 * proof is used for rules that lack what the proxy that gave it had. A
 * withdrawal that the store lost before anybody read it is not known until it
 * is written again. Each BROKEN_ macro below removes one rule, and each
 * REACHED_ macro asserts that a step which has to be possible never happens;
 * spin must then find an error.
 */
#define N 2
#define REVOKE 1
#define NONE (REVOKE + 1)
#define OTHER(i) (1 - i)

/* The store: whether its number 1 is the withdrawal, since so many steps. */
bit store_era;
bit store_number;
bit store_withdrawn;
byte since;

/* What each proxy has read; whether its rules withdraw the key, and of which era. */
bool is_loaded[N];
bit era[N];
bit number[N];
bit withdrawn[N];
bit rules_era[N];
/* Whether it had rules that withdraw the key since its start. */
bit had_withdrawn[N];

/* Proof of each proxy: its age, its revision, whether it needs rules that the store had
 * lost, and whether who read the store for it had rules that withdraw the key. */
byte age[N] = NONE;
bit proof_era[N];
bit proof_number[N];
bit proof_needs[N];
bit proof_withdrawn[N];

/* Proof on the wire to each proxy. */
byte sent_age[N] = NONE;
bit sent_era[N];
bit sent_number[N];
bit sent_needs[N];
bit sent_withdrawn[N];

#ifdef REACHED_PROOF_KEPT_OVER_RESTORE
bool is_kept[N];
#endif
#ifdef REACHED_PROOF_OF_PEER_USED
bool is_of_peer[N];
#endif

#ifdef BROKEN_REVISION_ALONE
#define IS_LATER(e, n, i) (n > number[i])
#define IS_SAME(e, n, i) (n <= number[i])
#else
#define IS_LATER(e, n, i) (e > era[i] || (e == era[i] && n > number[i]))
#define IS_SAME(e, n, i) (e == era[i] && n == number[i])
#endif

#ifdef BROKEN_PROOF_OF_ANY_ERA
#define IS_PROVED(i) (age[i] <= REVOKE && proof_number[i] <= number[i])
#else
#define IS_PROVED(i) (age[i] <= REVOKE && proof_era[i] == era[i] \
                      && proof_number[i] <= number[i])
#endif

#ifdef BROKEN_PROOF_BESIDE_UNKNOWN_RULES
#define HAS_RULES(i) true
#else
#define HAS_RULES(i) (withdrawn[i] >= sent_needs[i])
#endif

inline grow(time) {
    if
    :: time < NONE -> time++
    :: else -> skip
    fi
}

/* Clears what expired proofs are about, so that states do not differ by it. */
inline forget_expired(i) {
    if
    :: age[i] == NONE ->
           proof_era[i] = 0;
           proof_number[i] = 0;
           proof_needs[i] = 0;
           proof_withdrawn[i] = 0
    :: else -> skip
    fi;
    if
    :: sent_age[i] == NONE ->
           sent_era[i] = 0;
           sent_number[i] = 0;
           sent_withdrawn[i] = 0;
           sent_needs[i] = 0
    :: else -> skip
    fi
}

/* CatalogueState._apply_rules: rules in force are not left for older ones. */
inline take_rules(i, new_rules_era, new_withdrawn) {
    if
    :: new_withdrawn == 1 && (withdrawn[i] == 0 || new_rules_era > rules_era[i]) ->
           withdrawn[i] = 1;
           rules_era[i] = new_rules_era;
           had_withdrawn[i] = 1
#ifdef BROKEN_KEY_REVIVED
    :: new_withdrawn == 0 -> withdrawn[i] = 0; rules_era[i] = 0
#endif
    :: else -> skip
    fi;
    assert(withdrawn[i] == had_withdrawn[i])
}

/* Follower._replace_state, with FreshnessTracker.record_restore. */
inline take_state(i, new_era, new_number, new_rules_era, new_withdrawn) {
    if
    :: is_loaded[i] && new_era > era[i] && IS_PROVED(i) ->
           proof_era[i] = new_era;
           proof_number[i] = new_number;
           proof_needs[i] = withdrawn[i];
#ifdef REACHED_PROOF_KEPT_OVER_RESTORE
           is_kept[i] = true
#endif
    :: else -> skip
    fi;
    is_loaded[i] = true;
    era[i] = new_era;
    number[i] = new_number;
    take_rules(i, new_rules_era, new_withdrawn)
}

inline prove(i) {
    age[i] = 0;
    proof_era[i] = era[i];
    proof_number[i] = number[i];
    proof_needs[i] = withdrawn[i] && rules_era[i] < era[i];
    proof_withdrawn[i] = withdrawn[i]
#ifdef REACHED_PROOF_KEPT_OVER_RESTORE
    ; is_kept[i] = false
#endif
#ifdef REACHED_PROOF_OF_PEER_USED
    ; is_of_peer[i] = false
#endif
}

active proctype Clock() {
    do
    :: d_step {
           if
           :: store_withdrawn == 1 -> grow(since)
           :: else -> skip
           fi;
           grow(age[0]);
           grow(age[1]);
           grow(sent_age[0]);
           grow(sent_age[1]);
           forget_expired(0);
           forget_expired(1)
       }
    od
}

/* Number 1 of an era, and the restore from the copy at number 0. */
active proctype Store() {
    do
    :: d_step { store_number == 0 -> store_number = 1; store_withdrawn = 1 }
    :: d_step { store_number == 0 -> store_number = 1 }
    :: d_step {
           store_era == 0 ->
           store_era = 1;
           store_number = 0;
           store_withdrawn = 0;
           since = 0
       }
    od
}

inline run_request(i) {
#ifdef REACHED_PROOF_KEPT_OVER_RESTORE
    assert(!is_kept[i]);
#endif
#ifdef REACHED_PROOF_OF_PEER_USED
    assert(!(is_of_peer[i] && era[i] == 1));
#endif
#ifdef REACHED_SERVED_AT_THE_BOUND
    assert(since < REVOKE);
#endif
    assert(since <= REVOKE);
    assert(proof_withdrawn[i] == 0)
}

proctype Proxy(byte i) {
    do
    /* Reads the store: what is new, and then that nothing is. */
    :: d_step {
           (!is_loaded[i] || IS_LATER(store_era, store_number, i)) ->
           take_state(i, store_era, store_number, store_era, store_withdrawn)
       }
    :: d_step {
           (is_loaded[i] && IS_SAME(store_era, store_number, i)) -> prove(i)
       }
    /* Pulls from the other proxy, also rules that the store has lost. */
    :: d_step {
           (is_loaded[OTHER(i)]
            && (!is_loaded[i]
#ifdef BROKEN_ERA_NOT_PASSED_ON
                || number[OTHER(i)] > number[i])) ->
#else
                || IS_LATER(era[OTHER(i)], number[OTHER(i)], i))) ->
#endif
           take_state(i, era[OTHER(i)], number[OTHER(i)], rules_era[OTHER(i)],
                      withdrawn[OTHER(i)])
       }
    :: d_step {
           (is_loaded[i] && is_loaded[OTHER(i)] && era[i] == era[OTHER(i)]
            && withdrawn[OTHER(i)] > withdrawn[i]) ->
#ifdef REACHED_LOST_RULES_PULLED
           assert(store_withdrawn == 1 || era[i] == 0);
#endif
           take_rules(i, rules_era[OTHER(i)], 1)
       }
    /* Proves its catalogue to the other proxy. */
    :: d_step {
           (is_loaded[i] && IS_PROVED(i)) ->
           sent_age[OTHER(i)] = age[i];
           sent_era[OTHER(i)] = proof_era[i];
           sent_number[OTHER(i)] = proof_number[i];
#ifdef BROKEN_RULES_NAMED_AS_OF_SENDING
           sent_needs[OTHER(i)] = withdrawn[i] && rules_era[i] < era[i];
#else
           sent_needs[OTHER(i)] = proof_needs[i];
#endif
           sent_withdrawn[OTHER(i)] = proof_withdrawn[i]
       }
    :: d_step {
           (is_loaded[i] && sent_age[i] < age[i] && HAS_RULES(i)) ->
           age[i] = sent_age[i];
#ifdef BROKEN_ERA_NOT_PASSED_ON
           proof_era[i] = era[i];
#else
           proof_era[i] = sent_era[i];
#endif
           proof_number[i] = sent_number[i];
           proof_needs[i] = sent_needs[i];
           proof_withdrawn[i] = sent_withdrawn[i];
#ifdef REACHED_PROOF_KEPT_OVER_RESTORE
           is_kept[i] = false;
#endif
#ifdef REACHED_PROOF_OF_PEER_USED
           is_of_peer[i] = true;
#endif
       }
    :: d_step {
           (is_loaded[i] && withdrawn[i] == 0 && IS_PROVED(i)) -> run_request(i)
       }
    /* Restart with empty memory. */
    :: d_step {
           is_loaded[i] ->
           is_loaded[i] = false;
           era[i] = 0;
           number[i] = 0;
           withdrawn[i] = 0;
           rules_era[i] = 0;
           had_withdrawn[i] = 0;
           age[i] = NONE;
           sent_age[i] = NONE;
#ifdef REACHED_PROOF_KEPT_OVER_RESTORE
           is_kept[i] = false;
#endif
#ifdef REACHED_PROOF_OF_PEER_USED
           is_of_peer[i] = false;
#endif
           forget_expired(i)
       }
    od
}

init {
    atomic {
        run Proxy(0);
        run Proxy(1)
    }
}
