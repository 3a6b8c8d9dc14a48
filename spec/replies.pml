/*
 * Replies on reused connections: requests of three callers over at most two
 * connections. A reply may arrive after its request has timed out.
 *
 * Checked: a reply that reaches a caller belongs to that caller's request.
 */
#define NO_REPLY 255

/* Replies in transit on each connection, oldest first. */
chan on_wire[2] = [2] of { byte };
bool is_idle[2];
bool is_open[2];

proctype Upstream(byte connection; byte request) {
    /* The reply arrives after any delay, or never. */
    if
    :: on_wire[connection] ! request
    :: skip
    fi
}

proctype Call(byte request) {
    byte connection = 0;
    byte reply = NO_REPLY;

    /* UpstreamPool.acquire */
    atomic {
        if
        :: is_idle[0] -> connection = 0; is_idle[0] = false
        :: is_idle[1] -> connection = 1; is_idle[1] = false
        :: !is_open[0] -> connection = 0; is_open[0] = true
        :: !is_open[1] -> connection = 1; is_open[1] = true
        fi
    };
    run Upstream(connection, request);
    if
    /* UpstreamCall.read, then UpstreamPool.release */
    :: on_wire[connection] ? reply ->
        assert(reply == request);
        is_idle[connection] = true
    /* Timeout: UpstreamCall.discard_connection, then UpstreamPool.discard */
    :: skip ->
#ifdef BROKEN_REUSE_AFTER_TIMEOUT
        is_idle[connection] = true
#else
        skip
#endif
    fi
}

init {
    atomic {
        run Call(1);
        run Call(2);
        run Call(3)
    }
}
