#include "sim/tier/sim_backend.h"

#include <algorithm>
#include <memory>

namespace juniperway::sim {
namespace {

constexpr Duration kShortestWay = microseconds(200);
constexpr Duration kLongestWay = milliseconds(1);

owner::BackendReply MakeReply(owner::ReplyKind kind,
                              protocol::SubqueryOutcome outcome) {
  owner::BackendReply reply;
  reply.kind = kind;
  reply.outcome = outcome;
  reply.answered = true;
  return reply;
}

owner::BackendReply MakeRows(const BackendSearch& search) {
  owner::BackendReply reply =
      MakeReply(owner::ReplyKind::kServed, protocol::SubqueryOutcome::kRows);
  const auto first = (search.range.begin + kRowSpacing - 1) / kRowSpacing;
  for (auto key = first * kRowSpacing; key < search.range.end;
       key += kRowSpacing) {
    reply.rows.push_back({key, RowValue(search.version, key)});
  }
  return reply;
}

}  // namespace

void SimBackend::Search(const BackendSearch& search, const Callback& callback) {
  const Key key{search.gateway, search.number};
  running_[key] = Running{search, callback, false};
  surroundings_.timeline.After(surroundings_.Between(kShortestWay, kLongestWay),
                               [this, key] { Arrive(key); });
}

void SimBackend::Arrive(const Key& key) {
  const auto found = running_.find(key);
  if (found == running_.end()) {
    return;
  }
  Running& running = found->second;
  if (!held_.contains(running.search.version)) {
    End(key, MakeReply(owner::ReplyKind::kRefused,
                       protocol::SubqueryOutcome::kWrongSnapshot));
    return;
  }
  if (surroundings_.Chance(0.02)) {
    End(key,
        MakeReply(owner::ReplyKind::kShed, protocol::SubqueryOutcome::kShed));
    return;
  }
  running.begun = true;
  checker_.ObserveBegun(running.search.request, running.search.range);
  checker_.ObserveLoad(name_, CountRunning(), slots_);
  const Duration work =
      surroundings_.Chance(0.05)
          ? surroundings_.Between(milliseconds(50), milliseconds(400))
          : surroundings_.Between(milliseconds(1), milliseconds(10));
  surroundings_.timeline.After(work, [this, key] {
    const auto still = running_.find(key);
    if (still != running_.end()) {
      End(key, MakeRows(still->second.search));
    }
  });
}

void SimBackend::End(const Key& key, owner::BackendReply reply) {
  const auto found = running_.find(key);
  const Running running = std::move(found->second);
  running_.erase(found);
  const std::uint64_t incarnation = running.search.gateway->incarnation();
  surroundings_.timeline.After(
      surroundings_.Between(kShortestWay, kLongestWay),
      [running, incarnation, reply = std::move(reply)] {
        SimDaemon* gateway = running.search.gateway;
        if (gateway->incarnation() == incarnation) {
          gateway->Deliver([running, reply] { running.callback(reply); });
        }
      });
}

void SimBackend::Cancel(SimDaemon* gateway, std::uint64_t number) {
  const Key key{gateway, number};
  const auto found = running_.find(key);
  if (found != running_.end() && found->second.begun &&
      surroundings_.Chance(0.7)) {
    End(key, MakeReply(owner::ReplyKind::kNotCompleted,
                       protocol::SubqueryOutcome::kExpiredStarted));
  }
}

void SimBackend::Close(SimDaemon* gateway, std::uint64_t number) {
  running_.erase({gateway, number});
}

void SimBackend::CloseAll(SimDaemon* gateway) {
  std::erase_if(running_, [gateway](const auto& item) {
    return item.first.first == gateway;
  });
}

std::size_t SimBackend::CountRunning() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(running_, [](const auto& item) {
        const SimDaemon* gateway = item.first.first;
        const bool cannot_end = gateway->IsFrozen() && !gateway->HasLease();
        return item.second.begun && !cannot_end;
      }));
}

}  // namespace juniperway::sim
