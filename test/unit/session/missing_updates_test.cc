// A control machine that renews a daemon's lease but brings no updates: one
// that was removed from the group, whose disk is full, or whose own copy of the
// log stands still. The daemon must not use an old configuration for good, and
// must stay with a machine whose updates are only slow.
#include <doctest/doctest.h>

#include <deque>
#include <optional>
#include <variant>
#include <vector>

#include "common/session/session_state.h"

namespace juniperway::session {
namespace {

constexpr Duration kStep = milliseconds(10);
constexpr Duration kLease = seconds(4);
constexpr std::size_t kMachines = 3;

// A daemon whose machines all renew its lease. Each machine sends an update
// `update_delays` after the leader's state has changed; nothing: never.
class Fleet {
 public:
  explicit Fleet(std::uint64_t seed) : state_(timing, kMachines, 0, seed) {
    state_.Start(now);
  }

  void Run(Duration duration) {
    const MonotonicTime end = now + duration;
    while (now < end) {
      now += kStep;
      DeliverUpdate();
      state_.Tick(now);
      for (const SessionAction& action : state_.TakeActions()) {
        CarryOut(action);
      }
    }
  }

  void Change() {
    ++leader_revision;
    changed_at_ = now;
  }

  void SetLocality(std::size_t machine) {
    state_.SetLocality(machine, Locality::kSameZone, now);
  }
  resources::Revision taken() const { return state_.taken(); }
  bool HasLease() const { return state_.HasLease(now); }

  const SessionTiming timing;
  MonotonicTime now{seconds(1)};
  std::vector<std::optional<Duration>> update_delays{kMachines,
                                                     milliseconds(20)};
  resources::Revision leader_revision = 1;
  std::size_t machine = 0;
  std::size_t left_without_updates = 0;
  std::size_t connects = 0;

 private:
  void CarryOut(const SessionAction& action) {
    if (const auto* connect = std::get_if<ConnectAction>(&action)) {
      machine = connect->endpoint;
      ++connects;
      connected_at_ = now;
      state_.OnConnected(now);
    } else if (const auto* beat = std::get_if<HeartbeatAction>(&action)) {
      state_.OnHeartbeatReply({.sequence = beat->heartbeat.sequence,
                               .granted = true,
                               .lease = kLease,
                               .term = 1,
                               .leader_revision = leader_revision},
                              now);
    } else {
      const auto reason = std::get<DisconnectAction>(action).reason;
      left_without_updates += reason == DisconnectReason::kNoUpdates ? 1 : 0;
    }
  }

  void DeliverUpdate() {
    const auto delay = update_delays.at(machine);
    const MonotonicTime since = std::max(changed_at_, connected_at_);
    const bool due = state_.connected() && delay && now - since >= *delay;
    if (due && state_.MayTake(leader_revision)) {
      state_.OnUpdateReceived(leader_revision, now);
      state_.OnTaken(leader_revision);
    }
  }

  SessionState state_;
  MonotonicTime changed_at_ = now;
  MonotonicTime connected_at_ = now;
};

TEST_CASE("A daemon leaves a machine that renews its lease but sends nothing") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(seed);
    fleet.Run(seconds(10));
    REQUIRE(fleet.taken() == 1);
    fleet.update_delays.at(fleet.machine).reset();
    fleet.Change();
    fleet.Run(fleet.timing.heartbeat_interval + fleet.timing.update_timeout +
              fleet.timing.reconnect_minimum + milliseconds(100));
    CHECK(fleet.taken() == 2);
    CHECK(fleet.left_without_updates == 1);
    CHECK(fleet.HasLease());
  }
}

TEST_CASE("A daemon returns rarely to a near machine without updates") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(seed);
    fleet.SetLocality(0);
    fleet.Run(seconds(10));
    REQUIRE(fleet.machine == 0);
    fleet.update_delays.at(0).reset();
    Duration behind{};
    constexpr int kChanges = 120;
    for (int change = 0; change < kChanges; ++change) {
      fleet.Change();
      fleet.Run(seconds(1));
      behind += fleet.taken() < fleet.leader_revision ? seconds(1) : seconds(0);
    }
    // Two minutes; at most a visit every 30 s after the first one.
    CHECK(behind <= seconds(20));
  }
}

TEST_CASE("A daemon stays with a machine whose updates are slow") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(seed);
    fleet.Run(seconds(10));
    const std::size_t connects = fleet.connects;
    for (auto& delay : fleet.update_delays) {
      delay = milliseconds(1500);
    }
    for (int change = 0; change < 30; ++change) {
      fleet.Change();
      fleet.Run(seconds(2));
      CHECK(fleet.taken() == fleet.leader_revision);
    }
    CHECK(fleet.connects == connects);
    CHECK(fleet.left_without_updates == 0);
  }
}

TEST_CASE("Updates that are slow everywhere are awaited ever longer") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(seed);
    fleet.Run(seconds(10));
    for (auto& delay : fleet.update_delays) {
      delay = seconds(6);
    }
    fleet.Change();
    fleet.Run(seconds(2 + 4 + 8));
    CHECK(fleet.taken() == fleet.leader_revision);
    CHECK(fleet.left_without_updates == 2);
  }
}

TEST_CASE("An update that the daemon's own disk holds back counts as sent") {
  SessionState state(SessionTiming{}, 2, 0, /*seed=*/1);
  MonotonicTime now(seconds(1));
  state.Start(now);
  std::size_t disconnects = 0;
  for (int step = 0; step < 2000; ++step) {
    now += kStep;
    state.OnUpdateReceived(7, now);
    state.Tick(now);
    for (const SessionAction& action : state.TakeActions()) {
      if (std::holds_alternative<ConnectAction>(action)) {
        state.OnConnected(now);
      } else if (const auto* beat = std::get_if<HeartbeatAction>(&action)) {
        state.OnHeartbeatReply({.sequence = beat->heartbeat.sequence,
                                .granted = true,
                                .lease = kLease,
                                .term = 1,
                                .leader_revision = 7},
                               now);
      } else {
        ++disconnects;
      }
    }
  }
  CHECK(disconnects == 0);
}

}  // namespace
}  // namespace juniperway::session
