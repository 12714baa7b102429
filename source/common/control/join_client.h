// Asks the group to take this control machine in, where the group looks after
// itself: a machine that is new, lost its data, or was replaced while it was
// cut off. It goes through the resource API of the machines it was told of,
// one after the other, until it is a member that hears a leader.
#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/net/http_client.h"
#include "common/raft/types.h"

namespace juniperway::control {

class JoinClient {
 public:
  // @param self as the others should know it.
  JoinClient(asio::io_context& context, raft::Member self);
  ~JoinClient();
  JoinClient(const JoinClient&) = delete;
  JoinClient& operator=(const JoinClient&) = delete;

  // Resource API addresses, "ip:port"; replaces the earlier ones.
  void SetSeeds(std::vector<std::string> seeds);

  // To be called a few times a second.
  // @param is_member this node is in the group's configuration.
  // @param hears_leader a leader is known (or is this node).
  void Tick(MonotonicTime now, bool is_member, bool knows_leader);

 private:
  void RequestMembership(MonotonicTime now);

  raft::Member self_;
  net::HttpClient client_;
  std::vector<std::string> seeds_;
  std::size_t next_seed_ = 0;
  // Since when it is a member and hears a leader no more.
  MonotonicTime last_leader_seen_;
  MonotonicTime next_request_ = MonotonicTime::min();
  bool request_in_flight_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace juniperway::control
