// Requests that a host passes to another one, as it reaches no target of their
// service itself. Evolution: fields are only added, as optional with new ids;
// ids are never reused.
namespace py forwarding
namespace java io.agatetack.forwarding

struct HeaderField {
  1: required binary name
  2: required binary value
}

// A request as its caller sent it, with its whole body.
struct ForwardedRequest {
  1: required i64 id              // the sender's number for it
  2: required string request_id
  3: required string caller
  4: required binary method
  5: required binary path
  6: required binary host
  7: required list<HeaderField> headers
  8: required binary body
  9: required i32 left_ms         // time left until its deadline
  10: optional string key         // the idempotency key
}

// The answer of a target, whole.
struct ForwardedAnswer {
  1: required i32 status
  2: required list<HeaderField> headers
  3: required binary body
  4: optional i64 length          // as the target announced it
}

// Why there is none.
struct ForwardedRefusal {
  1: required string reason       // a RefusalReason
  2: required string detail
  3: required string outcome      // an Outcome
  4: optional i32 retry_ms        // when the caller may come back
}

// Exactly one field is set.
struct ForwardReply {
  1: optional ForwardedAnswer answer
  2: optional ForwardedRefusal refusal
}

// The sender no longer waits for the reply.
struct ForwardCancel {
  1: required i64 id
}
