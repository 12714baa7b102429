// Handles the calls of the resource API on the leader: reads the committed
// state, submits changes as operations and reports the progress of changes.
// Calls come from this control node's HTTP server or from another control node
// that forwards them.
#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "common/control/api_call.h"
#include "common/control/command_pipeline.h"
#include "common/control/control_state.h"
#include "common/control/lease_table.h"
#include "common/raft/fsm.h"
#include "common/rollout/rollout_judge.h"

namespace juniperway::control {

// Owned by ControlNode.
class ResourceApi {
 public:
  struct Ports {
    // Returns the state that was committed on this node.
    std::function<const ControlState&()> state;
    std::function<const LeaseTable&()> leases;
    std::function<const rollout::RolloutJudge&()> rollouts;
    // Bounds the requests that the fleet may send to bad canaries.
    rollout::ExposureLimit exposure;
    std::function<raft::Status()> raft_status;
    // Returns whether this node is the leader and its reads are linearizable.
    std::function<bool()> is_leading;
    // Replicates operations and passes their results to the callback.
    std::function<void(Operations, CommandPipeline::Callback)> submit;
    // Start a change of the consensus group's membership.
    std::function<Result<void>(const raft::Member&)> add_member;
    std::function<Result<void>(raft::NodeId)> remove_member;
  };

  explicit ResourceApi(Ports ports) : ports_(std::move(ports)) {}

  // Answers any call. The answer has status 503 unless this node is the leader.
  void Handle(const ApiCall& call, const ApiCallback& answer) const;

  // Answers a read from this node's state, which may lag behind the leader's.
  net::HttpResponse ReadLocally(const ApiCall& call) const;

 private:
  net::HttpResponse Read(const ApiCall& call) const;
  net::HttpResponse List(const std::string& kind) const;
  net::HttpResponse Get(const std::string& kind, const std::string& name) const;
  net::HttpResponse GetChange(const std::string& change_id) const;
  net::HttpResponse GetStatus() const;
  void Apply(const ApiCall& call, const ApiCallback& answer) const;
  void Delete(const ApiCall& call, const std::string& kind,
              const std::string& name, const ApiCallback& answer) const;
  net::HttpResponse GetRouteTable() const;
  void PutRouteTable(const ApiCall& call, const ApiCallback& answer) const;
  // @param evacuated true starts the evacuation, false ends it.
  void SetEvacuation(const ApiCall& call, const std::string& zone,
                     bool evacuated, const ApiCallback& answer) const;
  net::HttpResponse ListEvacuations() const;
  net::HttpResponse GetOrders() const;
  net::HttpResponse ListCrashingRequests() const;
  void StartRollout(const ApiCall& call, const ApiCallback& answer) const;
  void RemoveRollout(const ApiCall& call, const std::string& service,
                     const ApiCallback& answer) const;
  net::HttpResponse ListRollouts() const;
  net::HttpResponse GetRollout(const std::string& service) const;
  nlohmann::json DescribeRollout(const std::string& service,
                                 const rollout::Rollout& rollout) const;
  // Whether a discovered backend or the route table names the service.
  bool IsForwardedService(const std::string& service) const;
  // Deletes the crash record of a request, so that routers may send the request
  // again.
  void ReleaseRequest(const ApiCall& call, const std::string& fingerprint,
                      const ApiCallback& answer) const;
  // Counts the discovered backends of a zone. An operator who sees 0 can tell
  // that the zone's name is wrong.
  std::size_t CountBackendsIn(const std::string& zone) const;
  net::HttpResponse AddMember(const ApiCall& call) const;
  net::HttpResponse RemoveMember(const ApiCall& call,
                                 const std::string& id) const;
  // @return kConflict if the members have changed since the log position that
  //   the call is based on.
  Result<void> CheckMembersUnchanged(const ApiCall& call) const;
  void Submit(protocol::OperationItemT operation, const ApiCall& call,
              const ApiCallback& answer) const;
  nlohmann::json Describe(const resources::Resource& resource) const;

  Ports ports_;
};

// Splits a path at its slashes: "/v1/status" becomes "v1" and "status".
std::vector<std::string> SplitPath(const std::string& path);

// Hashes the content of a call, to tell a retry from a different call with the
// same change id.
std::uint64_t DigestOf(const ApiCall& call);

// Sets the field of `error` to "body" if the error names no field because the
// whole body is wrong.
Error WithBodyField(Error error);

// Encodes `body` as the body of an answer.
net::HttpResponse JsonResponse(int status, const nlohmann::json& body);

// Makes the answer to a call that failed without any effect. The answer has the
// HTTP status of the error's code.
net::HttpResponse FailureResponse(const Error& error);

}  // namespace juniperway::control
