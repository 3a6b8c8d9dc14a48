/*
 * Settings distribution: one branch with versions 1 to 3, three proxies that
 * restart, and a platform that may serve any older revision to its readers.
 *
 * Checked: a proxy never serves an older version than it served before, and a
 * restarted proxy never serves an older version than one that was in force on
 * every ready proxy, as long as a ready proxy remains to compare with.
 */
#define N 3
#define NEWEST 3

/* The newest version at the platform. */
byte published = 1;
/* Version that each proxy has, zero for none, and the last one that it served. */
byte version[N];
byte served[N];
bool is_ready[N];
/* The newest version that was in force on every ready proxy at some time. */
byte everywhere;
byte restarts;

/* Updates the version that was in force on every ready proxy. */
inline note_everywhere() {
    if
    :: (is_ready[0] || is_ready[1] || is_ready[2]) ->
        byte least = NEWEST;
        byte k;
        for (k : 0 .. N - 1) {
            if
            :: is_ready[k] && version[k] < least -> least = version[k]
            :: else -> skip
            fi
        }
        if
        :: least > everywhere -> everywhere = least
        :: else -> skip
        fi;
        k = 0;
        least = 0
    :: else -> skip
    fi
}

/* Store.offer */
inline offer(i, number) {
    if
#ifdef BROKEN_TAKE_ANY_VERSION
    :: number > 0 -> version[i] = number
#else
    :: number > version[i] -> version[i] = number
    :: else -> skip
#endif
    fi;
    note_everywhere()
}

active proctype Platform() {
    do
    :: published < NEWEST -> published++
    :: published == NEWEST -> break
    od
}

proctype Proxy(byte i) {
    byte peer;
    byte number;

    do
    /* Settings._fetch_newer_branches: any revision up to the newest is served. */
    :: atomic {
           number = 1;
           do
           :: number < published -> number++
           :: break
           od;
           offer(i, number);
           number = 0
       }
    /* Settings.receive_exchange and _pull_versions: versions of a peer, which may be old. */
    :: atomic {
           peer = (i + 1) % N;
           if
           :: skip
           :: peer = (i + 2) % N
           fi;
           offer(i, version[peer]);
#ifdef BROKEN_COMPARE_WITH_BOOTING
           if
           :: !is_ready[i] && version[i] > 0 -> is_ready[i] = true
           :: else -> skip
           fi;
#else
           /* Settings._has_booted: a ready peer answered. */
           if
           :: !is_ready[i] && is_ready[peer] && version[i] > 0 -> is_ready[i] = true
           :: else -> skip
           fi;
#endif
           note_everywhere();
           peer = 0
       }
    /* The whole fleet starts: no proxy is ready. */
    :: atomic {
           (!is_ready[0] && !is_ready[1] && !is_ready[2] && version[i] > 0
            && everywhere == 0) ->
           is_ready[i] = true;
           note_everywhere()
       }
#ifdef BROKEN_NO_COMPARISON
    :: atomic { (!is_ready[i] && version[i] > 0) -> is_ready[i] = true }
#endif
    /* The proxy serves a request. */
    :: atomic {
           is_ready[i] ->
           assert(version[i] >= served[i]);
           assert(version[i] >= everywhere);
           served[i] = version[i]
       }
    /* The VM is replaced, unless it is the only ready proxy. */
    :: atomic {
           (restarts < 3 && (!is_ready[i] || is_ready[(i + 1) % N]
            || is_ready[(i + 2) % N])) ->
           restarts++;
           version[i] = 0;
           served[i] = 0;
           is_ready[i] = false
       }
    od
}

init {
    atomic {
        run Proxy(0);
        run Proxy(1);
        run Proxy(2)
    }
}
