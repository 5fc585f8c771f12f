// What hosts of the fleet send each other. Each frame on the wire is a length
// of four bytes, most significant first, and one Frame in the compact
// protocol. Evolution: fields are only added, as optional with new ids; ids
// are never reused. A change that old hosts can't read raises the version.
namespace py peers
namespace java io.agatetack.peers

// A host with another version is refused, with a counted reason.
const i32 PROTOCOL_VERSION = 1

// The first frame in each direction; the dialling host sends it first.
struct Hello {
  1: required i32 version
  2: required string host
  3: required i64 incarnation       // start of the host, ns since 1970
  4: required string failure_domain
  5: required binary nonce          // fresh for each connection
  6: required string ip             // where the host can be dialled
  7: required i32 port
  8: optional bool leaving
  9: optional bool fills_in_origin  // takes a Publish without its origin
}

// The second frame in each direction; empty where no key is set.
struct Proof {
  1: required binary mac
}

// Sent when nothing else shows that the link works in both directions.
struct Heartbeat {
  1: required i64 sequence
  2: required i64 acknowledged      // highest sequence heard, or 0
  3: optional bool leaving
}

// What a host says of itself to hosts that it has no link with.
struct Member {
  1: required string host
  2: required i64 incarnation
  3: required string failure_domain
  4: required string ip
  5: required i32 port
  6: optional bool leaving
}

// A message to all hosts; the first three fields name it for good. To a host
// that fills them in, the origin itself leaves out the first two: they are
// half of the bytes of a message that tells of one request.
struct Publish {
  1: optional string origin
  2: optional i64 incarnation
  3: required i64 sequence
  4: required i32 topic
  5: required binary payload
  6: optional bool flood            // the origin isn't linked with all hosts
}

// A request to the host at the other end, or a piece of it. Pieces of one
// request come in order; those of several may alternate.
struct Call {
  1: required i64 id
  2: required i32 topic
  3: required binary payload
  4: optional bool more             // another piece follows
}

// The reply to a call, or a piece of it; without payload the call failed.
struct Reply {
  1: required i64 id
  2: optional binary payload
  3: optional bool more             // another piece follows
}

// Hosts that the sender wants a link with and has none.
struct Missing {
  1: required list<string> hosts
}

// Exactly one field is set.
struct Frame {
  1: optional Hello hello
  2: optional Proof proof
  3: optional Heartbeat heartbeat
  4: optional Publish publish
  5: optional Call call
  6: optional Reply reply
  7: optional Missing missing
}
