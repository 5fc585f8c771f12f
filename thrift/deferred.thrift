// Records of deferred requests in the platform's log. Evolution: fields are
// only added, as optional with new ids; ids and enum values are never reused
// or renumbered. Times are wall time, in seconds since 1970.
namespace py deferred
namespace java io.agatetack.deferred

// How a ticket ended.
enum EndKind {
  ANSWERED = 1
  EXPIRED = 2
  FAILED = 3
}

// One HTTP header field.
struct StoredHeader {
  1: required binary name
  2: required binary value
}

// A host's word that it runs a ticket; the highest number counts, and among
// equal numbers the one that came first in the log.
struct Hold {
  1: required i32 number
  2: required string attempt
  3: required string host
  4: required double until
  5: required i32 tries            // attempts that may have run, this included
  6: optional i64 origin           // offset of its first record; absent: here
}

// A request that may wait.
struct Submission {
  1: required string ticket
  2: required binary identity      // equal for resubmissions of one request
  3: required string route
  4: required string request_id
  5: required string caller
  6: required binary method
  7: required binary path
  8: required binary host
  9: required list<StoredHeader> headers
  10: required binary body
  11: required double submitted_at
  12: required double deadline
  13: optional string idempotency_key
  14: optional Hold hold           // the hold in force, in re-appended records
  15: optional i64 origin          // offset of its first record; absent: here
}

// A host takes a ticket up.
struct Start {
  1: required string ticket
  2: required Hold hold
}

// A part of a ticket's end; the first complete end in the log counts.
struct EndChunk {
  1: required string ticket
  2: required binary identity
  3: required string attempt
  4: required EndKind kind
  5: required i32 index            // from 0
  6: required i32 chunks
  7: required binary body          // this chunk's bytes
  8: required double keep_until
  9: optional i32 status           // ANSWERED, in chunk 0
  10: optional list<StoredHeader> headers
  11: optional string reason       // FAILED
  12: optional i64 origin          // offset where the end was first complete
}

// One entry; exactly one field is set.
struct Entry {
  1: optional Submission submission
  2: optional Start start
  3: optional EndChunk end
}

// One record of a stream.
struct Batch {
  1: required list<Entry> entries
}
