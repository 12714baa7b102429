// What callers, back ends and the operator saw during a soak, and the promises
// that it must keep. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/base/time.h"

namespace juniperway::lab {

// A record of a shard's answer; scatters merge them.
inline constexpr std::size_t kSoakRecordBytes = 16;
inline constexpr std::size_t kSoakRecordsOfShard = 3;
inline constexpr std::size_t kSoakTopK = 4;
// A table of version V has the routes that are named after V and the versions
// before it, this many in all.
inline constexpr std::uint64_t kSoakNamedVersions = 3;

// The record number `index` of a shard, the same at each of its back ends.
std::string SoakRecord(const std::string& service, std::size_t index);

enum class SoakRequestKind { kOnce, kRepeatable, kScatter, kVersion };

// A request of a caller, from its sending to its end.
struct SoakExchange {
  SoakRequestKind kind = SoakRequestKind::kRepeatable;
  std::string request_id;
  std::string router;
  // Which life of the router's process; it changes with each start.
  std::uint64_t life = 0;
  // Of kVersion: the version that its route is named after.
  std::uint64_t version = 0;
  MonotonicTime sent;
  MonotonicTime ended;
  // 0: no whole answer came.
  int status = 0;
  // Of a scatter: those of the shards that are in.
  std::vector<std::string> signatures;
  std::size_t missing = 0;
  std::string body;
};

// A back end began to work on a request.
struct SoakRun {
  std::string request_id;
  std::string backend;
  std::string service;
  std::string zone{};
  MonotonicTime began{};
};

// A route table that an operator sent, and when it was acknowledged.
struct SoakWrite {
  std::uint64_t version = 0;
  std::string table;
  // Of a scatter in this table.
  std::set<std::string> shards;
  std::optional<MonotonicTime> acknowledged;
};

// A route table that was read back.
struct SoakRead {
  MonotonicTime sent;
  std::uint64_t version = 0;
  std::string table;
};

// An operator's order on a zone. One operator gives all of them, one after the
// other; an order that is never acknowledged may hold or not.
struct SoakZoneOrder {
  std::string zone;
  bool evacuated = false;
  MonotonicTime sent;
  std::optional<MonotonicTime> acknowledged;
};

// The evacuated zones, as a control machine told them.
struct SoakZonesRead {
  MonotonicTime sent;
  MonotonicTime ended;
  std::set<std::string> evacuated;
};

// A time in which every router had the evacuation of a zone in force.
struct SoakQuietTime {
  std::string zone;
  MonotonicTime began;
  MonotonicTime ended;
};

struct SoakHistory {
  std::vector<SoakExchange> exchanges;
  std::vector<SoakRun> runs;
  std::vector<SoakWrite> writes;
  std::vector<SoakRead> reads;
  // In the order in which they were sent.
  std::vector<SoakZoneOrder> zone_orders;
  std::vector<SoakZonesRead> zones_reads;
  std::vector<SoakQuietTime> quiet_times;
};

// @return a line for each promise that was broken, with the request or version
// that shows it.
std::vector<std::string> CheckSoak(const SoakHistory& history);

}  // namespace juniperway::lab
