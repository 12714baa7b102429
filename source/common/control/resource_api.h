// The leader's side of the resource API: reads the committed state, turns
// changes into operations, and says how far a change has come. Calls arrive
// from the HTTP server of this machine or passed on by another one.
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

class ResourceApi {
 public:
  struct Ports {
    std::function<const ControlState&()> state;
    std::function<const LeaseTable&()> leases;
    std::function<const rollout::RolloutJudge&()> rollouts;
    // What a version that turns out bad in its roll-out may be sent.
    rollout::ExposureLimit exposure;
    std::function<raft::Status()> raft_status;
    // This machine leads and its reads are linearizable now.
    std::function<bool()> is_leading;
    std::function<void(Operations, CommandPipeline::Callback)> submit;
    std::function<Result<void>(const raft::Member&)> add_member;
    std::function<Result<void>(raft::NodeId)> remove_member;
  };

  explicit ResourceApi(Ports ports) : ports_(std::move(ports)) {}

  // Answers a call that only the leader may answer; 503 while it cannot.
  void Handle(const ApiCall& call, const ApiCallback& answer) const;

  // Answers a read from this machine's state, which may lag.
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
  // @param evacuated false: the order is withdrawn.
  void SetEvacuation(const ApiCall& call, const std::string& zone,
                     bool evacuated, const ApiCallback& answer) const;
  net::HttpResponse ListEvacuations() const;
  net::HttpResponse ListCrashingRequests() const;
  void StartRollout(const ApiCall& call, const ApiCallback& answer) const;
  void RemoveRollout(const ApiCall& call, const std::string& service,
                     const ApiCallback& answer) const;
  net::HttpResponse ListRollouts() const;
  net::HttpResponse GetRollout(const std::string& service) const;
  nlohmann::json DescribeRollout(const std::string& service,
                                 const rollout::Rollout& rollout) const;
  // Whether the route table or a discovered back end names it.
  bool IsForwardedService(const std::string& service) const;
  // Forgets what is held against a request; it may be sent again.
  void ReleaseRequest(const ApiCall& call, const std::string& fingerprint,
                      const ApiCallback& answer) const;
  // Discovered back ends of a zone: 0 shows an operator that a name is wrong.
  std::size_t BackendsIn(const std::string& zone) const;
  net::HttpResponse AddMember(const ApiCall& call) const;
  net::HttpResponse RemoveMember(const std::string& id) const;
  void Submit(protocol::OperationItemT operation, const ApiCall& call,
              const ApiCallback& answer) const;
  nlohmann::json Describe(const resources::Resource& resource) const;

  Ports ports_;
};

// The parts of a path between slashes: "/v1/status" has two.
std::vector<std::string> SplitPath(const std::string& path);

// Tells a resend from another call that uses the same change id.
std::uint64_t DigestOf(const ApiCall& call);

// A fault of a whole body has no path in it.
Error NameBody(Error error);

net::HttpResponse JsonResponse(int status, const nlohmann::json& body);

// The answer for a failed call, with the HTTP status of its code.
net::HttpResponse FailureResponse(const Error& error);

}  // namespace juniperway::control
