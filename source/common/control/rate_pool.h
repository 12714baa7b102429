// A control node's pool of rate tokens for the routers that have a session with
// it. A router without a token requests one with its heartbeat. The leader may
// be in another region (24 ms round trip); the pool answers at once. The leader
// leases rates to the pool as to a router, and the pool uses its lease while
// there is no leader. Each control node owns one pool. The class does no I/O;
// the time is an argument.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/protocol/control_generated.h"
#include "common/quota/rate_leases.h"
#include "common/raft/types.h"

namespace juniperway::control {

// Name under which a control node's pool reports to the leader. The name
// contains a slash, and names of daemons contain none, so no daemon has the
// same name.
std::string PoolName(raft::NodeId node);

// Serves routers from rates that the leader leased to this control node.
class RatePool {
 public:
  // Interval of reports while tokens suffice. A rate lease (5.5 s) outlasts the
  // loss of one report.
  static constexpr Duration kReportInterval = seconds(2);
  // Interval of reports while tokens run low: one round trip between regions.
  static constexpr Duration kMinimumReportInterval = milliseconds(25);

  // @param incarnation changes with each start of the process.
  RatePool(raft::NodeId node, std::uint64_t incarnation)
      : name_(PoolName(node)),
        incarnation_(incarnation),
        leases_(quota::kPoolOptions) {}

  // Grants available tokens for the requests that wait at a router, and
  // subtracts them from its heartbeat. The leader serves the remaining ones.
  std::vector<quota::RateGrant> Serve(protocol::HeartbeatT& heartbeat,
                                      MonotonicTime now);

  // Whether the pool should send a report to the leader now.
  bool IsReportDue(MonotonicTime now) const;
  std::unique_ptr<protocol::MemberHeartbeatT> MakeReport(MonotonicTime now);
  // Handles an answer to a report of this pool.
  // @return false when the answer is addressed to another daemon.
  bool OnReply(const protocol::MemberHeartbeatReplyT& reply, MonotonicTime now);

 private:
  std::string name_;
  std::uint64_t incarnation_;
  quota::RateLeases leases_;
  // Whether the tokens of at least one key run low.
  bool is_low_on_tokens_ = false;
  // Whether at least one router has requested tokens.
  bool has_requests_ = false;
  std::uint64_t term_ = 0;
  std::uint64_t last_sequence_ = 0;
  MonotonicTime last_report_ = MonotonicTime::min();
  // Times at which the pool sent its reports, by sequence number. The pool
  // keeps each for the duration of one rate lease.
  std::map<std::uint64_t, MonotonicTime> sent_;
};

}  // namespace juniperway::control
