#include "property/routing/query_world.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

#include "common/routing/front_state.h"
#include "common/routing/query_run.h"
#include "property/routing/query_checker.h"
#include "property/routing/world_fleet.h"
#include "property/routing/world_random.h"

namespace juniperway::routing::testing {
namespace {

// Maximum delay of a timer in the simulation.
constexpr Duration kMaximumTimerDelay = microseconds(300);
// Backoff before the front connects to an owner again after a loss.
constexpr Duration kReconnectBackoff = milliseconds(20);

// A query with its record; the World and its events share ownership.
struct WorldQuery {
  QueryRecord record;
  std::unique_ptr<QueryRun> run;
  MonotonicTime armed_for = MonotonicTime::max();
};
using QueryPointer = std::shared_ptr<WorldQuery>;

// The front's connection to an owner.
struct Connection {
  bool connected = false;
  bool connecting = false;
  MonotonicTime backoff_until{};
  // Number of times that the established connection broke. Messages of earlier
  // generations may be lost.
  int generation = 0;
  // Functions that send a message once the connection is established.
  std::vector<std::function<void()>> waiting;
};

// Simulates one fleet with one front and the queries of its clients.
class World {
 public:
  explicit World(const WorldOptions& options)
      : options_(options),
        random_(options.seed),
        fleet_(random_),
        front_({"z0", "r0"}, options.seed) {
    Publish();
    // Some worlds start with latency samples, so that the front sends hedges.
    if (Chance(0.7)) {
      for (int i = 0; i < 100; ++i) {
        front_.services[kService].latency.Record(Between(1, 8));
      }
    }
    for (int i = 0; i < options.queries; ++i) {
      At(now_ + Between(0, 1500), [this, i] { StartQuery(i); });
    }
    const int changes = static_cast<int>(Draw(12));
    for (int i = 0; i < changes; ++i) {
      At(now_ + Between(0, 1500), [this] {
        fleet_.Change();
        Publish();
      });
    }
    const int losses = static_cast<int>(Draw(8));
    for (int i = 0; i < losses; ++i) {
      At(now_ + Between(0, 1500), [this] {
        BreakConnection(static_cast<OwnerId>(Draw(connections_.size() + 1)));
      });
    }
  }

  WorldResult Run() {
    while (!events_.empty()) {
      const auto next = events_.begin();
      now_ = next->first;
      const auto action = std::move(next->second);
      events_.erase(next);
      action();
    }
    for (const QueryPointer& query : queries_) {
      CheckQuery(query->record, kMaximumTimerDelay, result_.violations);
      CountOutcome(query->record);
    }
    CheckTotals();
    return std::move(result_);
  }

 private:
  // --- Randomness and time ---
  std::uint64_t Draw(std::uint64_t bound) { return random_.Draw(bound); }
  bool Chance(double probability) { return random_.Chance(probability); }
  Duration Between(int low_ms, int high_ms) {
    return random_.Between(low_ms, high_ms);
  }
  void At(MonotonicTime time, std::function<void()> action) {
    events_.emplace(time, std::move(action));
  }
  void Count(const std::string& kind) { ++result_.counts[kind]; }
  void Expect(bool holds, const std::string& violation) {
    if (!holds) {
      result_.violations.push_back(violation);
    }
  }

  // --- The fleet ---
  void Publish() {
    session::FleetView published = fleet_.view();
    if (options_.defect == PlantedDefect::kIgnoresDrains) {
      published.machines = {};
      for (int i = 0; i < kBackends; ++i) {
        published.backends[BackendName(i)].drain = false;
      }
    }
    if (options_.defect == PlantedDefect::kOverspends) {
      published.services[kService].retry_budget = 10 * kRetryBudgetShare;
    }
    front_.SetView(
        std::make_shared<const session::FleetView>(std::move(published)));
  }

  // --- Queries ---
  void StartQuery(int number) {
    const auto query = std::make_shared<WorldQuery>();
    QueryRecord& record = query->record;
    record.id = static_cast<std::uint64_t>(number);
    record.repeatable = !Chance(0.3);
    const Key begin = Chance(0.5) ? 0 : Draw(kKeyRangeEnd / 2);
    record.asked = {begin, Chance(0.5)
                               ? kKeyRangeEnd
                               : begin + 1 + Draw(kKeyRangeEnd - begin)};
    record.row_limit = Chance(0.3) ? 1 + Draw(40) : 1000;
    record.deadline = now_ + Between(2, 150);
    QueryRequest request;
    request.request_id = std::to_string(number);
    request.service = kService;
    request.range = record.asked;
    request.row_limit = record.row_limit;
    request.repeatable =
        record.repeatable || options_.defect == PlantedDefect::kRepeatsAll;
    request.received = now_;
    request.deadline = record.deadline;
    if (options_.defect == PlantedDefect::kLateDeadline) {
      request.deadline += milliseconds(5);
    }
    query->run = std::make_unique<QueryRun>(std::move(request), front_);
    queries_.push_back(query);
    Apply(query, query->run->Start(now_));
    if (Chance(0.06)) {
      At(now_ + Between(0, 60),
         [this, query] { Apply(query, query->run->OnClientGone(now_)); });
    }
  }

  // Carries out the actions, as the front's query executor does.
  void Apply(const QueryPointer& query, Actions actions) {
    QueryRecord& record = query->record;
    if (!record.outcomes.empty()) {
      const bool no_actions = actions.batches.empty() &&
                              actions.cancellations.empty() && !actions.outcome;
      Expect(no_actions, "the query returned actions after its outcome");
    }
    std::vector<const Batch*> unsent;
    for (const Batch& batch : actions.batches) {
      CheckBatch(record, batch);
      if (!Send(query, batch)) {
        unsent.push_back(&batch);
      }
    }
    for (const Cancellation& cancellation : actions.cancellations) {
      SendCancel(query, cancellation);
    }
    if (actions.outcome) {
      End(record, std::move(*actions.outcome));
      return;
    }
    for (const Batch* batch : unsent) {
      if (record.outcomes.empty()) {
        for (const PlannedSubquery& planned : batch->subqueries) {
          SentSubquery& sent = record.sent.at(planned.attempt_id);
          sent.delivered_not_run = sent.completed = true;
        }
        Apply(query, query->run->OnBatchUnsent(*batch, now_));
      }
    }
    Arm(query);
  }

  void Arm(const QueryPointer& query) {
    const MonotonicTime wanted = query->run->next_timer();
    if (!query->record.outcomes.empty() || wanted >= query->armed_for) {
      return;
    }
    query->armed_for = wanted;
    const Duration late(
        static_cast<Duration::rep>(Draw(kMaximumTimerDelay.count())));
    At(std::max(now_, wanted) + late, [this, query] {
      query->armed_for = MonotonicTime::max();
      if (query->record.outcomes.empty()) {
        Apply(query, query->run->OnTimer(now_));
      }
    });
  }

  void End(QueryRecord& record, QueryOutcome outcome) {
    InjectDefect(outcome);
    record.ended = now_;
    record.outcomes.push_back(std::move(outcome));
    if (options_.defect == PlantedDefect::kTwoAnswers) {
      record.outcomes.push_back(record.outcomes.back());
    }
  }

  void InjectDefect(QueryOutcome& outcome) const {
    auto* answer = std::get_if<Answer>(&outcome);
    if (answer != nullptr && !answer->coverage.missing.empty() &&
        options_.defect == PlantedDefect::kFalseCoverage) {
      answer->coverage.searched.push_back(answer->coverage.missing[0].range);
      answer->coverage.missing.erase(answer->coverage.missing.begin());
    }
    if (auto* refusal = std::get_if<Refusal>(&outcome)) {
      if (options_.defect == PlantedDefect::kFalseNotRun) {
        refusal->execution = ExecutionState::kNotRun;
      } else if (options_.defect == PlantedDefect::kFalseMayHaveRun) {
        refusal->execution = ExecutionState::kMayHaveRun;
      }
    }
  }

  // --- From the front to the owners ---
  void CheckBatch(const QueryRecord& record, const Batch& batch) {
    Expect(now_ < record.deadline, "sent after the deadline");
    Expect(batch.remaining > Duration::zero() &&
               now_ + batch.remaining <= record.deadline,
           "an owner got more time than remains until the deadline");
    for (const PlannedSubquery& planned : batch.subqueries) {
      const std::string name(planned.backend);
      Expect(!fleet_.IsDraining(name),
             "sent to a backend that the view reports as draining");
      Expect(fleet_.view().reports.at(name).held_versions.contains(
                 batch.index_version),
             "sent to a backend that the view reports as not holding the "
             "snapshot");
    }
  }

  bool Send(const QueryPointer& query, const Batch& batch) {
    Connection& connection = connections_[batch.owner];
    for (const PlannedSubquery& planned : batch.subqueries) {
      const bool fresh =
          query->record.sent
              .try_emplace(
                  planned.attempt_id,
                  SentSubquery{batch.owner, batch.index_version, planned.range})
              .second;
      Expect(fresh, "an attempt id was used twice");
    }
    if (!connection.connected && !connection.connecting &&
        now_ < connection.backoff_until) {
      Count("unsent batches");
      return false;
    }
    sent_ += batch.subqueries.size();
    for (const PlannedSubquery& planned : batch.subqueries) {
      const auto send = [this, query, id = planned.attempt_id,
                         backend = std::string(planned.backend),
                         remaining = batch.remaining, owner = batch.owner] {
        const int generation = connections_[owner].generation;
        At(now_ + Between(0, 3),
           [=, this] { Arrive(query, id, backend, remaining, generation); });
      };
      connection.connected ? send() : connection.waiting.push_back(send);
    }
    if (!connection.connected && !connection.connecting) {
      Connect(batch.owner);
    }
    return true;
  }

  void Connect(OwnerId owner) {
    connections_[owner].connecting = true;
    At(now_ + Between(0, 4), [this, owner] {
      Connection& connection = connections_[owner];
      connection.connecting = false;
      if (Chance(0.85)) {
        connection.connected = true;
        front_.owners.OnConnected(owner);
        for (const auto& send : std::exchange(connection.waiting, {})) {
          send();
        }
        return;
      }
      Count("failed connects");
      connection.waiting.clear();
      NotifyLoss(owner, OwnerConnectionLoss::kNothingSent);
    });
  }

  // Breaks the connection; messages in flight may or may not arrive.
  void BreakConnection(OwnerId owner) {
    Connection& connection = connections_[owner];
    if (!connection.connected) {
      return;
    }
    Count("hang-ups");
    connection.connected = false;
    ++connection.generation;
    NotifyLoss(owner, OwnerConnectionLoss::kMayHaveReceived);
  }

  void NotifyLoss(OwnerId owner, OwnerConnectionLoss loss) {
    connections_[owner].backoff_until = now_ + kReconnectBackoff;
    front_.owners.OnLost(owner, now_);
    for (const QueryPointer& query : std::vector(queries_)) {
      if (!query->record.outcomes.empty()) {
        continue;
      }
      for (auto& [id, sent] : query->record.sent) {
        if (sent.owner == owner && !sent.completed && !sent.cancelled) {
          sent.completed = true;
          sent.delivered_not_run = loss == OwnerConnectionLoss::kNothingSent;
        }
      }
      Apply(query, query->run->OnOwnerLost(owner, loss, now_));
    }
  }

  // --- At the owner and the backend ---
  void Arrive(const QueryPointer& query, AttemptId id,
              const std::string& backend, Duration remaining, int generation) {
    SentSubquery& sent = query->record.sent.at(id);
    const bool connection_broke =
        generation != connections_[sent.owner].generation;
    if (sent.cancelled || (connection_broke && Chance(0.5))) {
      return;
    }
    const SubqueryHandling handling =
        DrawHandling(random_, fleet_.Holds(backend, sent.version), remaining);
    sent.begun = handling.begun;
    begun_ += handling.begun ? 1 : 0;
    if (handling.silent) {
      Count("silent subqueries");
    } else {
      Reply(query, id, handling.outcome, handling.after);
    }
  }

  void SendCancel(const QueryPointer& query, const Cancellation& cancellation) {
    if (options_.defect == PlantedDefect::kNoCancels) {
      return;
    }
    for (const AttemptId id : cancellation.attempts) {
      SentSubquery& sent = query->record.sent.at(id);
      Expect(sent.owner == cancellation.owner, "cancelled at another owner");
      Expect(!sent.completed, "cancelled after it was completed");
      sent.cancelled = true;
    }
  }

  // --- From the owners to the front ---
  void Reply(const QueryPointer& query, AttemptId id, SubqueryOutcome outcome,
             Duration after) {
    const SentSubquery& sent = query->record.sent.at(id);
    const int generation = connections_[sent.owner].generation;
    const auto deliver = [=, this] { Deliver(query, id, outcome, generation); };
    At(now_ + after + Between(0, 3), deliver);
    if (Chance(0.05)) {
      Count("duplicates");
      At(now_ + after + Between(0, 30), deliver);
    }
    if (Chance(0.03)) {
      Count("foreign results");
      At(now_ + after, [=, this] { DeliverForeign(query, id, outcome); });
    }
  }

  void Deliver(const QueryPointer& query, AttemptId id, SubqueryOutcome outcome,
               int generation) {
    QueryRecord& record = query->record;
    SentSubquery& sent = record.sent.at(id);
    // Most results of a broken connection are lost.
    const bool connection_broke =
        generation != connections_[sent.owner].generation;
    if (!record.outcomes.empty() || (connection_broke && Chance(0.8))) {
      return;
    }
    const bool counts = !sent.completed && !sent.cancelled;
    if (counts) {
      sent.completed = true;
      sent.delivered_rows = outcome == SubqueryOutcome::kRows;
      sent.delivered_not_run = !sent.begun;
    }
    std::vector<OwnerResult> replies;
    replies.push_back(MakeReply(sent, id, outcome));
    Apply(query,
          query->run->OnSubqueryResults(sent.owner, std::move(replies), now_));
  }

  // Delivers a result for an attempt that does not exist or belongs to another
  // owner.
  void DeliverForeign(const QueryPointer& query, AttemptId id,
                      SubqueryOutcome outcome) {
    if (!query->record.outcomes.empty()) {
      return;
    }
    const SentSubquery& sent = query->record.sent.at(id);
    const bool other_owner = Chance(0.5);
    std::vector<OwnerResult> replies;
    replies.push_back(MakeReply(sent, other_owner ? id : id + 1000, outcome));
    const OwnerId owner = other_owner ? sent.owner + 1 : sent.owner;
    Apply(query,
          query->run->OnSubqueryResults(owner, std::move(replies), now_));
  }

  OwnerResult MakeReply(const SentSubquery& sent, AttemptId id,
                        SubqueryOutcome outcome) {
    OwnerResult reply;
    reply.attempt_id = id;
    reply.outcome = outcome;
    reply.load = static_cast<std::uint32_t>(Draw(6));
    reply.slots = 4;
    if (outcome == SubqueryOutcome::kRows) {
      const bool mixed =
          options_.defect == PlantedDefect::kMixedSnapshot && sent.version > 1;
      KeyRange range = sent.range;
      if (Chance(0.05)) {
        range.end = std::min(range.end + 3 * kRowSpacing, kKeyRangeEnd);
      }
      reply.block =
          ExpectedRows(mixed ? sent.version - 1 : sent.version, range);
      if (Chance(0.1)) {
        std::ranges::reverse(reply.block.rows);
      }
    }
    return reply;
  }

  // --- Totals ---
  void CheckTotals() {
    const FrontCounters& counters = front_.counters;
    const auto firsts = static_cast<double>(counters.first_subqueries);
    const auto extra = static_cast<double>(counters.hedges + counters.retries);
    const double allowed = kRetryBudgetShare * firsts + RetryBudget::kReserve;
    Expect(extra <= allowed + 1e-6, "hedges and retries exceed the budget");
    const std::uint64_t counted = counters.first_subqueries + counters.hedges +
                                  counters.retries + counters.reroutes +
                                  counters.restarted_subqueries;
    Expect(sent_ <= counted, "more subqueries were sent than counted");
    // The retry budget and the subqueries of restarts bound how many subqueries
    // backends start in addition to the first ones.
    Expect(static_cast<double>(begun_) <=
               firsts + allowed +
                   static_cast<double>(counters.restarted_subqueries),
           "backends started more subqueries than the retry budget allows");
    result_.counts["snapshots"] += fleet_.newest();
    result_.counts["subqueries"] += sent_;
    result_.counts["hedges"] += counters.hedges;
    result_.counts["retries"] += counters.retries;
    result_.counts["reroutes"] += counters.reroutes;
    result_.counts["restarts"] += counters.restarts;
    result_.counts["late results"] += counters.late_results;
    result_.counts["duplicate results"] += counters.duplicate_results;
    result_.counts["out-of-range rows"] += counters.out_of_range_rows;
  }

  void CountOutcome(const QueryRecord& record) {
    if (record.outcomes.empty()) {
      return;
    }
    const QueryOutcome& outcome = record.outcomes.front();
    if (const auto* answer = std::get_if<Answer>(&outcome)) {
      Count(answer->coverage.missing.empty() ? "whole" : "partial");
    } else if (const auto* refusal = std::get_if<Refusal>(&outcome)) {
      Count(refusal->execution == ExecutionState::kNotRun
                ? "refused, not run"
                : "refused, may have run");
    } else {
      Count("abandoned");
    }
  }

  WorldOptions options_;
  WorldRandom random_;
  WorldFleet fleet_;
  FrontState front_;
  MonotonicTime now_{milliseconds(1)};
  std::multimap<MonotonicTime, std::function<void()>> events_;
  std::vector<QueryPointer> queries_;
  std::map<OwnerId, Connection> connections_;
  std::uint64_t sent_ = 0;
  std::uint64_t begun_ = 0;
  WorldResult result_;
};

}  // namespace

WorldResult RunWorld(const WorldOptions& options) {
  return World(options).Run();
}

}  // namespace juniperway::routing::testing
