// Runs admitted queries: claims those that must not be repeated, drives each
// QueryRun with results, losses and time, and answers the caller.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "common/base/time.h"
#include "common/gateway/front_metrics.h"
#include "common/gateway/front_server.h"
#include "common/gateway/peer_pool.h"
#include "common/gateway/query_codec.h"
#include "common/gateway/query_request.h"
#include "common/net/http_server.h"
#include "common/routing/front_state.h"
#include "common/routing/query_run.h"
#include "common/session/control_session.h"

namespace juniperway::gateway {

// One submission of a caller's query that passed the checks at entry.
struct Submission {
  std::string service;
  std::string request_id;
  CallerQuery query;
  // The caller sent it before: an earlier submission may have run.
  bool resend = false;
  // The gateway had its lease: the configuration was the one in force.
  bool confirmed = true;
  MonotonicTime received{};
};

// One thread: every method and callback runs on the io_context's thread.
class QueryExecutor {
 public:
  QueryExecutor(asio::io_context& context, const FrontOptions& options,
                session::ControlSession& session, FrontMetrics& metrics);
  ~QueryExecutor();
  QueryExecutor(const QueryExecutor&) = delete;
  QueryExecutor& operator=(const QueryExecutor&) = delete;

  // Answers through `responder`, now or later, exactly once.
  void Execute(Submission submission,
               std::shared_ptr<net::HttpResponder> responder);

  // Whether the service's back ends can take another query now.
  bool HasRoom(const std::string& service) const;

  void OnView(const session::FleetViewPointer& view);

  std::size_t running() const { return queries_.size(); }
  void CountAdmissionRefusal() { ++state_.counters.admission_refusals; }
  // Runs each time that the last query in flight has been answered.
  void SetIdleListener(std::function<void()> listener);
  // Brings the metrics up to date, before a scrape.
  void UpdateMetrics();

 private:
  struct ActiveQuery;
  using QueryPointer = std::shared_ptr<ActiveQuery>;

  // --- Claims ---
  void StartClaim(const QueryPointer& query);
  void OnClaimReply(const QueryPointer& query,
                    const Result<session::ClaimReply>& reply);
  void OnGranted(const QueryPointer& query);
  void Refuse(const QueryPointer& query, Error error, ExecutionState execution,
              std::optional<Duration> retry_after);

  // --- Running ---
  void StartRun(const QueryPointer& query);
  void Apply(const QueryPointer& query, routing::Actions actions);
  void Arm(const QueryPointer& query);
  void Finish(const QueryPointer& query, const routing::QueryOutcome& outcome);
  void OnClientGone(const QueryPointer& query);

  // --- Owners ---
  bool OnFrame(routing::OwnerId owner, net::FrameBytes frame);
  void OnOwnerLost(routing::OwnerId owner, routing::OwnerConnectionLoss loss);
  void UpdatePeers();

  asio::io_context& context_;
  session::ControlSession& session_;
  FrontMetrics& metrics_;
  routing::FrontState state_;
  PeerPool peers_;
  std::unordered_map<QueryId, QueryPointer> queries_;
  QueryId next_query_id_ = 1;
  std::function<void()> idle_listener_;
  // Claim callbacks that outlive the executor see it expired.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace juniperway::gateway
