// Concurrency limit for the queries that one front runs for one service. During
// overload without a limit, each shard sheds subqueries of different queries,
// so hardly any query gets complete coverage although every backend is busy.
//
// The limit is multiplied by kDecreaseFactor when several recent queries ended
// with too little coverage because saturated backends shed their subqueries.
// The limit grows by one per `limit` served queries. Queries that began before
// the last decrease ran under the old limit and cannot cause another decrease.
// Occasional sheds do not lower the limit.
#pragma once

#include <cstddef>

#include "common/base/time.h"

namespace juniperway::routing {

// Concurrency limit of one service, in queries. Each ServiceState owns one, so
// there is one per service and front. AdmissionLimit reads no clock; callers
// pass the time.
class AdmissionLimit {
 public:
  // Lower bound of the limit, in queries: some queries must run for the front
  // to observe the end of an overload.
  static constexpr double kMinimumLimit = 4;
  // Initial value and upper bound of the limit, in queries.
  static constexpr double kMaximumLimit = 4096;
  // Factor by which an overload lowers the limit.
  static constexpr double kDecreaseFactor = 0.8;
  // The limit decreases when kOverloadedQueriesToDecrease of at most
  // kWindowQueries ended queries were overloaded.
  static constexpr int kOverloadedQueriesToDecrease = 3;
  static constexpr int kWindowQueries = 50;

  // Whether one more query may start.
  bool CanStartQuery() const { return static_cast<double>(running_) < limit_; }
  void OnQueryStarted() { ++running_; }

  enum class LoadEvidence {
    kServed,      // The coverage met the service's minimum.
    kOverloaded,  // Too little coverage because saturated backends shed.
    kOther,       // No evidence about load, for example abandoned queries.
  };
  // Ends one query that OnQueryStarted counted.
  // @param began when OnQueryStarted was called for the query.
  void OnQueryEnded(LoadEvidence end, MonotonicTime began, MonotonicTime now);

  // Limit on the running queries, and their number.
  double limit() const { return limit_; }
  std::size_t running() const { return running_; }

 private:
  void Count(LoadEvidence end, double running, MonotonicTime now);

  double limit_ = kMaximumLimit;
  std::size_t running_ = 0;
  MonotonicTime last_decrease_{};
  // Number of queries that ended since the last decrease or the last full
  // window, and the number of overloaded ones among them.
  int ended_ = 0;
  int overloaded_ = 0;
};

}  // namespace juniperway::routing
