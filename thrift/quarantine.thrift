// What hosts tell each other about requests that crash targets.
// Evolution: fields are only added, as optional with new ids.
namespace py quarantine
namespace java io.agatetack.quarantine

// What one host saw of one request.
enum CrashEvent {
  // A target dropped the connection while it ran the request.
  LOST = 1
  // A target answered the request, so it is harmless.
  ANSWERED = 2
  // An operator released the request.
  RELEASED = 3
}

struct CrashNotice {
  1: required binary fingerprint  // 16 bytes
  2: required CrashEvent event
  3: optional string target       // ip:port; for LOST
  4: optional string route        // id; for LOST
  5: optional string service_name // for LOST
}
