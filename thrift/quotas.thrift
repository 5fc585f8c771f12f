// What hosts tell each other of the use of client accounts' quotas. Evolution:
// fields are only added, as optional with new ids; ids are never reused.
namespace py quotas
namespace java io.agatetack.quotas

// The use of one account at the sender, or at the hosts that it reports for.
struct AccountUse {
  1: required i32 account       // xxhash32 of the account's id, as signed
  2: required i64 used          // admitted and not refunded since the start
  3: required i32 used_since    // the same, since the sender's last report
  4: required i32 asked_since   // admitted or refused since the last report
}

// The accounts whose use changed since the sender's last report.
struct QuotaUse {
  1: required i64 incarnation   // when the sender's process started, in ms
  2: required i64 sequence      // rises with each report of the sender
  3: required list<AccountUse> uses
  4: optional i32 hosts         // number of hosts that a sum is for
}

// Which share of an account's requests is admitted.
struct AccountShare {
  1: required i32 account
  2: required i32 share_ppm
  3: required i32 wait_ms       // when a refused caller should retry
}

// All accounts of which not all requests are admitted.
struct QuotaShares {
  1: required i64 incarnation
  2: required i64 sequence
  3: required list<AccountShare> shares
}
