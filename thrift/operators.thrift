// The administration API of agatetack, served by every gateway process.
//
// Transport: one call is one HTTP POST to /api on the operators' address.
// The body is one Thrift message, the answer's body the reply to it.
//   Content-Type                          protocol
//   application/x-thrift                  binary, compact or JSON, told apart
//                                         by the first byte
//   application/vnd.apache.thrift.binary  binary
//   application/vnd.apache.thrift.compact compact
//   application/vnd.apache.thrift.json    JSON
// The token goes into the header `Authorization: Bearer TOKEN`. A typed
// exception is a reply like any other and comes with HTTP status 200; a body
// that is no Thrift message gets 400, one that is too long 413.
//
// Units stand in the names: _seconds, _ms (milliseconds), _bytes, _unix_ms
// (wall clock, milliseconds since 1970). Ages and times of a request are what
// the answering host's clock shows.
//
// Lists come in pages, as a long answer would hold up the callers' requests
// that the same process serves. What changes between two pages may show in
// one of them or in neither, never twice.
//
// Evolution. Fields and calls are only added; a new field is optional and has
// a new id; ids, enum numbers and names are never reused, renumbered or given
// a new meaning; a field that is no more used stays, and its comment says so.
// Readers skip fields that they do not know, take an enum number that they do
// not know for "other", and take an absent optional field for the default in
// its comment. A call that must change its meaning gets a new name.
include "common.thrift"
namespace py operators
namespace java io.agatetack.operators

// Why an answer is not a target's own. Same names as the reason header.
enum RefusalReason {
  MALFORMED_REQUEST = 1
  NO_ROUTE = 2
  BODY_TOO_LARGE = 3
  HEADERS_TOO_LARGE = 4
  DEADLINE_INVALID = 5
  NO_CONFIGURATION = 6
  SHUTTING_DOWN = 7
  RATE_LIMITED = 8
  QUEUE_FULL = 9
  CANNOT_MEET_DEADLINE = 10
  DEADLINE_EXCEEDED_IN_QUEUE = 11
  NO_TARGET = 12
  QUARANTINED = 13
  CONNECT_FAILED = 14
  SHED_BY_TARGET = 15
  LOG_UNAVAILABLE = 16
  KEY_MISSING = 17
  KEY_MALFORMED = 18
  KEY_REUSED = 19
  KEY_EXPIRED = 20
  KEY_IN_PROGRESS = 21
  KEY_OUTCOME_UNKNOWN = 22
  KEY_ALREADY_DONE = 23
  CLAIM_IN_DOUBT = 24
  ANSWER_TIMEOUT = 25
  CONNECTION_LOST = 26
  ANSWER_MALFORMED = 27
  ANSWER_CUT = 28
  TICKET_UNKNOWN = 29
  TICKET_EXPIRED = 30
  TICKET_IN_DOUBT = 31
  RESULT_TOO_LARGE = 32
  CALLER_GONE = 33
  INTERNAL_ERROR = 34
  KEY_STORE_FULL = 35
  TARGET_UNWILLING = 36
  CREDENTIALS_UNKNOWN = 37
  CONFIGURATION_UNPROVEN = 38
  QUOTA_EXCEEDED = 39
  OVERLOADED = 40
  MEMORY_SHORT = 41
}

// Why a request was sent to a target once more.
enum RetryReason {
  CONNECT_FAILED = 1
  SHED_BY_TARGET = 2
  // 3 was never sent.
  CONNECTION_LOST = 4
  ANSWER_TIMEOUT = 5
  ANSWER_MALFORMED = 6
  HEDGE = 7
  RESUME = 8
  ANSWER_CUT = 9
  STALLED = 10
  TARGET_UNWILLING = 11
}

// What an attempt showed of its target.
enum AttemptResult {
  ANSWERED = 1
  SHED = 2
  FAILED = 3
  CANCELLED = 4
}

// How far a gateway is between its start and its end.
enum Phase {
  STARTING = 1
  READY = 2
  DRAINING = 3
  STOPPED = 4
}

// Whether a target may get new work.
enum TargetStatus {
  COLD = 1
  READY = 2
  LEAVING = 3
  GONE = 4
}

// Where a load report came from.
enum ReportSource {
  ANSWER = 1
  PROBE = 2
  PEER = 3
}

// What became of a change of configuration.
enum ChangeState {
  ACCEPTED = 1  // in the log and read back; its version is final
  REJECTED = 2  // in the log, and lost against another change; final
  PENDING = 3   // sent, not read back yet; ask again
  UNKNOWN = 4   // no record of it in the time that the log keeps
}

// Why a change was rejected.
enum ChangeRejection {
  VERSION_CONFLICT = 1  // the route has another version than expected, or
                        // exists and should not, or does not and should
  PATH_TAKEN = 2        // another route takes the same host and path prefix
  INVALID = 3           // the findings say what is wrong with it
  STALE = 4             // it reached the log too late after it was written
  CHANGE_ID_REUSED = 5  // the id was used before for another change
  OTHER = 6             // the message says why
}

// What a change does.
enum ChangeKind {
  APPLY = 1
  DELETE = 2
}

// What is known of an idempotency key.
enum ClaimState {
  UNCLAIMED = 1    // no claim in the window that the log keeps
  IN_PROGRESS = 2  // claimed, not finished; it may have run
  DONE = 3         // ran, and was answered with the status given
  RELEASED = 4     // claimed and given back; it never ran
  EXPIRED = 5      // older than the window; taken for unknown
}

// Whether a suspected request is refused already.
enum QuarantineState {
  SUSPECTED = 1
  REFUSED = 2
}

// What a token may do.
enum Role {
  READ = 1
  CHANGE = 2
  RELEASE = 3
}

// Why access was denied.
enum AccessProblem {
  TOKEN_MISSING = 1
  TOKEN_WRONG = 2
  ROLE_MISSING = 3
  SERVICE_OUT_OF_SCOPE = 4
  OTHER_TEAM = 5
  TOO_MANY_FAILURES = 6
  NO_TOKENS_CONFIGURED = 7  // only reads from loopback are allowed then
}

// Which limit of a team a change would exceed.
enum TeamLimit {
  ROUTES = 1
  REQUESTS_PER_SECOND = 2
  UNLIMITED_ROUTE = 3  // the team has a limit, so the route must name a rate
}

// Why a call cannot be answered now.
enum UnavailableReason {
  LOG_UNAVAILABLE = 1     // the change had no effect
  NO_CONFIGURATION = 2    // the host has read no configuration yet
  BEHIND = 3              // the host has not read up to the version expected
  SHUTTING_DOWN = 4
  PEER_UNREACHABLE = 5
  RATE_LIMITED = 6        // the log takes no more appends now; no effect
  INTERNAL_ERROR = 7
}

// What was not found.
enum Entity {
  ROUTE = 1
  TARGET = 2
  QUARANTINE = 3
  REQUEST = 4
}

// One thing that is wrong, and where.
struct Finding {
  1: required string place  // a field, such as `route.path_prefix`
  2: required string message
}

// Exceptions are mutable in Python, as its own libraries set the traceback of
// an exception that passes through them.

// The token is missing or does not allow the call.
exception AccessDenied {
  1: required AccessProblem problem
  2: required string message
  3: optional i64 retry_after_ms  // absent: asking again will not help
} (python.immutable = "false")

// The request's fields are wrong; nothing was done.
exception InvalidRequest {
  1: required string message
  2: required list<Finding> findings
} (python.immutable = "false")

// A route in force.
struct RouteRecord {
  1: required common.Route route
  2: required i64 version           // offset of its record in the log
  3: optional string author         // name of the token that changed it last
  4: optional string change_id
  5: optional i64 accepted_unix_ms  // the log's clock
}

// The change lost against another one or does not fit; it is not in force.
exception ChangeRejected {
  1: required ChangeRejection reason
  2: required string message
  3: required string change_id
  4: required list<Finding> findings
  5: optional RouteRecord current   // what is in force instead, if anything
} (python.immutable = "false")

// The change may be in force or come into force; ask get_change.
exception ChangeInDoubt {
  1: required string message
  2: required string change_id
  3: optional i64 retry_after_ms
} (python.immutable = "false")

// The change would exceed a limit of its team; nothing was done.
exception LimitExceeded {
  1: required TeamLimit limit
  2: required string message
  3: required double allowed
  4: required double wanted
} (python.immutable = "false")

// There is no such thing here.
exception NotFound {
  1: required Entity entity
  2: required string id
  3: required string message
} (python.immutable = "false")

// The call cannot be answered now; it had no effect.
exception Unavailable {
  1: required UnavailableReason reason
  2: required string message
  3: optional i64 retry_after_ms
} (python.immutable = "false")

struct ListRoutesRequest {
  1: optional string service_name  // absent: all that the token may read
  2: optional string team
  3: optional i32 page_size       // default 100, most 200
  4: optional string after           // `next_after` of the page before
}

struct RouteList {
  1: required list<RouteRecord> routes  // by id
  2: required i64 offset                // all records before it were read
  3: optional string next_after  // absent: this is the last page
}

struct GetRouteRequest {
  1: required string route_id
}

struct ApplyRouteRequest {
  1: required common.Route route
  2: required string change_id         // unique; the same again is a repeat
  3: optional i64 expected_version     // absent: the route must not exist yet
  4: optional bool dry_run             // default false: check only
  5: optional i64 timeout_ms           // default 5000: wait for the log
}

struct DeleteRouteRequest {
  1: required string route_id
  2: required string change_id
  3: required i64 expected_version
  4: optional bool dry_run             // default false
  5: optional i64 timeout_ms           // default 5000
}

// What an apply or delete did.
struct ChangeResult {
  1: required string change_id
  2: required ChangeKind kind
  3: required bool dry_run
  4: required list<Finding> findings   // a dry run returns all; else empty
  5: optional i64 version              // absent after a dry run
  6: optional RouteRecord previous     // what was in force before
}

struct GetChangeRequest {
  1: required string change_id
  2: optional i64 timeout_ms           // default 5000: wait for the log
}

struct Change {
  1: required string change_id
  2: required ChangeState state
  3: optional i64 version              // of an accepted change
  4: optional ChangeRejection reason   // of a rejected change
  5: optional string message
  6: optional string route_id
  7: optional ChangeKind kind
  8: optional string author
}

struct GetStatusRequest {
}

// The host that answers.
struct HostStatus {
  1: required string host_id
  2: required string failure_domain
  3: required string region
  4: required Phase phase
  5: required bool ready
  6: optional string not_ready_because
  7: required i64 started_unix_ms
  8: required i64 config_offset          // all records before it are in force
  9: optional i64 config_lag_records     // absent: the log is out of reach
  10: required i32 routes
  11: required i32 in_flight             // requests being served
  12: required i32 fleet_size            // never too low
  13: required bool log_reachable
}

struct ListHostsRequest {
  1: optional i32 page_size       // default 100, most 200
  2: optional string after           // `next_after` of the page before
}

// A gateway as the answering host sees it.
struct HostView {
  1: required string host_id
  2: required string failure_domain
  3: required Phase phase
  4: required bool live                  // heard within the peers' timeout
  5: optional i64 config_offset          // absent: not heard of yet
  6: optional i64 last_heard_age_ms      // absent: itself, or not known
}

struct HostList {
  1: required list<HostView> hosts       // by id, the answering one included
  2: optional string next_after  // absent: this is the last page
}

struct ListTargetsRequest {
  1: optional string service_name        // absent: all that the token may read
  2: optional i32 page_size       // default 100, most 200
  3: optional string after           // `next_after` of the page before
}

struct TargetView {
  1: required string target_id           // ip:port
  2: required string service_name
  3: required string failure_domain
  4: required TargetStatus status
  5: required bool drained               // by an operator
  6: required i32 in_flight              // this host's requests there
  7: required i32 slots
  8: required i32 allowed                // most requests of this host there
  9: optional i32 reported_in_flight     // of all gateways, as it last said
  10: optional i64 report_age_ms         // absent: no report yet
  11: optional ReportSource report_source
  12: optional double latency_ms         // moving average
  13: required i32 failures              // since the last answer
}

struct TargetList {
  1: required list<TargetView> targets   // by id
  2: optional string next_after  // absent: this is the last page
}

struct GetMeasureBudgetRequest {
}

struct ReportCount {
  1: required ReportSource source
  2: required i64 reports
}

// Spending on measuring targets. Totals count from the host's start.
struct MeasureBudget {
  1: required double fleet_probes_per_second  // as set
  2: required double fleet_bytes_per_second   // as set
  3: required double host_probes_per_second   // this host's share
  4: required double host_bytes_per_second    // this host's share
  5: required i64 spent_probes
  6: required i64 spent_bytes
  7: required i64 refused_probes              // not sent: budget spent
  8: required list<ReportCount> reports
  9: optional double recent_probes_per_second // over the last seconds
  10: optional double recent_bytes_per_second
}

struct GetDeferredRequest {
}

struct DeferredPartition {
  1: required i32 partition
  2: required i64 open                  // tickets without a result
  3: required i64 running               // on this host
  4: required i64 done                  // results that can be fetched
  5: optional i64 oldest_open_age_ms
  6: optional i64 lag_records           // not read yet; absent: not known
}

struct DeferredStatus {
  1: required i64 max_open              // whole fleet
  2: required list<DeferredPartition> partitions
}

struct GetClaimsRequest {
  1: required string key                // the caller's idempotency key
  2: optional string route_id           // absent: on all routes
  3: optional i64 timeout_ms            // default 5000: wait for the log
}

struct ClaimView {
  1: required string route_id
  2: required string service_name
  3: required string key
  4: required ClaimState state
  5: optional string attempt_id
  6: optional string host_id            // that claimed it
  7: optional i64 claimed_unix_ms       // the log's clock
  8: optional i64 expires_unix_ms
  9: optional i32 answer_status         // HTTP status, if done
}

struct ClaimList {
  1: required list<ClaimView> claims
}

struct ListQuarantineRequest {
  1: optional string service_name       // absent: all that the token may read
  2: optional i32 page_size       // default 100, most 200
  3: optional string after           // `next_after` of the page before
}

// A request suspected to crash targets.
struct QuarantinedRequest {
  1: required string fingerprint        // hex; for release_quarantined
  2: required string route_id
  3: required string service_name
  4: required QuarantineState state
  5: required i32 crashes
  6: required list<string> target_ids   // that it crashed
  7: required i64 last_crash_unix_ms
  8: optional i64 refused_until_unix_ms
  9: optional i64 refusals              // since the host's start
}

struct QuarantineList {
  1: required list<QuarantinedRequest> requests  // by fingerprint
  2: optional string next_after  // absent: this is the last page
}

struct ReleaseQuarantinedRequest {
  1: required string fingerprint
}

struct DrainTargetRequest {
  1: required string target_id
  2: optional i64 timeout_ms            // default 5000: wait for the log
}

struct DrainHostRequest {
  1: optional string message            // for the log
}

struct ExplainRequest {
  1: required string request_id
  2: optional i64 timeout_ms            // default 5000: wait for peers
}

struct ExplainedAttempt {
  1: required string attempt_id
  2: required string target_id
  3: required i64 started_after_ms      // since the request's arrival
  4: optional i64 ended_after_ms        // absent: still running
  5: optional AttemptResult result
  6: optional RefusalReason failure     // why it brought no answer
  7: optional RetryReason retry_reason  // why it was made; absent: the first
  8: optional string choice             // why this target
}

// What one host did with a request.
struct ExplainedRequest {
  1: required string request_id
  2: required string host_id
  3: required i64 arrived_unix_ms
  4: optional string route_id           // absent: no route matched
  5: optional string service_name
  6: optional common.Outcome outcome    // absent: still being served
  7: optional RefusalReason reason      // absent: the target's own answer
  8: optional string detail
  9: optional i32 status                // HTTP status sent to the caller
  10: optional i64 finished_after_ms    // since its arrival
  11: required list<ExplainedAttempt> attempts
}

struct Explanation {
  1: required list<ExplainedRequest> requests  // by arrival; a caller may
                                               // send an id more than once
  2: required list<string> silent_hosts        // that did not answer in time
}

// An answer without content.
struct Done {
}

service Operators {
  // Routes in force on the answering host. Role: read.
  RouteList list_routes(1: ListRoutesRequest request)
    throws (1: AccessDenied denied, 2: InvalidRequest invalid,
            3: Unavailable unavailable)

  // One route. Role: read.
  RouteRecord get_route(1: GetRouteRequest request)
    throws (1: AccessDenied denied, 2: InvalidRequest invalid,
            3: Unavailable unavailable, 4: NotFound missing)

  // Create or replace a route; returned once the change is in the log and
  // read back. Idempotent by change id. Role: change.
  ChangeResult apply_route(1: ApplyRouteRequest request)
    throws (1: AccessDenied denied, 2: InvalidRequest invalid,
            3: Unavailable unavailable, 4: ChangeRejected rejected,
            5: ChangeInDoubt doubt, 6: LimitExceeded limited)

  // Delete a route; returned once the change is in the log and read back.
  // Idempotent by change id. Role: change.
  ChangeResult delete_route(1: DeleteRouteRequest request)
    throws (1: AccessDenied denied, 2: InvalidRequest invalid,
            3: Unavailable unavailable, 4: ChangeRejected rejected,
            5: ChangeInDoubt doubt, 6: NotFound missing)

  // What became of a change; to be asked after ChangeInDoubt or a lost
  // reply. Role: read.
  Change get_change(1: GetChangeRequest request)
    throws (1: AccessDenied denied, 2: InvalidRequest invalid,
            3: Unavailable unavailable)

  // The answering host. Role: read.
  HostStatus get_status(1: GetStatusRequest request)
    throws (1: AccessDenied denied, 2: InvalidRequest invalid,
            3: Unavailable unavailable)

  // All gateways that the answering host knows. Role: read.
  HostList list_hosts(1: ListHostsRequest request)
    throws (1: AccessDenied denied, 2: InvalidRequest invalid,
            3: Unavailable unavailable)

  // Targets as the answering host sees them. Role: read.
  TargetList list_targets(1: ListTargetsRequest request)
    throws (1: AccessDenied denied, 2: InvalidRequest invalid,
            3: Unavailable unavailable)

  // Spending on measuring. Role: read.
  MeasureBudget get_measure_budget(1: GetMeasureBudgetRequest request)
    throws (1: AccessDenied denied, 2: InvalidRequest invalid,
            3: Unavailable unavailable)

  // Requests that may wait. Role: read.
  DeferredStatus get_deferred(1: GetDeferredRequest request)
    throws (1: AccessDenied denied, 2: InvalidRequest invalid,
            3: Unavailable unavailable)

  // What is known of an idempotency key; it changes nothing. Role: read.
  ClaimList get_claims(1: GetClaimsRequest request)
    throws (1: AccessDenied denied, 2: InvalidRequest invalid,
            3: Unavailable unavailable)

  // Requests suspected to crash targets. Role: read.
  QuarantineList list_quarantine(1: ListQuarantineRequest request)
    throws (1: AccessDenied denied, 2: InvalidRequest invalid,
            3: Unavailable unavailable)

  // Let a quarantined request run again, on every host. Role: release.
  Done release_quarantined(1: ReleaseQuarantinedRequest request)
    throws (1: AccessDenied denied, 2: InvalidRequest invalid,
            3: Unavailable unavailable, 4: NotFound missing)

  // Send no new work to a target, from any host. Idempotent. Role: change.
  Done drain_target(1: DrainTargetRequest request)
    throws (1: AccessDenied denied, 2: InvalidRequest invalid,
            3: Unavailable unavailable, 4: NotFound missing)

  // Let a drained target have work again. Idempotent. Role: change.
  Done undrain_target(1: DrainTargetRequest request)
    throws (1: AccessDenied denied, 2: InvalidRequest invalid,
            3: Unavailable unavailable, 4: NotFound missing)

  // Stop the answering host gracefully, as its stop signal does; returned at
  // once. Role: change, on all services.
  Done drain_host(1: DrainHostRequest request)
    throws (1: AccessDenied denied, 2: InvalidRequest invalid,
            3: Unavailable unavailable)

  // What the hosts did with a request lately, and why. Role: read.
  Explanation explain(1: ExplainRequest request)
    throws (1: AccessDenied denied, 2: InvalidRequest invalid,
            3: Unavailable unavailable, 4: NotFound missing)
}
