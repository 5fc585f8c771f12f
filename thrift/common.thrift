// What several schemas share. Evolution: fields are only added, as optional
// with new ids; ids and enum values are never reused or renumbered.
namespace py common
namespace java io.agatetack.common

// How a route's requests may be treated.
enum RequestClass {
  FAST = 1
  ONCE = 2
  WHOLE = 3
  DEFERRED = 4
}

// What became of a request.
enum Outcome {
  ANSWERED = 1
  NOT_RUN = 2
  UNKNOWN = 3
}

// One service that gets a share of a route's requests.
struct SplitPart {
  1: required string service_name
  2: required double weight
}

// One route, as operators write it and the log keeps it.
struct Route {
  1: required string id
  2: required string team
  3: required string service_name
  4: required RequestClass request_class
  5: required string path_prefix
  6: optional string host            // lower case; absent: any
  7: optional double deadline_seconds
  8: optional i64 max_body_bytes
  9: optional double requests_per_second  // whole fleet; 0: no limit
  10: optional i32 max_queue              // per process; 0: the setting
  11: optional double timeout_seconds     // 0: only the deadline
  12: optional i32 max_attempts           // 0: the setting
  13: optional double target_latency_seconds  // 0: not known
  14: optional i32 priority               // 0 goes first
  15: optional list<SplitPart> split      // absent: all to service_name
  16: optional list<string> regions       // absent: its targets anywhere
}
