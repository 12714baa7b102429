#include "property/owner/owner_history.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace juniperway::owner::testing {
namespace {

using protocol::SubqueryOutcome;

bool SaysNotRun(SubqueryOutcome outcome) {
  switch (outcome) {
    case SubqueryOutcome::kNotOwner:
    case SubqueryOutcome::kDraining:
    case SubqueryOutcome::kShed:
    case SubqueryOutcome::kWrongSnapshot:
    case SubqueryOutcome::kExpiredUnstarted:
    case SubqueryOutcome::kUnreachable:
      return true;
    case SubqueryOutcome::kRows:
    case SubqueryOutcome::kExpiredStarted:
    case SubqueryOutcome::kLost:
      return false;
  }
  return false;
}

class Checker {
 public:
  explicit Checker(const std::map<std::string, BackendLimits>& limits)
      : limits_(limits) {}

  void Take(const Event& event) {
    switch (event.kind) {
      case EventKind::kSubmit:
        subqueries_[event.id] = {.deadline = event.deadline};
        waiting_[{event.owner, event.backend}].insert(
            {event.deadline, event.id});
        return;
      case EventKind::kStart:
        OnStart(event);
        return;
      case EventKind::kEnd:
        --backends_[event.backend].running;
        --backends_[event.backend].connections;
        return;
      case EventKind::kResult:
        OnResult(event);
        return;
      case EventKind::kCallBegin:
        ++backends_[event.backend].connections;
        CheckConnections(event);
        return;
      case EventKind::kCallEnd:
        --backends_[event.backend].connections;
        return;
      case EventKind::kDrainKnown:
        draining_.insert({event.owner, event.backend});
        return;
      case EventKind::kDrainEnded:
        draining_.erase({event.owner, event.backend});
        return;
    }
  }

  HistoryReport Finish() {
    for (const auto& [id, subquery] : subqueries_) {
      if (subquery.results == 0) {
        Violation("subquery {} has no result", id);
      }
    }
    return std::move(report_);
  }

 private:
  using QueueKey = std::pair<std::string, std::string>;  // owner, backend

  struct Subquery {
    MonotonicTime deadline;
    bool started = false;
    int results = 0;
  };
  struct BackendState {
    std::uint32_t running = 0;
    std::uint32_t connections = 0;
    std::string last_owner;
  };

  template <typename... Arguments>
  void Violation(fmt::format_string<Arguments...> text,
                 Arguments&&... arguments) {
    report_.violations.push_back(
        fmt::format(text, std::forward<Arguments>(arguments)...));
  }

  void OnStart(const Event& event) {
    ++report_.starts;
    Subquery& subquery = subqueries_[event.id];
    subquery.started = true;
    BackendState& backend = backends_[event.backend];
    ++backend.running;
    ++backend.connections;
    const BackendLimits& limit = limits_.at(event.backend);
    if (backend.running > limit.slots) {
      Violation("{}: {} running of {} slots at {}", event.backend,
                backend.running, limit.slots,
                event.at.time_since_epoch().count());
    }
    if (backend.running == limit.slots) {
      ++report_.starts_with_all_slots_taken;
    }
    if (!backend.last_owner.empty() && backend.last_owner != event.owner) {
      ++report_.starts_after_owner_change;
    }
    backend.last_owner = event.owner;
    CheckConnections(event);
    if (draining_.contains({event.owner, event.backend})) {
      Violation("subquery {} started on draining {}", event.id, event.backend);
    }
    if (event.at >= subquery.deadline) {
      Violation("subquery {} started after its deadline", event.id);
    }
    RemoveFromQueue(event, subquery);
    CheckOrder(event, subquery);
  }

  // Records the queued subqueries with less remaining time than the started
  // one. The gate may refuse these subqueries at the same time, so
  // CheckPassedOver decides when they leave the queue: they must neither start
  // nor stay queued any longer.
  void CheckOrder(const Event& event, const Subquery& subquery) {
    for (const auto& [deadline, id] : waiting_[{event.owner, event.backend}]) {
      if (deadline >= subquery.deadline) {
        break;
      }
      passed_over_[id] = event.at;
    }
  }

  void CheckPassedOver(const Event& event) {
    const auto passed = passed_over_.find(event.id);
    if (passed == passed_over_.end()) {
      return;
    }
    if (event.kind == EventKind::kStart || event.at > passed->second) {
      Violation("subquery {} was passed over by a longer one", event.id);
    }
    passed_over_.erase(passed);
  }

  void OnResult(const Event& event) {
    ++report_.results;
    ++report_.outcomes[event.outcome];
    Subquery& subquery = subqueries_[event.id];
    if (++subquery.results > 1) {
      Violation("subquery {} has a second result", event.id);
    }
    if (subquery.started && SaysNotRun(event.outcome) &&
        event.outcome != SubqueryOutcome::kShed &&
        event.outcome != SubqueryOutcome::kDraining) {
      Violation("subquery {} was started but its result says not run",
                event.id);
    }
    RemoveFromQueue(event, subquery);
  }

  void RemoveFromQueue(const Event& event, const Subquery& subquery) {
    waiting_[{event.owner, event.backend}].erase({subquery.deadline, event.id});
    CheckPassedOver(event);
  }

  void CheckConnections(const Event& event) {
    const std::uint32_t open = backends_[event.backend].connections;
    if (open > limits_.at(event.backend).connections) {
      Violation("{}: {} connections at {}", event.backend, open,
                event.at.time_since_epoch().count());
    }
  }

  const std::map<std::string, BackendLimits>& limits_;
  HistoryReport report_;
  std::map<std::uint64_t, Subquery> subqueries_;
  std::map<std::string, BackendState> backends_;
  std::set<QueueKey> draining_;
  std::map<QueueKey, std::set<std::pair<MonotonicTime, std::uint64_t>>>
      waiting_;
  std::map<std::uint64_t, MonotonicTime> passed_over_;
};

}  // namespace

HistoryReport CheckHistory(const History& history,
                           const std::map<std::string, BackendLimits>& limits) {
  Checker checker(limits);
  for (const Event& event : history) {
    checker.Take(event);
  }
  return checker.Finish();
}

}  // namespace juniperway::owner::testing
