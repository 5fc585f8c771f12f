// Records of the claim streams and the calls between hosts about them.
// Evolution: fields are only added, as optional with new ids; ids and enum
// values are never reused or renumbered.
namespace py claims
namespace java io.agatetack.claims

enum EntryKind {
  CLAIM = 1    // the attempt wants to run the key's request
  DONE = 2     // the attempt ran and was answered with `status`
  RELEASE = 3  // the attempt never ran and never will
  KEEP = 4     // a held key, written again before retention drops it
}

struct Entry {
  1: required EntryKind kind
  2: required binary key          // digest of service and caller's key
  3: required binary attempt      // digest of the attempt id
  4: optional binary fingerprint  // CLAIM, KEEP: digest of the request
  5: optional i64 seen            // CLAIM: first offset not read at arrival
  6: optional i32 status          // DONE, KEEP: HTTP status; absent: claimed
  7: optional bool dated          // CLAIM, KEEP: the caller sent issued_at
  8: optional i64 until_ms        // CLAIM, KEEP: the request's deadline, wall
  9: optional i64 claimed_ms      // KEEP: when it was claimed, log's clock
}

// One record of a claim stream.
struct Batch {
  1: required list<Entry> entries
}

enum VerdictKind {
  GRANTED = 1    // the attempt holds the key
  HELD = 2       // another attempt holds the key
  DONE = 3       // the request ran; see `status`
  REUSED = 4     // the key belongs to a request with another fingerprint
  DEAD = 5       // the claim came after a release that it had not seen
  FREE = 6       // no attempt holds the key, and no earlier one ever will
  FAILED = 7     // nothing was appended
  IN_DOUBT = 8   // an append may yet land
  NOT_READY = 9  // this host has not read the whole stream
}

struct Verdict {
  1: required VerdictKind kind
  2: optional i32 status
  3: optional i64 until_ms  // HELD: the holder's deadline, wall
}

// Asks a host to append entries of one partition and to judge them.
struct Submission {
  1: required i32 partition
  2: required list<Entry> entries
  3: required i32 time_left_ms
}

// Asks a host whether it knows of claims, as the log does not answer. A host
// that answers FREE also refuses every request for the key that it already has.
struct Question {
  1: required i32 partition
  2: required binary key
}

struct Inquiry {
  1: required list<Question> questions
}

// One of the two.
struct Call {
  1: optional Submission submission
  2: optional Inquiry inquiry
}

// One verdict for each entry or question, in their order.
struct Reply {
  1: required list<Verdict> verdicts
}
