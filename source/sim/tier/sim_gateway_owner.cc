// The owner's side of a simulated gateway; see sim_gateway.h.
#include <algorithm>
#include <memory>
#include <utility>

#include "sim/tier/sim_gateway.h"

namespace juniperway::sim {
namespace {

constexpr Duration kShortestWay = microseconds(200);
constexpr Duration kLongestWay = milliseconds(2);
constexpr Duration kProbeInterval = milliseconds(500);
constexpr Duration kReportInterval = milliseconds(100);

}  // namespace

void SimGateway::OnView(const session::FleetViewPointer& view) {
  front_->SetView(view);
  for (const auto& [name, backend] : view->backends) {
    if (backend.zone != daemon_.zone()) {
      continue;
    }
    const owner::GateSettings settings{backend.slots,
                                       backend.maximum_connections};
    Use& use = uses_[name];
    if (!use.gate) {
      use.gate = std::make_unique<owner::BackendGate>(settings, kProbeInterval,
                                                      surroundings_.random());
    }
    use.drain = backend.drain;
    if (defect_ != TierDefect::kIgnoresDrain) {
      Perform(name, use.gate->SetDraining(owner::DrainSource::kOperator,
                                          backend.drain, daemon_.Now()));
    }
  }
  OnAccess();
}

void SimGateway::OnAccess() {
  for (auto& [name, use] : uses_) {
    owner::GateAccess access = daemon_.AccessTo(name);
    if (access == owner::GateAccess::kAwaitingRelease &&
        defect_ == TierDefect::kOpensWhileWaiting) {
      access = owner::GateAccess::kOpen;
    }
    Perform(name, use.gate->SetAccess(access, daemon_.Now()));
  }
}

void SimGateway::OnLeaseLost() {
  for (auto& [name, use] : uses_) {
    ++use.generation;
    Perform(name, use.gate->CloseAllConnections(daemon_.Now()));
    backends_.at(name)->CloseAll(&daemon_);
  }
}

bool SimGateway::IsIdle(const std::string& backend) const {
  const auto use = uses_.find(backend);
  return use == uses_.end() ||
         (use->second.gate->idle() && use->second.running.empty());
}

void SimGateway::OnOrder(const std::string& backend, Order order,
                         Duration remaining) {
  const auto found = uses_.find(backend);
  if (found == uses_.end()) {
    Reply(order, backend, protocol::SubqueryOutcome::kNotOwner, {});
    return;
  }
  OnAccess();
  const owner::SubqueryId id = ++last_subquery_;
  found->second.open.emplace(id, std::move(order));
  Perform(backend, found->second.gate->Submit(id, daemon_.Now() + remaining,
                                              daemon_.Now()));
}

void SimGateway::OnCancel(const Query* query, routing::AttemptId attempt) {
  for (auto& [name, use] : uses_) {
    const auto order =
        std::ranges::find_if(use.open, [query, attempt](const auto& item) {
          return item.second.query.get() == query &&
                 item.second.attempt == attempt;
        });
    if (order != use.open.end()) {
      Perform(name, use.gate->Cancel(order->first, daemon_.Now()));
      return;
    }
  }
}

void SimGateway::Perform(const std::string& backend,
                         const owner::GateActions& actions) {
  Use& use = uses_.at(backend);
  for (const owner::GateAction& action : actions) {
    switch (action.kind) {
      case owner::GateActionKind::kStart:
        StartSearch(backend, action.id);
        break;
      case owner::GateActionKind::kFinish: {
        const auto order = use.open.find(action.id);
        if (order != use.open.end()) {
          Reply(order->second, backend, action.outcome, {});
          use.open.erase(order);
        }
        break;
      }
      case owner::GateActionKind::kSendCancel:
        SendCancel(backend, action.id);
        break;
      case owner::GateActionKind::kCloseConnection:
        backends_.at(backend)->Close(&daemon_, action.id);
        use.running.erase(action.id);
        break;
      case owner::GateActionKind::kProbe:
        SendProbe(backend);
        break;
    }
  }
  ArmGate(backend);
}

void SimGateway::StartSearch(const std::string& backend, owner::SubqueryId id) {
  Use& use = uses_.at(backend);
  const Order& order = use.open.at(id);
  use.running.insert(id);
  daemon_.NoteUse(backend);
  checker_.ObserveStart(backend, use.drain);
  BackendSearch search{&daemon_, id, order.query->request, order.version,
                       order.range};
  if (defect_ == TierDefect::kMixesSnapshots && search.version > 1 &&
      surroundings_.Chance(0.1)) {
    --search.version;
  }
  backends_.at(backend)->Search(
      search, [this, backend, id](const owner::BackendReply& reply) {
        OnSearchDone(backend, id, reply);
      });
}

void SimGateway::OnSearchDone(const std::string& backend, owner::SubqueryId id,
                              const owner::BackendReply& reply) {
  Use& use = uses_.at(backend);
  if (use.running.erase(id) == 0) {
    return;  // Its connection was closed.
  }
  const auto order = use.open.find(id);
  if (order != use.open.end()) {
    Reply(order->second, backend, reply.outcome, reply.rows);
    use.open.erase(order);
  }
  Perform(backend, use.gate->OnReply(id, reply, daemon_.Now()));
  daemon_.LetGoOfIdle();
}

void SimGateway::SendCancel(const std::string& backend, owner::SubqueryId id) {
  const std::uint64_t generation = uses_.at(backend).generation;
  daemon_.RunAfter(surroundings_.Between(kShortestWay, kLongestWay),
                   [this, backend, id, generation] {
                     Use& use = uses_.at(backend);
                     if (generation != use.generation) {
                       return;
                     }
                     backends_.at(backend)->Cancel(&daemon_, id);
                     Perform(backend, use.gate->OnCancelDone(daemon_.Now()));
                     daemon_.LetGoOfIdle();
                   });
}

void SimGateway::SendProbe(const std::string& backend) {
  const std::uint64_t generation = uses_.at(backend).generation;
  daemon_.RunAfter(surroundings_.Between(kShortestWay, kLongestWay),
                   [this, backend, generation] {
                     Use& use = uses_.at(backend);
                     if (generation == use.generation) {
                       Perform(backend, use.gate->OnProbeDone(
                                            owner::BackendGate::ProbeResult(),
                                            daemon_.Now()));
                       daemon_.LetGoOfIdle();
                     }
                   });
}

void SimGateway::ArmGate(const std::string& backend) {
  const MonotonicTime now = daemon_.Now();
  const auto next = uses_.at(backend).gate->NextTimer(now);
  if (!next) {
    return;
  }
  const Duration delay =
      std::max(Duration(*next - now), Duration(microseconds(1)));
  daemon_.RunAfter(delay, [this, backend] {
    owner::BackendGate& gate = *uses_.at(backend).gate;
    const auto due = gate.NextTimer(daemon_.Now());
    if (due && *due <= daemon_.Now()) {
      Perform(backend, gate.OnTimer(daemon_.Now()));
      daemon_.LetGoOfIdle();
    }
  });
}

void SimGateway::Reply(const Order& order, const std::string& backend,
                       protocol::SubqueryOutcome outcome,
                       const std::vector<owner::SearchRow>& rows) {
  routing::OwnerResult reply;
  reply.attempt_id = order.attempt;
  reply.outcome = outcome;
  const auto storage = std::make_shared<std::vector<owner::SearchRow>>(rows);
  for (const owner::SearchRow& row : *storage) {
    reply.block.rows.push_back({row.key, row.value});
  }
  reply.block.storage = storage;
  const auto use = uses_.find(backend);
  if (use != uses_.end()) {
    reply.load = use->second.gate->running();
    reply.slots = use->second.gate->UsableSlots(daemon_.Now());
  }
  SimGateway* front = order.front;
  surroundings_.timeline.After(
      surroundings_.Between(kShortestWay, kLongestWay),
      [front, start = order.front_start, query = order.query,
       owner = daemon_.id(), reply = std::move(reply)] {
        if (front->daemon_.incarnation() == start) {
          front->daemon_.Deliver([front, query, owner, reply] {
            front->OnReply(query, owner, reply);
          });
        }
      });
}

// What the owned back ends hold, as their health shows it.
void SimGateway::ReportHeld() {
  for (auto& [name, use] : uses_) {
    const auto& held = backends_.at(name)->held();
    if (use.gate->access() == owner::GateAccess::kOpen &&
        use.reported != held) {
      use.reported = held;
      daemon_.ReportBackend(name, {held, false});
    }
  }
  daemon_.RunAfter(kReportInterval, [this] { ReportHeld(); });
}

}  // namespace juniperway::sim
