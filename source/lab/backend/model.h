// Decisions of one stand-in back end: what to run, for how long, what to refuse
// and what to say about itself. Pure: time is an argument and randomness comes
// from the seed of its settings.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "common/base/error.h"
#include "common/base/time.h"
#include "lab/backend/settings.h"
#include "lab/dataset.h"

namespace juniperway::lab {

// POST /v1/search, parsed.
struct SearchRequest {
  std::string request_id;
  std::string attempt_id;
  std::string shard;
  resources::IndexVersion index_version = 0;
  KeyRange range;
  std::string query;
  std::uint32_t limit = 0;
  // Time left; nothing when the owner named none.
  std::optional<Duration> deadline;
};

// Whether a subquery begins, and how it will end.
struct Admission {
  bool begun = false;
  // HTTP status, at once when not begun, else after `work`.
  int status = 200;
  Duration work = Duration(0);
  // Keys of the shard at the version asked for; kept while the subquery runs,
  // also when the version is retired meanwhile.
  KeyRange shard_range = {};
};

// Totals since the start of the process.
struct BackendCounters {
  std::uint64_t arrived = 0;
  std::uint64_t begun = 0;
  std::uint64_t finished = 0;
  std::uint64_t shed = 0;
  std::uint64_t refused_wrong_version = 0;
  std::uint64_t refused_draining = 0;
  std::uint64_t refused_expired = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t deadline_passed = 0;
  // Arrived while every slot was taken.
  std::uint64_t arrived_over_slots = 0;
  // Begun while draining, and the longest time after the drain began.
  std::uint64_t begun_while_draining = 0;
  Duration last_begun_after_drain = Duration(0);
  std::uint32_t peak_running = 0;
  std::uint32_t peak_connections = 0;
};

struct HealthReport {
  std::string state = "ok";
  std::uint32_t running = 0;
};

class BackendModel {
 public:
  BackendModel(const BackendSettings& settings, MonotonicTime now);

  Admission Admit(const SearchRequest& request, MonotonicTime now);
  // A begun subquery ended; its slot is free.
  void Finish(MonotonicTime now);
  // A begun subquery was cancelled. @return whether its work ends now.
  bool CancelEndsWork();
  void CountDeadlinePassed() { ++counters_.deadline_passed; }

  // The rows that a begun subquery answers with, and the version they are of.
  resources::IndexVersion AnsweredVersion(const SearchRequest& request) const;
  std::vector<Row> Answer(const SearchRequest& request,
                          const KeyRange& shard_range) const;

  void SetBehaviour(const Behaviour& behaviour, MonotonicTime now);
  // Starts again with cold caches.
  void StartCold(MonotonicTime now);
  void Hold(const Holding& holding);
  void Retire(resources::IndexVersion index_version);
  void SetConnections(std::uint32_t open);

  // What it tells of itself now: lagging and lying as its behaviour says.
  HealthReport Health(MonotonicTime now) const;
  std::map<resources::IndexVersion, std::set<std::string>> HeldShards() const;

  const BackendSettings& settings() const { return settings_; }
  const Behaviour& behaviour() const { return behaviour_; }
  const BackendCounters& counters() const { return counters_; }
  std::uint32_t running() const { return running_; }
  bool IsCold(MonotonicTime now) const;

 private:
  struct TimedReport {
    MonotonicTime time;
    HealthReport report;
  };

  const Holding* FindHolding(const SearchRequest& request) const;
  Admission Begin(const SearchRequest& request, const KeyRange& shard_range,
                  MonotonicTime now);
  Duration DrawWork(MonotonicTime now);
  bool Draw(double probability);
  void RecordReport(MonotonicTime now);

  BackendSettings settings_;
  Behaviour behaviour_;
  Dataset dataset_;
  std::mt19937_64 random_;
  std::vector<Holding> holdings_;
  MonotonicTime cold_since_;
  std::optional<MonotonicTime> draining_since_;
  std::uint32_t running_ = 0;
  BackendCounters counters_;
  // True reports, oldest first, kept as long as the lag needs.
  std::deque<TimedReport> reports_;
};

}  // namespace juniperway::lab
