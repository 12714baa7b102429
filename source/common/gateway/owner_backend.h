// One back end this daemon owns: carries out what its gate decides over HTTP,
// and keeps what is known of its health.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/gateway/backend_client.h"
#include "common/gateway/front_link.h"
#include "common/gateway/owner_backend_status.h"
#include "common/gateway/owner_metrics.h"
#include "common/owner/backend_gate.h"
#include "common/owner/backend_health.h"
#include "common/resources/resource.h"
#include "common/session/fleet_view.h"

namespace juniperway::gateway {

struct OwnerBackendOptions {
  std::string name;
  // Attempt ids are this, then the subquery's id.
  std::string attempt_prefix;
  Duration hop_margin{0};
  Duration probe_interval{0};
  std::uint64_t seed = 0;
};

class OwnerBackend {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    // An answer came, which may start the next search: the lease is to be
    // checked first. May call CutOff.
    virtual void CheckLease(MonotonicTime now) = 0;
    // The one result of a subquery (attempt id not yet filled in).
    virtual void OnResult(owner::SubqueryId id, SubqueryAnswer answer) = 0;
    // What it holds or whether it drains changed.
    virtual void OnReport(const std::string& backend,
                          const session::BackendReport& report) = 0;
    // Its breaker opened: the right of the others to open theirs changes before
    // anything else happens. May call SetMayEject of any other.
    virtual void OnBreakerOpened() = 0;
    // Access is not open and nothing is left at the back end, connections
    // included. The object may be destroyed, but not inside this call.
    virtual void OnLetGo(const std::string& backend) = 0;
  };

  OwnerBackend(asio::io_context& context, OwnerBackendOptions options,
               const session::FleetView& view, OwnerMetrics& metrics,
               Listener& listener);

  // Takes what the view says of the back end and its service.
  void OnView(const session::FleetView& view, MonotonicTime now);

  void SetAccess(owner::GateAccess access, MonotonicTime now);

  // See CircuitBreaker::SetMayOpen.
  void SetMayEject(bool may_eject, MonotonicTime now);

  // @param deadline when the result is of no more use here.
  void Submit(owner::SubqueryId id, SubqueryOrder order, MonotonicTime deadline,
              MonotonicTime now);
  void Cancel(owner::SubqueryId id, MonotonicTime now);
  void Stop(MonotonicTime now);

  // Closes every connection at once (end of the lease).
  void CutOff(MonotonicTime now);

  // Subqueries without a result yet.
  std::size_t open_subqueries() const { return open_.size(); }
  const owner::BackendGate& gate() const { return gate_; }

 private:
  struct Open {
    SubqueryOrder order;
    MonotonicTime deadline;
    std::optional<MonotonicTime> started;
  };

  // Returns the report on this backend that the control group stores.
  std::optional<session::BackendReport> StoredReport(
      const session::FleetView& view) const;
  owner::GateSettings SettingsFrom(const session::FleetView& view);
  void ReplaceClient();
  std::string AttemptId(owner::SubqueryId id) const;
  owner::ClassIndex ClassOf(const QueryContext& query) const;
  void Perform(const owner::GateActions& actions, MonotonicTime now);
  void PerformOne(const owner::GateAction& action, MonotonicTime now);
  void StartSearch(owner::SubqueryId id, MonotonicTime now);
  void OnSearchDone(owner::SubqueryId id,
                    const owner::SearchExpectation& expected,
                    const net::HttpClientResponse& response);
  void NoteFaults(const owner::BackendReply& reply);
  void SendCancel(owner::SubqueryId id);
  void SendProbe();
  void OnProbeDone(const net::HttpClientResponse& response);
  void Answer(owner::SubqueryId id, SubqueryAnswer answer);
  void AfterChange(MonotonicTime now);
  void ArmTimer(MonotonicTime now);
  void StartTimer(MonotonicTime due, MonotonicTime now);
  // After the process stood still, answers may lie unread in its sockets:
  // nothing counts as unanswered before they have had their turn.
  void OnTimer(MonotonicTime due);

  asio::io_context& context_;
  OwnerBackendOptions options_;
  OwnerMetrics& metrics_;
  Listener& listener_;
  OwnerBackendStatus status_;
  resources::Backend resource_;
  // Of the back end's service, in its order.
  std::vector<std::string> request_classes_;
  owner::RequiredShards required_shards_;
  owner::BackendGate gate_;
  owner::HeldVersions held_;
  std::unordered_map<owner::SubqueryId, Open> open_;
  // Not before the server has weighed it against the other replicas.
  bool may_eject_ = false;
  // OnLetGo was called since access was last open.
  bool let_go_ = true;
  // The connection limit changed: take a new client when this one is idle.
  bool client_outdated_ = false;
  // Callbacks of replaced clients are told by it.
  std::uint64_t client_generation_ = 0;
  std::unique_ptr<BackendClient> client_;
  asio::steady_timer timer_;
  std::optional<MonotonicTime> armed_for_;
  // The timer fired late, and what arrived meanwhile is being read.
  bool catching_up_ = false;
  // Outlived by timer handlers that were already queued.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace juniperway::gateway
