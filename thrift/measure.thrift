// What hosts tell each other of the targets they measured. Evolution: fields
// are only added, as optional with new ids; ids are never reused.
namespace py measure
namespace java io.agatetack.measure

// One load report, as a target gave it to the sender.
struct LoadSample {
  1: required i32 target        // xxhash32 of the target's id, as signed
  2: required i32 in_flight     // from all hosts, the receiver's included
  3: optional i32 slots         // absent: 2
  4: optional i32 age_ms        // absent: 0
  5: optional i32 service_us    // time of one request on a free slot
  6: optional i32 slowness_pct  // time of work there, usual is 100; absent: 100
  7: optional i32 warm_up_ms    // how long it had still to warm up when it said
                                // so last; absent: nobody knows
  8: optional i32 said_ms       // how long ago that was; absent: 0
  9: optional double rate       // requests a second that it takes from all
                                // hosts, as it said last; 0: it names no rate
                                // any more; absent: it never named one
  10: optional i32 rate_said_ms // how long ago that was; absent: 0
}

// The samples of one interval.
struct LoadSamples {
  1: required list<LoadSample> samples
}

// A sign that a target is leaving, seen by the sender itself.
struct TargetSign {
  1: required string target     // "ip:port"
  2: required i32 sign          // its kind, as numbered in LeavingSign from 1
}

// How many requests the sender has at one target now.
struct InFlightCount {
  1: required i32 target        // xxhash32 of the target's id, as signed
  2: required i32 count
}

// The counts that changed. Each is whole and not a step, so that a lost
// message is made good by the next one.
struct InFlightCounts {
  1: required list<InFlightCount> counts
  2: optional bool whole        // the sender has nothing at other targets
  3: optional list<LoadSample> samples  // what it would have told next
}

// The targets that the sender can't reach itself. Each message replaces the
// one before.
struct LostPaths {
  1: required list<i32> targets // xxhash32 of the targets' ids, as signed
}

// Targets that the sender does not hear; the receiver looks at them and shares
// what they report.
struct LookRequest {
  1: required list<i32> targets // xxhash32 of the targets' ids, as signed
}
