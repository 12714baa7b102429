// A control machine's pool of tokens for the routers whose sessions it has. A
// router that holds no token asks; the way to the leader may lead into another
// region (24 ms there and back), the pool answers at once. The pool itself is a
// holder of leased rates like a router, and goes on with its lease while there
// is no leader. Pure: time is an argument.
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

// The holder's name of a control machine's pool. No daemon has it: names of
// daemons hold no slash.
std::string PoolName(raft::NodeId node);

class RatePool {
 public:
  // Between two reports while nothing is short: a lease (5.5 s) bears the loss
  // of one.
  static constexpr Duration kReportInterval = seconds(2);
  // Between two reports in any case: one round trip between regions.
  static constexpr Duration kShortestInterval = milliseconds(25);

  // @param incarnation changes with each start of the process.
  RatePool(raft::NodeId node, std::uint64_t incarnation)
      : name_(PoolName(node)),
        incarnation_(incarnation),
        leases_(quota::kPoolOptions) {}

  // Takes tokens for what waits at a router, as far as there are some, and
  // leaves the rest in its heartbeat, for the leader.
  std::vector<quota::RateGrant> Serve(protocol::HeartbeatT& heartbeat,
                                      MonotonicTime now);

  // The leader should be told, now or soon.
  bool IsReportDue(MonotonicTime now) const;
  std::unique_ptr<protocol::MemberHeartbeatT> MakeReport(MonotonicTime now);
  // An answer to a report of this pool; others are passed over.
  // @return true when it was one.
  bool OnReply(const protocol::MemberHeartbeatReplyT& reply, MonotonicTime now);

 private:
  std::string name_;
  std::uint64_t incarnation_;
  quota::RateLeases leases_;
  // Some key's tokens run low.
  bool is_short_ = false;
  // Some router has asked.
  bool is_used_ = false;
  std::uint64_t term_ = 0;
  std::uint64_t last_sequence_ = 0;
  MonotonicTime last_report_ = MonotonicTime::min();
  // When reports were made, by their numbers.
  std::map<std::uint64_t, MonotonicTime> sent_;
};

}  // namespace juniperway::control
