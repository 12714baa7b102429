// Requests membership in the control group for this node, when the group
// replaces lost members by itself. The node may be new, may have lost its data,
// or may have been replaced while it was partitioned. The client sends POST
// /v1/members to the seeds in turn until the node is a member that knows a
// leader.
#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/control/join_schedule.h"
#include "common/net/http_client.h"
#include "common/raft/types.h"

namespace juniperway::control {

// Owned by ControlNode, which reports the node's membership through Tick().
class JoinClient {
 public:
  // @param self id and address under which this node joins.
  JoinClient(asio::io_context& context, raft::Member self);
  ~JoinClient();
  JoinClient(const JoinClient&) = delete;
  JoinClient& operator=(const JoinClient&) = delete;

  // Replaces the seeds: resource API addresses, "ip:port".
  void SetSeeds(std::vector<std::string> seeds);

  // Sends a request when one is due. The caller calls this several times a
  // second.
  // @param is_member whether this node is in the group's configuration.
  // @param knows_leader whether a leader is known or this node leads.
  void Tick(MonotonicTime now, bool is_member, bool knows_leader);

 private:
  void RequestMembership(MonotonicTime now);

  raft::Member self_;
  net::HttpClient client_;
  std::vector<std::string> seeds_;
  std::size_t next_seed_ = 0;
  JoinSchedule schedule_;
  bool request_in_flight_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace juniperway::control
