// What hosts tell each other of the store's topics that they follow.
// Evolution: fields are only added, as optional with new ids.
namespace py keyed
namespace java io.agatetack.keyed

// One record, as the store holds it.
struct Record {
  1: required string key
  2: optional binary value      // absent: the key was removed
  3: required i64 offset
  4: optional bool carried      // of an earlier generation, and still holds
}

// A record whose value is large, compressed.
struct PackedRecord {
  1: required string key
  2: required binary content    // the value, as a frame of Zstandard
  3: required i64 offset
  4: optional binary base       // hash of 8 bytes of the value of this key that
                                // the frame takes as its dictionary; absent: none
}

struct Records {
  1: required i64 end           // the next offset after them
  2: required bool whole        // every key there is, and not only what follows
  3: required list<Record> records
  4: optional bool sound        // the store was there for the sender lately
  5: optional i64 generation    // of the store, when `end` was read; absent:
                                // the store names none, or the sender is older
  6: optional binary held       // one bit for each record that the receiver
                                // named: whether the store holds it, too
  7: optional i32 answer_age_ms // since the store was known to hold nothing at
                                // or after `end`; absent: not known
  8: optional list<PackedRecord> packed  // records beside `records`, only for
                                // receivers that can unpack them
}

// How far the sender has read one topic.
struct TopicEnd {
  1: required string topic
  2: required i64 end           // the next offset that it will read
  3: optional i32 age_ms        // since a host that reads the store said so;
                                // absent: the sender reads it itself
  4: optional i64 first         // where `news` begin
  5: optional Records news      // what the sender has just read, if it is little
  6: optional i64 generation    // of the store, when `end` was read
  7: optional i32 carried       // records of earlier generations that hold
  8: optional i32 answer_age_ms // since the store was known to hold nothing at
                                // or after `end`; absent: not known
  9: optional Records packed_news  // in place of `news`: with packed records,
                                // which older hosts can't read
}

struct TopicEnds {
  1: required list<TopicEnd> ends
}

// Asks for what follows an offset.
struct FetchRecords {
  1: required string topic
  2: required i64 first
  3: optional i64 generation    // in which `first` was read; absent: the
                                // sender is older and knows of none
  4: optional binary held       // hashes of 8 bytes of the records that the
                                // sender holds, by which it is told of others
  5: optional map<string, binary> bases  // hashes of 8 bytes of the large values
                                // that the sender holds, by key; absent: the
                                // sender can't unpack records
}

// What one host that starts asks of another, in place of reading the store.
struct StartRequest {
  1: required string host       // the key under which the sender registers
  2: required binary member     // what it registers, as the store will hold it
  3: required bool waits        // whether it waits until the other has read
}

struct StartTopic {
  1: required string topic
  2: required Records records   // every key there is
}

// The topics that the sender has read; none if it has not read all of them.
struct StartReply {
  1: required list<StartTopic> topics
}

// Follows a `StartReply` on the same connection, in a block of its own.
struct StartAges {
  1: required map<string, i32> answer_age_ms  // since the store was known to
                                // hold no other records, by topic; absent: not
                                // known
}

// Asks for a proof that the store holds no record of a topic that the sender
// lacks. The reply may wait until the receiver has a newer one.
struct ProofRequest {
  1: required string topic
  2: optional i32 age_ms        // of the sender's own proof; absent: it has none
  3: optional i64 end           // the next offset that the sender will read
  4: optional i64 generation    // of the store, when `end` was read
}

// The newest proof of the sender: when the store was known to hold nothing from
// an offset on.
struct ProofReply {
  1: required string topic
  2: optional i32 age_ms        // of the proof when the request arrived, less
                                // than 0 if it is newer than the request;
                                // absent: the sender has no proof
  3: optional i64 end           // the offset; who has not read up to it can't
                                // use the proof
  4: optional i64 generation    // of the store, when `end` was read
  5: optional bool behind       // the sender has read less than the receiver
}
