#include "common/gateway/query_executor.h"

#include <asio/steady_timer.hpp>
#include <utility>
#include <variant>
#include <vector>

#include "common/gateway/answer_json.h"
#include "common/gateway/events.h"

namespace juniperway::gateway {
namespace {

// When to come back after a claim whose outcome is not known.
constexpr Duration kClaimRetryAfter = seconds(1);

ExecutionState ExecutionOf(const routing::QueryOutcome& outcome) {
  return std::visit([](const auto& kind) { return kind.execution; }, outcome);
}

}  // namespace

struct QueryExecutor::ActiveQuery {
  ActiveQuery(asio::io_context& context, Submission submission_,
              std::shared_ptr<net::HttpResponder> responder_)
      : submission(std::move(submission_)),
        responder(std::move(responder_)),
        timer(context) {}

  MonotonicTime deadline() const {
    return submission.received + submission.query.deadline;
  }
  session::ClaimKey claim_key() const {
    return {submission.service, submission.request_id};
  }

  QueryId id = 0;
  Submission submission;
  std::shared_ptr<net::HttpResponder> responder;
  asio::steady_timer timer;
  MonotonicTime armed_for = MonotonicTime::max();
  // Null while a claim is under way.
  std::unique_ptr<routing::QueryRun> run;
  bool claim_granted = false;
  bool finished = false;
};

QueryExecutor::QueryExecutor(asio::io_context& context,
                             const FrontOptions& options,
                             session::ControlSession& session,
                             FrontMetrics& metrics)
    : context_(context),
      session_(session),
      metrics_(metrics),
      state_({options.zone, options.region}, options.random_seed,
             options.replica_policy),
      peers_(
          context, options.peer_connect_timeout, options.random_seed + 1,
          {[this](routing::OwnerId owner, net::FrameBytes frame) {
             return OnFrame(owner, frame);
           },
           [this](routing::OwnerId owner, routing::OwnerConnectionLoss loss) {
             OnOwnerLost(owner, loss);
           },
           [this](routing::OwnerId owner) {
             state_.owners.OnConnected(owner);
           }}) {
  OnView(session.View());
}

QueryExecutor::~QueryExecutor() = default;

void QueryExecutor::SetIdleListener(std::function<void()> listener) {
  idle_listener_ = std::move(listener);
}

void QueryExecutor::UpdateMetrics() {
  metrics_.Update(state_.counters, running(), peers_.connected(),
                  peers_.sent_bytes(), peers_.received_bytes());
}

bool QueryExecutor::HasRoom(const std::string& service) const {
  const auto state = state_.services.find(service);
  return state == state_.services.end() ||
         state->second.admission.CanStartQuery();
}

void QueryExecutor::OnView(const session::FleetViewPointer& view) {
  if (view == state_.routes->view_pointer()) {
    return;
  }
  state_.SetView(view);
  UpdatePeers();
}

void QueryExecutor::UpdatePeers() {
  const session::FleetView& view = state_.routes->view();
  for (const auto& [daemon_id, member] : view.members) {
    if (member.gateway) {
      peers_.SetPeer(state_.owner_names.IdOf(daemon_id), daemon_id,
                     member.peer_address, member.incarnation);
    }
  }
  peers_.RetainPeers([this](routing::OwnerId owner) {
    const session::Member* member = state_.routes->Owner(owner);
    return member != nullptr && member->gateway;
  });
}

void QueryExecutor::Execute(Submission submission,
                            std::shared_ptr<net::HttpResponder> responder) {
  const auto query = std::make_shared<ActiveQuery>(
      context_, std::move(submission), std::move(responder));
  query->id = next_query_id_++;
  queries_.emplace(query->id, query);
  state_.services[query->submission.service].admission.OnQueryStarted();
  const std::weak_ptr<ActiveQuery> weak = query;
  query->responder->OnClientGone([this, weak] {
    if (const QueryPointer gone = weak.lock()) {
      OnClientGone(gone);
    }
  });
  if (query->submission.query.repeatable) {
    StartRun(query);
  } else {
    StartClaim(query);
  }
}

void QueryExecutor::StartClaim(const QueryPointer& query) {
  const std::weak_ptr<int> alive = alive_;
  const Duration remaining = query->deadline() - ReadMonotonicClock();
  session_.Claim(
      query->claim_key(), query->submission.query.expiry, remaining,
      [this, alive, query](const Result<session::ClaimReply>& reply) {
        if (!alive.expired()) {
          OnClaimReply(query, reply);
        }
      });
}

void QueryExecutor::OnClaimReply(const QueryPointer& query,
                                 const Result<session::ClaimReply>& reply) {
  if (!reply.has_value()) {
    logging::LogEvent(kClaimUnknown, {{"service", query->submission.service},
                                      {"request", query->submission.request_id},
                                      {"error", reply.error().message}});
    const Error error{reply.error().code, "",
                      "no claim on the request id could be confirmed; this "
                      "submission was not run, and a resend of the id may be "
                      "refused"};
    Refuse(query, error,
           query->submission.resend ? ExecutionState::kMayHaveRun
                                    : ExecutionState::kNotRun,
           kClaimRetryAfter);
    return;
  }
  switch (reply->decision) {
    case session::ClaimDecision::kGranted:
      query->claim_granted = true;
      OnGranted(query);
      return;
    case session::ClaimDecision::kAlreadyClaimed:
      Refuse(query,
             {ErrorCode::kConflict, "X-Request-Id",
              "an earlier submission claimed this id; execution is what was "
              "recorded of it"},
             reply->recorded_outcome.value_or(ExecutionState::kMayHaveRun),
             std::nullopt);
      return;
    case session::ClaimDecision::kExpired:
      Refuse(query,
             {ErrorCode::kConflict, "X-Request-Expiry",
              "has passed: an earlier request of this id may have run"},
             ExecutionState::kMayHaveRun, std::nullopt);
      return;
  }
}

void QueryExecutor::OnGranted(const QueryPointer& query) {
  if (query->finished) {
    // The caller went away in the meantime: nothing was sent.
    session_.RecordOutcome(query->claim_key(), ExecutionState::kNotRun);
    return;
  }
  if (ReadMonotonicClock() >= query->deadline()) {
    Refuse(query,
           {ErrorCode::kDeadlineExceeded, "",
            "the deadline passed while the request id was claimed"},
           ExecutionState::kNotRun, std::nullopt);
    return;
  }
  StartRun(query);
}

void QueryExecutor::Refuse(const QueryPointer& query, Error error,
                           ExecutionState execution,
                           std::optional<Duration> retry_after) {
  if (!query->finished) {
    Finish(query, routing::Refusal{std::move(error), execution, retry_after});
  }
}

void QueryExecutor::StartRun(const QueryPointer& query) {
  const MonotonicTime now = ReadMonotonicClock();
  const Submission& submission = query->submission;
  if (state_.routes->FindService(submission.service) == nullptr) {
    Refuse(query, {ErrorCode::kNotFound, "service", "was deleted a moment ago"},
           ExecutionState::kNotRun, std::nullopt);
    return;
  }
  routing::QueryRequest request;
  request.request_id = submission.request_id;
  request.service = submission.service;
  request.text = submission.query.text;
  request.range = submission.query.range;
  request.row_limit = submission.query.row_limit;
  request.request_class = submission.query.request_class;
  request.repeatable = submission.query.repeatable;
  request.received = submission.received;
  request.deadline = query->deadline();
  query->run = std::make_unique<routing::QueryRun>(std::move(request), state_);
  Apply(query, query->run->Start(now));
}

void QueryExecutor::Apply(const QueryPointer& query, routing::Actions actions) {
  std::vector<const routing::Batch*> unsent;
  for (const routing::Batch& batch : actions.batches) {
    const bool sent = peers_.Send(
        batch.owner, EncodeBatch(query->id, query->run->request(), batch));
    if (!sent) {
      unsent.push_back(&batch);
    }
  }
  for (const routing::Cancellation& cancellation : actions.cancellations) {
    peers_.Send(cancellation.owner,
                EncodeCancel(query->id, cancellation.attempts));
  }
  if (actions.outcome.has_value()) {
    Finish(query, *actions.outcome);
    return;
  }
  for (const routing::Batch* batch : unsent) {
    if (query->finished) {
      return;
    }
    Apply(query, query->run->OnBatchUnsent(*batch, ReadMonotonicClock()));
  }
  Arm(query);
}

void QueryExecutor::Arm(const QueryPointer& query) {
  const MonotonicTime wanted = query->run->next_timer();
  if (query->finished || wanted >= query->armed_for) {
    // A timer that fires early does no harm.
    return;
  }
  query->armed_for = wanted;
  query->timer.expires_after(wanted - ReadMonotonicClock());
  query->timer.async_wait([this, query](const std::error_code& error) {
    if (error || query->finished) {
      return;
    }
    query->armed_for = MonotonicTime::max();
    Apply(query, query->run->OnTimer(ReadMonotonicClock()));
  });
}

void QueryExecutor::Finish(const QueryPointer& query,
                           const routing::QueryOutcome& outcome) {
  query->finished = true;
  query->timer.cancel();
  queries_.erase(query->id);
  const Submission& submission = query->submission;
  const MonotonicTime now = ReadMonotonicClock();
  state_.services[submission.service].admission.OnQueryEnded(
      query->run == nullptr ? routing::AdmissionLimit::LoadEvidence::kOther
                            : query->run->LoadEvidenceOf(outcome),
      submission.received, now);
  if (query->claim_granted) {
    session_.RecordOutcome(query->claim_key(), ExecutionOf(outcome));
  }
  if (const auto* answer = std::get_if<routing::Answer>(&outcome)) {
    query->responder->Send(
        AnswerResponse(submission.request_id, submission.service, *answer,
                       {query->run->revision(), submission.confirmed}));
  } else if (const auto* refusal = std::get_if<routing::Refusal>(&outcome)) {
    query->responder->Send(RefusalResponse(submission.request_id, *refusal));
  }
  metrics_.OnOutcome(submission.service, outcome, now - submission.received);
  if (queries_.empty() && idle_listener_) {
    idle_listener_();
  }
}

void QueryExecutor::OnClientGone(const QueryPointer& query) {
  if (query->finished) {
    return;
  }
  if (query->run == nullptr) {
    Finish(query, routing::Abandoned{ExecutionState::kNotRun});
    return;
  }
  Apply(query, query->run->OnClientGone(ReadMonotonicClock()));
}

bool QueryExecutor::OnFrame(routing::OwnerId owner, net::FrameBytes frame) {
  std::optional<BatchReply> reply = DecodeBatchResult(frame);
  if (!reply.has_value()) {
    logging::LogEvent(
        kPeerMalformedFrame,
        {{"peer", state_.owner_names.NameOf(owner)}, {"bytes", frame.size()}});
    return false;
  }
  const auto found = queries_.find(reply->query_id);
  if (found == queries_.end() || found->second->run == nullptr) {
    auto& counters = state_.counters;
    const bool known = reply->query_id < next_query_id_;
    (known ? counters.late_results : counters.foreign_results) +=
        reply->replies.size();
    return true;
  }
  const QueryPointer query = found->second;
  Apply(query, query->run->OnSubqueryResults(owner, std::move(reply->replies),
                                             ReadMonotonicClock()));
  return true;
}

void QueryExecutor::OnOwnerLost(routing::OwnerId owner,
                                routing::OwnerConnectionLoss loss) {
  const MonotonicTime now = ReadMonotonicClock();
  state_.owners.OnLost(owner, now);
  std::vector<QueryPointer> affected;
  affected.reserve(queries_.size());
  for (const auto& [id, query] : queries_) {
    affected.push_back(query);
  }
  for (const QueryPointer& query : affected) {
    if (!query->finished && query->run != nullptr) {
      Apply(query, query->run->OnOwnerLost(owner, loss, now));
    }
  }
}

}  // namespace juniperway::gateway
