// The gateway of a simulated daemon: owner and front. The decisions are the
// product's: owner::BackendGate for each back end of the zone, and
// routing::QueryRun with its FrontState for each query. This file plays their
// shells: connections between gateways, exchanges with back ends, timers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/owner/backend_gate.h"
#include "common/routing/front_state.h"
#include "common/routing/query_run.h"
#include "sim/control/daemon_work.h"
#include "sim/control/sim_daemon.h"
#include "sim/tier/sim_backend.h"
#include "sim/tier/tier_checker.h"

namespace juniperway::sim {

// Mechanisms that can be taken away, to show that the checker finds what
// breaks.
enum class TierDefect {
  kNone,
  kSkipsClaim,         // runs a non-repeatable request without a claim
  kRepeatsAll,         // treats every request as repeatable, claim or not
  kIgnoresDrain,       // an owner does not heed a drain
  kSaysNotRun,         // every refusal says "not run"
  kMixesSnapshots,     // an owner asks for another version than was asked of it
  kOpensWhileWaiting,  // an owner does not wait for the one before
};

class SimGateway : public DaemonWork {
 public:
  using Answer = std::function<void(const routing::QueryOutcome&)>;

  SimGateway(Surroundings& surroundings, SimDaemon& daemon,
             TierChecker& checker,
             std::map<std::string, std::unique_ptr<SimBackend>>& backends,
             TierDefect defect);
  // By daemon id; this one among them.
  void SetPeers(std::map<std::string, SimGateway*> gateways) {
    gateways_ = std::move(gateways);
  }
  SimDaemon& daemon() { return daemon_; }

  // A caller's query. The answer may never come.
  void Submit(const CallerRequest& request, Duration deadline, bool resend,
              Answer answer);

  // --- DaemonWork
  void OnStart() override;
  void OnEnd() override;
  void OnView(const session::FleetViewPointer& view) override;
  void OnAccess() override;
  void OnLeaseLost() override;
  bool IsIdle(const std::string& backend) const override;

 private:
  // --- Front
  struct Query {
    CallerRequest request;
    std::unique_ptr<routing::QueryRun> run;
    Answer answer;
    bool claimed = false;
    std::uint64_t timer = 0;
  };
  using QueryPointer = std::shared_ptr<Query>;

  void Claim(const QueryPointer& query, bool resend, MonotonicTime deadline);
  void StartRun(const QueryPointer& query, MonotonicTime deadline);
  void Refuse(const QueryPointer& query, ExecutionState execution);
  void Apply(const QueryPointer& query, const routing::Actions& actions);
  void SendBatch(const QueryPointer& query, const routing::Batch& batch);
  void SendCancellation(const QueryPointer& query,
                        const routing::Cancellation& cancellation);
  void Finish(const QueryPointer& query, const routing::QueryOutcome& outcome);
  void ArmTimer(const QueryPointer& query);
  // The connection to a peer ended.
  void OnPeerLost(const std::string& peer, routing::OwnerConnectionLoss loss);
  void OnReply(const QueryPointer& query, const std::string& owner,
               routing::OwnerResult reply);

  // --- Owner
  // A subquery of a front, by its attempt there.
  struct Order {
    SimGateway* front = nullptr;
    std::uint64_t front_start = 0;
    QueryPointer query;
    routing::AttemptId attempt = 0;
    resources::IndexVersion version = 0;
    KeyRange range;
  };
  struct Use {
    std::unique_ptr<owner::BackendGate> gate;
    std::map<owner::SubqueryId, Order> open;
    std::set<owner::SubqueryId> running;
    bool drain = false;
    std::set<resources::IndexVersion> reported;
    std::uint64_t generation = 0;
  };

  void OnOrder(const std::string& backend, Order order, Duration remaining);
  void OnCancel(const Query* query, routing::AttemptId attempt);
  void Perform(const std::string& backend, const owner::GateActions& actions);
  void StartSearch(const std::string& backend, owner::SubqueryId id);
  void SendCancel(const std::string& backend, owner::SubqueryId id);
  void SendProbe(const std::string& backend);
  void OnSearchDone(const std::string& backend, owner::SubqueryId id,
                    const owner::BackendReply& reply);
  void Reply(const Order& order, const std::string& backend,
             protocol::SubqueryOutcome outcome,
             const std::vector<owner::SearchRow>& rows);
  void ArmGate(const std::string& backend);
  void ReportHeld();

  Surroundings& surroundings_;
  SimDaemon& daemon_;
  TierChecker& checker_;
  std::map<std::string, std::unique_ptr<SimBackend>>& backends_;
  TierDefect defect_;
  std::map<std::string, SimGateway*> gateways_;

  std::unique_ptr<routing::FrontState> front_;
  std::map<std::uint64_t, QueryPointer> queries_;
  std::uint64_t last_query_ = 0;
  std::map<std::string, Use> uses_;
  owner::SubqueryId last_subquery_ = 0;
};

}  // namespace juniperway::sim
