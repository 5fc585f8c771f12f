// What hosts tell each other about targets that operators drained.
// Evolution: fields are only added, as optional with new ids.
namespace py targets
namespace java io.agatetack.targets

struct TargetDrain {
  1: required string target        // ip:port
  2: required bool drained
  3: required i64 set_unix_ms      // of two marks the later one holds
}

struct TargetDrains {
  1: required list<TargetDrain> drains
}
