/** Protocol between damaskdyke proxies. */
namespace py damaskdyke.peers.gen.peer

/** One proxy as its peers know it. A new boot id is a new member. */
struct Member {
  1: required string address,
  2: required i64 boot,
  3: required string zone,
  4: required i32 state,
  5: required i32 incarnation
}

/** Where the sealed ledger of a stopped proxy now is. */
struct Forward {
  1: required i64 boot,
  2: required string successor,
  3: required i64 successor_boot,
  4: required i32 expires_in_ms
}

/** Version and SHA-256 digest of one settings branch. */
struct BranchVersion {
  1: required string name,
  2: required i64 version,
  3: required binary digest
}

/** A whole settings branch as the platform published it. */
struct BranchDocument {
  1: required BranchVersion version,
  2: required binary text
}

/** Outcome counters of one origin for one upstream; newer sequence wins. */
struct Evidence {
  1: required string origin,
  2: required i64 boot,
  3: required i64 sequence,
  4: required string upstream,
  5: required i32 good,
  6: required i32 bad,
  7: required i32 age_ms,
  8: required string zone,
  9: required i32 slow
}


/** One side of a push-pull exchange. */
struct Exchange {
  1: required Member sender,
  2: required binary tree_hash,
  3: required list<BranchVersion> changed,
  4: required list<Member> members,
  5: required list<Evidence> evidence,
  6: required list<Forward> forwards,
  /** Whether the receiver should answer with its whole member table. */
  7: required bool want_all,
  /** Whether the sender serves callers with settings it has compared. */
  8: required bool is_ready
}

struct Header {
  1: required string name,
  2: required string value
}

/** An order on its way to the home of its ticket. */
struct OrderRequest {
  1: required string request_id,
  2: required string ticket,
  3: required string service_name,
  4: required string method,
  5: required string target,
  6: required list<Header> headers,
  7: required binary body,
  8: required i32 time_left_ms,
  9: required string workspace
}

/** Definite state of an order, with the stored reply when it is done. */
struct OrderReply {
  1: required string request_id,
  2: required string ticket,
  3: required i32 outcome,
  4: required string reason,
  5: required i32 status,
  6: required list<Header> headers,
  7: required binary body
}

/** One ledger entry of a sealed ledger. */
struct HandoverEntry {
  1: required i64 sequence,
  2: required i32 state,
  3: required i32 expires_in_ms,
  4: required binary binding,
  5: required string reason,
  6: required i32 status,
  7: required list<Header> headers,
  8: required binary body
}

/** A sealed ledger, sent once to one successor. */
struct Handover {
  1: required string address,
  2: required i64 boot,
  3: required binary secret,
  4: required list<HandoverEntry> entries,
  /** Boot id of the only successor that may accept this copy. */
  5: required i64 successor_boot
}

/** Answer to a hand-over. */
struct HandoverReply {
  1: required bool accepted,
  2: required string reason
}

/** Request for one of the long-work slots of an upstream. */
struct PlacementRequest {
  1: required string request_id,
  2: required string upstream,
  3: required i32 limit,
  4: required i32 lease_ms
}

struct PlacementReply {
  1: required string request_id,
  2: required bool granted,
  3: required i32 in_use
}

service Peer {
  Exchange exchange(1: Exchange offer),
  list<BranchVersion> list_versions(),
  list<BranchDocument> fetch_branches(1: list<BranchVersion> wanted),
  OrderReply submit_order(1: OrderRequest order),
  OrderReply withdraw_order(1: string request_id, 2: string ticket),
  OrderReply get_order(1: string request_id, 2: string ticket),
  HandoverReply hand_over(1: Handover handover),
  bool ping_through(1: string address),
  PlacementReply place_work(1: PlacementRequest request),
  void release_work(1: PlacementRequest request)
}
