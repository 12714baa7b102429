// Runs seeded histories of operators who give orders on zones through control
// nodes that hold copies for any time, also over a snapshot. No copy may undo
// an order that was accepted after its operator had given the copy up. Without
// the number that an order is based on, the check must find such a copy.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "common/control/control_state.h"
#include "common/session/control_frames.h"

namespace juniperway::control {
namespace {

constexpr std::uint64_t kSeeds = 300;
constexpr int kSteps = 200;
constexpr std::uint64_t kZones = 3;

// A copy of an order that a control node holds.
struct HeldOrder {
  std::string zone;
  bool evacuated = false;
  std::string change_id;
  OrderNumber based_on = 0;
};

class History {
 public:
  History(std::uint64_t seed, bool numbered)
      : random_(seed), numbered_(numbered) {}

  // @return the order that was undone; empty if there is none.
  std::string Run() {
    for (int step = 0; step < kSteps && violation_.empty(); ++step) {
      Step();
    }
    return violation_;
  }

 private:
  void Step() {
    switch (random_() % 4) {
      case 0:
        Hold();
        break;
      case 1:
        Deliver();
        break;
      case 2:
        Order();
        break;
      default:
        InstallSnapshot();
    }
  }

  HeldOrder Draw() {
    return {.zone = fmt::format("z{}", random_() % kZones),
            .evacuated = random_() % 2 == 0,
            .change_id = fmt::format("c{}", ++changes_),
            .based_on = state_.orders().latest()};
  }

  // A control node holds an order, and its operator gives the copy up.
  void Hold() { held_.push_back(Draw()); }

  // A control node sends an order that it holds, once or again.
  void Deliver() {
    if (!held_.empty()) {
      Apply(held_[random_() % held_.size()]);
    }
    Check();
  }

  // An operator gives an order that is carried out at once, and acknowledged.
  void Order() {
    const HeldOrder order = Draw();
    if (Apply(order)) {
      acknowledged_[order.zone] = order;
    } else {
      violation_ = order.change_id + " was refused without a later order";
    }
    Check();
  }

  bool Apply(const HeldOrder& order) {
    protocol::SetZoneEvacuationT operation;
    operation.change_id = order.change_id;
    operation.zone = order.zone;
    operation.evacuated = order.evacuated;
    protocol::OperationItemT item =
        session::MakeOperation(std::move(operation));
    if (numbered_) {
      item.based_on = order.based_on;
    }
    protocol::CommandT command;
    command.wall_time_us = ++clock_us_;
    command.operations.push_back(
        std::make_unique<protocol::OperationItemT>(std::move(item)));
    const AppliedCommand applied = state_.Apply(EncodeCommand(command));
    const bool accepted = !applied.results.front().error;
    const auto acknowledged = acknowledged_.find(order.zone);
    if (accepted && acknowledged != acknowledged_.end() &&
        acknowledged->second.based_on < order.based_on) {
      // Given later than the acknowledged order: it may take its place.
      acknowledged_.erase(acknowledged);
    }
    return accepted;
  }

  void InstallSnapshot() {
    auto restored = ControlState::DecodeSnapshot(state_.EncodeSnapshot());
    REQUIRE(restored);
    state_ = std::move(*restored);
  }

  void Check() {
    for (const auto& [zone, order] : acknowledged_) {
      if (state_.fleet().evacuations.contains(zone) != order.evacuated) {
        violation_ = order.change_id + " on " + zone + " was undone";
      }
    }
  }

  std::mt19937_64 random_;
  bool numbered_;
  ControlState state_;
  int changes_ = 0;
  std::int64_t clock_us_ = 0;
  std::vector<HeldOrder> held_;
  // The latest acknowledged order, by zone, unless a later one may hold.
  std::map<std::string, HeldOrder> acknowledged_;
  std::string violation_;
};

TEST_CASE("a held copy of an order never undoes a later order") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    CHECK(History(seed, /*numbered=*/true).Run() == "");
  }
}

TEST_CASE("orders without a number are found to undo later ones") {
  int found = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    found += History(seed, /*numbered=*/false).Run().empty() ? 0 : 1;
  }
  CHECK(found > 0);
}

}  // namespace
}  // namespace juniperway::control
