/*
 * Freshness proofs for keys: a store from which a key is withdrawn at any
 * time, a reader (0) that watches the store, and two proxies (1, 2) that ask
 * the reader and each other.
 *
 * Time passes in steps, and every time is kept as the number of steps since
 * then, up to NONE, after which it proves nothing. Runs are therefore not
 * bounded. A datagram is delivered at any later moment, any number of times,
 * or never; a later one of the same kind replaces it. A watch is a call that
 * is answered at most once, with the store's revision at that moment.
 *
 * A proxy may hold any revision of the catalogue that the store had, also an
 * older one than before, as a stale replica may have listed it. The requests
 * of the reader are left out: with respect to its proof they are those of a
 * proxy whose datagrams take no time.
 *
 * Checked: no request that was sent more than REVOKE after the acknowledged
 * withdrawal runs. Each BROKEN_ macro below removes one rule, and each
 * REACHED_ macro asserts that a step which has to be possible never happens;
 * spin must then find an error.
 */
#define N 3
#define REVOKE 2
#define NONE (REVOKE + 1)
#define NOBODY N

/* Revision of the store: in 1 the key is withdrawn, since so many steps. */
bit revision;
byte since;

/* Proof that each process holds: its age, and the revision that it is for. */
byte age[N] = NONE;
bit proved[N];
bit catalogue[N];

/* Question of each process on the wire, as the time since asked_at. */
byte asked[N] = NONE;
/* Answer on the wire, as the age of the proof that it yields. */
byte answer[N] = NONE;
bit answer_revision[N];

/* Whether the store is cut off from the reader, and the frozen process. */
bool is_cut;
byte frozen = NOBODY;

#ifdef BROKEN_CATALOGUE_CHECKED_ONCE
bool is_checked[N];
#endif
#ifdef BROKEN_CLOCK_READ_BEFORE_QUESTION
/* Age that proxy 1 read before the question, only 0 to keep the states few. */
byte read_age = NONE;
#endif
#ifdef BROKEN_LOOKUP_BEFORE_PROOF
bool is_looked_up[N];
#endif

#ifdef BROKEN_USE_BEFORE_CATALOGUE
#define HAS_REVISION(i) true
#else
#ifdef BROKEN_CATALOGUE_CHECKED_ONCE
#define HAS_REVISION(i) is_checked[i]
#else
#define HAS_REVISION(i) (catalogue[i] >= proved[i])
#endif
#endif

#define IS_PROVED(i) (age[i] <= REVOKE && HAS_REVISION(i))
#define CAN_ANSWER(i, peer) (age[i] <= REVOKE && asked[peer] < NONE)

inline grow(time) {
    if
    :: time < NONE -> time++
    :: else -> skip
    fi
}

inline grow_ages(i) {
    grow(age[i]);
    grow(asked[i]);
#ifdef BROKEN_AGE_FROM_ARRIVAL
    if
    :: i == 0 -> grow(answer[i])
    :: else -> skip
    fi
#else
    grow(answer[i])
#endif
}

/* One step of the clock of a process, which also runs while it is frozen. */
inline grow_times(i) {
#ifdef BROKEN_CLOCK_STOPS_WHILE_FROZEN
    if
    :: frozen == i -> skip
    :: else -> grow_ages(i)
    fi;
#else
    grow_ages(i);
#endif
    forget_expired(i)
}

/* Clears the revision of expired proofs, so that states do not differ by it. */
inline forget_expired(i) {
    if
    :: age[i] == NONE -> proved[i] = 0
    :: else -> skip
    fi;
    if
    :: answer[i] == NONE -> answer_revision[i] = 0
    :: else -> skip
    fi
}

active proctype Clock() {
    do
    :: d_step {
           if
           :: revision == 1 -> grow(since)
           :: else -> skip
           fi;
           grow_times(0);
           grow_times(1);
           grow_times(2)
       }
    od
}

/* The operator's change, acknowledged when it is in force at the store. */
active proctype Operator() {
    atomic { revision = 1 }
}

/*
 * One fault at a time, and no freeze of the reader, to keep the states few.
 * Every step may come late, so further faults would only remove steps.
 */
active proctype Faults() {
    do
    :: atomic {
           (!is_cut && frozen == NOBODY) ->
           if
           :: is_cut = true
           :: frozen = 1
           :: frozen = 2
           fi
       }
    :: atomic { (is_cut || frozen != NOBODY) -> is_cut = false; frozen = NOBODY }
    od
}

/* Puts an answer to the question of i, with the stated age, on the wire. */
inline send_answer(i, own_age, number) {
    answer[i] = (asked[i] + own_age < NONE -> asked[i] + own_age : NONE);
    answer_revision[i] = number;
#ifdef BROKEN_AGE_FROM_ARRIVAL
    if
    :: i != 0 -> answer[i] = own_age
    :: else -> skip
    fi;
#endif
    forget_expired(i)
}

inline receive_answer(i) {
    age[i] = answer[i];
    proved[i] = answer_revision[i];
#ifdef BROKEN_WATCH_PROVES_ARRIVAL
    if
    :: i == 0 -> age[i] = 0
    :: else -> skip
    fi;
#endif
#ifdef BROKEN_CATALOGUE_CHECKED_ONCE
    is_checked[i] = (catalogue[i] >= proved[i])
#endif
}

/* Answers the question of a peer with the proof that this process holds. */
inline answer_peer(i, peer) {
#ifdef BROKEN_RELAY_REFRESHES
    send_answer(peer, 0, proved[i])
#else
#ifdef BROKEN_CLOCK_READ_BEFORE_QUESTION
    if
    :: i == 1 && read_age < age[1] -> send_answer(peer, read_age, proved[i])
    :: else -> send_answer(peer, age[i], proved[i])
    fi
#else
    send_answer(peer, age[i], proved[i])
#endif
#endif
}

inline run_request(i) {
    /* Proxy 2 then has only the proof that proxy 1 passes on. */
#ifdef REACHED_SERVED_WITH_RELAYED_PROOF
    assert(i != 2 || revision == 1);
#endif
#ifdef REACHED_SERVED_DURING_CUT
    assert(!is_cut || revision == 1);
#endif
#ifdef REACHED_SERVED_AT_THE_BOUND
    assert(since < REVOKE);
#endif
    assert(since <= REVOKE)
}

/* The store answers the reader's watch with its revision at that moment. */
active proctype Store() {
    do
    :: atomic {
           (!is_cut && asked[0] < NONE) ->
#ifdef BROKEN_PROOF_FROM_LISTING
           if
           :: send_answer(0, 0, revision)
           :: send_answer(0, 0, 0)
           fi;
#else
           send_answer(0, 0, revision);
#endif
           asked[0] = NONE
       }
    od
}

/* Follower._read_store */
active proctype Reader() {
    do
    :: atomic {
           asked[0] != 0 ->
           asked[0] = 0;
           answer[0] = NONE;
           forget_expired(0)
       }
    :: atomic {
           (!is_cut && answer[0] < NONE) ->
           receive_answer(0);
           answer[0] = NONE;
           forget_expired(0)
       }
    :: atomic { CAN_ANSWER(0, 1) -> answer_peer(0, 1) }
#ifndef REACHED_SERVED_WITH_RELAYED_PROOF
    :: atomic { CAN_ANSWER(0, 2) -> answer_peer(0, 2) }
#endif
    od
}

proctype Proxy(byte i; byte peer) {
    do
    :: atomic { (frozen != i && asked[i] != 0) -> asked[i] = 0 }
    :: atomic {
           (frozen != i && answer[i] < NONE
            && (answer[i] != age[i] || answer_revision[i] != proved[i])) ->
           receive_answer(i)
       }
    :: atomic { (frozen != i && CAN_ANSWER(i, peer)) -> answer_peer(i, peer) }
#ifdef BROKEN_CLOCK_READ_BEFORE_QUESTION
    :: atomic { (i == 1 && frozen != i && age[i] == 0) -> read_age = 0 }
#endif
    /* Changes of the catalogue arrive before the proof or after it. */
    :: atomic {
           (frozen != i && (revision == 1 || catalogue[i] == 1)) ->
           catalogue[i] = 1 - catalogue[i];
#ifdef BROKEN_CATALOGUE_CHECKED_ONCE
           is_checked[i] = is_checked[i] || catalogue[i] >= proved[i]
#endif
       }
    /* A request arrives: key and proof are checked against one catalogue. */
    :: atomic { (frozen != i && catalogue[i] == 0 && IS_PROVED(i)) -> run_request(i) }
#ifdef BROKEN_LOOKUP_BEFORE_PROOF
    :: atomic {
           (frozen != i && since > REVOKE && catalogue[i] == 0) ->
           is_looked_up[i] = true
       }
    :: atomic { (frozen != i && is_looked_up[i] && IS_PROVED(i)) -> run_request(i) }
#endif
    /* Restart with empty memory and another clock: earlier answers are dropped. */
    :: atomic {
           (age[i] < NONE || asked[i] < NONE || answer[i] < NONE
            || catalogue[i] == 1) ->
           age[i] = NONE;
           catalogue[i] = 0;
#ifdef BROKEN_CLOCK_READ_BEFORE_QUESTION
           read_age = NONE;
#endif
#ifdef BROKEN_LOOKUP_BEFORE_PROOF
           is_looked_up[i] = false;
#endif
#ifdef BROKEN_ANSWER_TO_EARLIER_BOOT
           /* On the new clock, the old asked_at may be the present. */
           asked[i] = (asked[i] < NONE -> 0 : NONE);
           answer[i] = (answer[i] < NONE -> 0 : NONE);
#else
           asked[i] = NONE;
           answer[i] = NONE;
#endif
           forget_expired(i)
       }
    od
}

init {
    atomic {
        run Proxy(1, 2);
        run Proxy(2, 1)
    }
}
