// A small fleet and a QueryRun under test, with shorthands for what owners say.
#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/routing/front_state.h"
#include "common/routing/query_run.h"
#include "common/session/fleet_view.h"

namespace juniperway::test {

inline MonotonicTime At(std::int64_t ms) {
  return MonotonicTime(milliseconds(ms));
}

inline const std::string kService = "search";
// Width of each partition's key range.
inline constexpr Key kPartitionWidth = 100;

struct FleetShape {
  std::uint32_t partitions = 4;
  std::uint32_t replicas = 2;
  resources::IndexVersion index_version = 1;
};

inline std::string ShardName(std::uint32_t partition) {
  return "shard-" + std::to_string(partition);
}
inline std::string BackendName(std::uint32_t partition, std::uint32_t replica) {
  return "backend-" + std::to_string(partition) + "-" + std::to_string(replica);
}
// Replica number r of each partition lies in zone r, with one gateway.
inline std::string OwnerName(std::uint32_t replica) {
  return "gateway-" + std::to_string(replica);
}

inline resources::IndexSnapshot SnapshotOf(std::uint32_t partitions,
                                           resources::IndexVersion version) {
  resources::IndexSnapshot snapshot;
  snapshot.service = kService;
  snapshot.index_version = version;
  for (std::uint32_t i = 0; i < partitions; ++i) {
    snapshot.partitions.push_back(
        {{i * kPartitionWidth, (i + 1) * kPartitionWidth}, ShardName(i)});
  }
  return snapshot;
}

// Every back end holds `index_version` and the one after it.
inline session::FleetView MakeFleet(const FleetShape& shape) {
  session::FleetView view;
  view.revision = 1;
  view.services[kService] = resources::Service{};
  for (std::uint32_t replica = 0; replica < shape.replicas; ++replica) {
    session::Member member;
    member.daemon_id = OwnerName(replica);
    member.zone = "zone-" + std::to_string(replica);
    member.region = "region";
    member.gateway = true;
    member.peer_address = "127.0.0.1:1";
    view.members[member.daemon_id] = member;
    for (std::uint32_t part = 0; part < shape.partitions; ++part) {
      resources::Backend backend;
      backend.service = kService;
      backend.zone = member.zone;
      backend.slots = 100;
      backend.shards = {ShardName(part)};
      const std::string name = BackendName(part, replica);
      view.backends[name] = backend;
      view.reports[name].held_versions = {shape.index_version,
                                          shape.index_version + 1};
    }
  }
  view.snapshots[{kService, shape.index_version}] =
      SnapshotOf(shape.partitions, shape.index_version);
  view.serving[kService] = shape.index_version;
  return view;
}

// One subquery that the run wants sent, with its batch's owner.
struct Sent {
  routing::OwnerId owner = 0;
  resources::IndexVersion index_version = 0;
  routing::AttemptId attempt = 0;
  std::string backend;
  KeyRange range;
};

inline std::vector<Sent> SentIn(const routing::Actions& actions) {
  std::vector<Sent> all;
  for (const routing::Batch& batch : actions.batches) {
    for (const routing::PlannedSubquery& subquery : batch.subqueries) {
      all.push_back({batch.owner, batch.index_version, subquery.attempt_id,
                     std::string(subquery.backend), subquery.range});
    }
  }
  std::ranges::sort(all, {}, &Sent::attempt);
  return all;
}

inline std::vector<routing::AttemptId> CancelledIn(
    const routing::Actions& actions) {
  std::vector<routing::AttemptId> all;
  for (const routing::Cancellation& cancellation : actions.cancellations) {
    all.insert(all.end(), cancellation.attempts.begin(),
               cancellation.attempts.end());
  }
  std::ranges::sort(all);
  return all;
}

// Rows with the given keys, valued "v<version>:<key>".
inline routing::RowBlock RowsOf(resources::IndexVersion version,
                                const std::vector<Key>& keys) {
  auto values = std::make_shared<std::vector<std::string>>();
  for (const Key key : keys) {
    values->push_back("v" + std::to_string(version) + ":" +
                      std::to_string(key));
  }
  routing::RowBlock block;
  for (std::size_t i = 0; i < keys.size(); ++i) {
    block.rows.push_back({keys[i], (*values)[i]});
  }
  block.storage = values;
  return block;
}

inline routing::OwnerResult Outcome(const Sent& sent,
                                    routing::SubqueryOutcome outcome) {
  routing::OwnerResult reply;
  reply.attempt_id = sent.attempt;
  reply.outcome = outcome;
  return reply;
}

// The subquery's first key as its one row.
inline routing::OwnerResult Rows(const Sent& sent) {
  routing::OwnerResult reply = Outcome(sent, routing::SubqueryOutcome::kRows);
  reply.block = RowsOf(sent.index_version, {sent.range.begin});
  return reply;
}

class QueryFixture {
 public:
  explicit QueryFixture(const FleetShape& shape = {})
      : view(MakeFleet(shape)), front({"zone-0", "region"}, /*random_seed=*/1) {
    request.request_id = "r";
    request.service = kService;
    request.row_limit = 1000;
    request.received = At(0);
    request.deadline = At(1000);
  }

  resources::Service& service() { return view.services[kService]; }

  // Makes `view` the front's view; needed after each change of it.
  void Publish() {
    ++view.revision;
    front.SetView(std::make_shared<const session::FleetView>(view));
  }

  // The next index version is served, with its own partition map.
  void ServeNextVersion(std::uint32_t partitions) {
    const resources::IndexVersion next = view.serving.at(kService) + 1;
    view.snapshots[{kService, next}] = SnapshotOf(partitions, next);
    view.serving[kService] = next;
    Publish();
  }

  // Teaches the service's latency tracker that subqueries take `latency`.
  void RecordLatencySamples(Duration latency) {
    for (int i = 0; i < 100; ++i) {
      front.services[kService].latency.Record(latency);
    }
  }

  void ExhaustRetryBudget() {
    while (front.services[kService].budget.TryWithdraw()) {
    }
  }

  routing::Actions Start() {
    Publish();
    run = std::make_unique<routing::QueryRun>(request, front);
    return run->Start(request.received);
  }

  routing::Actions Reply(const Sent& sent, routing::OwnerResult reply,
                         MonotonicTime now) {
    std::vector<routing::OwnerResult> replies;
    replies.push_back(std::move(reply));
    return run->OnSubqueryResults(sent.owner, std::move(replies), now);
  }
  routing::Actions Reply(const Sent& sent, routing::SubqueryOutcome outcome,
                         MonotonicTime now) {
    return Reply(sent, Outcome(sent, outcome), now);
  }

  session::FleetView view;
  routing::FrontState front;
  routing::QueryRequest request;
  std::unique_ptr<routing::QueryRun> run;
};

inline const routing::Answer& AnswerIn(const routing::Actions& actions) {
  return std::get<routing::Answer>(actions.outcome.value());
}
inline const routing::Refusal& RefusalIn(const routing::Actions& actions) {
  return std::get<routing::Refusal>(actions.outcome.value());
}

}  // namespace juniperway::test
