// The front's side; the owner's is in sim_gateway_owner.cc.
#include "sim/tier/sim_gateway.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace juniperway::sim {
namespace {

constexpr Duration kShortestWay = microseconds(200);
constexpr Duration kLongestWay = milliseconds(2);
constexpr std::uint32_t kRowLimit = 1000;

ExecutionState ExecutionOf(const routing::QueryOutcome& outcome) {
  return std::visit([](const auto& end) { return end.execution; }, outcome);
}

}  // namespace

SimGateway::SimGateway(
    Surroundings& surroundings, SimDaemon& daemon, TierChecker& checker,
    std::map<std::string, std::unique_ptr<SimBackend>>& backends,
    TierDefect defect)
    : surroundings_(surroundings),
      daemon_(daemon),
      checker_(checker),
      backends_(backends),
      defect_(defect) {}

void SimGateway::OnStart() {
  front_ = std::make_unique<routing::FrontState>(
      Place{daemon_.zone(), "region"}, surroundings_.random());
  queries_.clear();
  uses_.clear();
  ReportHeld();
}

void SimGateway::OnEnd() {
  for (const auto& [name, backend] : backends_) {
    backend->CloseAll(&daemon_);
  }
  queries_.clear();
  uses_.clear();
  for (const auto& [name, gateway] : gateways_) {
    if (gateway == this) {
      continue;
    }
    const Duration way = surroundings_.Between(kShortestWay, kLongestWay);
    surroundings_.timeline.After(way, [this, gateway = gateway] {
      gateway->daemon_.Deliver([this, gateway] {
        gateway->OnPeerLost(daemon_.id(),
                            routing::OwnerConnectionLoss::kMayHaveReceived);
      });
    });
  }
}

// --- Queries -----------------------------------------------------------------

void SimGateway::Submit(const CallerRequest& request, Duration deadline,
                        bool resend, Answer answer) {
  const auto query = std::make_shared<Query>();
  query->request = request;
  query->answer = std::move(answer);
  queries_.emplace(++last_query_, query);
  const MonotonicTime end = daemon_.Now() + deadline;
  const auto& services = front_->routes->view().services;
  if (!daemon_.HasLease() || !services.contains("search")) {
    // A resend may have run at another gateway.
    Refuse(query,
           resend ? ExecutionState::kMayHaveRun : ExecutionState::kNotRun);
  } else if (request.repeatable || defect_ == TierDefect::kSkipsClaim) {
    StartRun(query, end);
  } else {
    Claim(query, resend, end);
  }
}

// As gateway::QueryExecutor does it.
void SimGateway::Claim(const QueryPointer& query, bool resend,
                       MonotonicTime deadline) {
  const auto on_reply = [this, query, resend, deadline](
                            const Result<protocol::OperationResultT>& reply) {
    if (!reply || !reply->claim) {
      Refuse(query,
             resend ? ExecutionState::kMayHaveRun : ExecutionState::kNotRun);
      return;
    }
    const protocol::ClaimResultT& claim = *reply->claim;
    if (claim.decision != protocol::ClaimDecisionCode::kGranted) {
      Refuse(query, claim.has_outcome
                        ? static_cast<ExecutionState>(claim.outcome)
                        : ExecutionState::kMayHaveRun);
      return;
    }
    query->claimed = true;
    if (daemon_.Now() >= deadline) {
      Refuse(query, ExecutionState::kNotRun);
    } else {
      StartRun(query, deadline);
    }
  };
  daemon_.Claim(query->request.id, on_reply);
}

void SimGateway::StartRun(const QueryPointer& query, MonotonicTime deadline) {
  routing::QueryRequest request;
  request.request_id = query->request.id;
  request.service = "search";
  request.request_class = "search";
  request.text = "q";
  request.range = query->request.asked;
  request.row_limit = kRowLimit;
  request.repeatable =
      query->request.repeatable || defect_ == TierDefect::kRepeatsAll;
  request.received = daemon_.Now();
  request.deadline = deadline;
  query->run = std::make_unique<routing::QueryRun>(std::move(request), *front_);
  Apply(query, query->run->Start(daemon_.Now()));
}

void SimGateway::Refuse(const QueryPointer& query, ExecutionState execution) {
  Finish(query, routing::Refusal{Error(), execution, std::nullopt});
}

void SimGateway::Apply(const QueryPointer& query,
                       const routing::Actions& actions) {
  for (const routing::Batch& batch : actions.batches) {
    SendBatch(query, batch);
  }
  for (const routing::Cancellation& cancellation : actions.cancellations) {
    SendCancellation(query, cancellation);
  }
  if (actions.outcome) {
    Finish(query, *actions.outcome);
  } else {
    ArmTimer(query);
  }
}

void SimGateway::Finish(const QueryPointer& query,
                        const routing::QueryOutcome& outcome) {
  std::erase_if(queries_,
                [&query](const auto& item) { return item.second == query; });
  if (query->claimed) {
    daemon_.RecordOutcome(query->request.id, ExecutionOf(outcome));
  }
  routing::QueryOutcome told = outcome;
  auto* refusal = std::get_if<routing::Refusal>(&told);
  if (refusal != nullptr && defect_ == TierDefect::kSaysNotRun) {
    refusal->execution = ExecutionState::kNotRun;
  }
  query->answer(told);
}

void SimGateway::ArmTimer(const QueryPointer& query) {
  const Duration delay =
      std::max(Duration(query->run->next_timer() - daemon_.Now()),
               Duration(microseconds(1)));
  daemon_.RunAfter(delay, [this, query, timer = ++query->timer] {
    if (timer == query->timer && !query->run->finished()) {
      Apply(query, query->run->OnTimer(daemon_.Now()));
    }
  });
}

// --- Between gateways --------------------------------------------------------

void SimGateway::SendBatch(const QueryPointer& query,
                           const routing::Batch& batch) {
  const std::string owner = front_->owner_names.NameOf(batch.owner);
  const auto peer = gateways_.find(owner);
  const Duration way = surroundings_.Between(kShortestWay, kLongestWay);
  if (peer == gateways_.end() || !peer->second->daemon_.running()) {
    daemon_.RunAfter(way, [this, owner] {
      OnPeerLost(owner, routing::OwnerConnectionLoss::kNothingSent);
    });
    return;
  }
  SimGateway* gateway = peer->second;
  front_->owners.OnConnected(batch.owner);
  const std::uint64_t start = gateway->daemon_.incarnation();
  for (const routing::PlannedSubquery& planned : batch.subqueries) {
    Order order{this,
                daemon_.incarnation(),
                query,
                planned.attempt_id,
                batch.index_version,
                planned.range};
    surroundings_.timeline.After(
        way, [gateway, start, order, backend = std::string(planned.backend),
              remaining = batch.remaining] {
          // A connection does not outlive the process that it was made to.
          if (gateway->daemon_.incarnation() == start) {
            gateway->daemon_.Deliver([gateway, order, backend, remaining] {
              gateway->OnOrder(backend, order, remaining);
            });
          }
        });
  }
}

void SimGateway::SendCancellation(const QueryPointer& query,
                                  const routing::Cancellation& cancellation) {
  const auto peer =
      gateways_.find(front_->owner_names.NameOf(cancellation.owner));
  if (peer == gateways_.end()) {
    return;
  }
  SimGateway* gateway = peer->second;
  for (const routing::AttemptId attempt : cancellation.attempts) {
    surroundings_.timeline.After(
        surroundings_.Between(kShortestWay, kLongestWay),
        [gateway, query, attempt] {
          gateway->daemon_.Deliver([gateway, query, attempt] {
            gateway->OnCancel(query.get(), attempt);
          });
        });
  }
}

void SimGateway::OnPeerLost(const std::string& peer,
                            routing::OwnerConnectionLoss loss) {
  const routing::OwnerId owner = front_->owner_names.IdOf(peer);
  front_->owners.OnLost(owner, daemon_.Now());
  for (const auto& [number, query] :
       std::map<std::uint64_t, QueryPointer>(queries_)) {
    if (query->run && !query->run->finished()) {
      Apply(query, query->run->OnOwnerLost(owner, loss, daemon_.Now()));
    }
  }
}

void SimGateway::OnReply(const QueryPointer& query, const std::string& owner,
                         routing::OwnerResult reply) {
  if (query->run->finished()) {
    return;
  }
  std::vector<routing::OwnerResult> replies;
  replies.push_back(std::move(reply));
  Apply(query,
        query->run->OnSubqueryResults(front_->owner_names.IdOf(owner),
                                      std::move(replies), daemon_.Now()));
}

}  // namespace juniperway::sim
