// Runs seeded histories of changes, resends, concurrent writes, claims and
// snapshots on the replicated state and compares them with a simple model of
// the guarantees. Each defect disables a mechanism, and the check must detect
// the defect.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <tuple>

#include "common/control/control_state.h"
#include "common/session/control_frames.h"
#include "common/session/fleet_codec.h"

namespace juniperway::control {
namespace {

constexpr std::uint64_t kSeeds = 150;
constexpr int kSteps = 400;
constexpr WallTime kStart{seconds(1700000000)};
constexpr const char* kOnce = "once-only";

enum class Defect {
  kNone,
  kSnapshotOmitsChanges,
  kSnapshotOmitsClaims,
  kClockStepsBack,
  kIgnoresVersions,
  kNewChangeIds,
};

struct FirstOutcome {
  std::uint64_t digest = 0;
  std::optional<ErrorCode> error;
  resources::Revision revision = 0;
};

class History {
 public:
  History(std::uint64_t seed, Defect defect) : random_(seed), defect_(defect) {}

  // @return the violated guarantee; empty if there is none.
  std::string Run() {
    ApplyService("setup", kOnce, 0, 0);
    for (int step = 0; step < kSteps && violation_.empty(); ++step) {
      Step();
    }
    return violation_;
  }

  std::map<std::string, int> event_counts;

 private:
  void Step() {
    switch (random_() % 8) {
      case 0:
      case 1:
      case 2:
        Change();
        break;
      case 3:
        Race();
        break;
      case 4:
      case 5:
        Claim();
        break;
      case 6:
        // The clock of the next leader may be behind.
        clock_ += milliseconds(random_() % 3000);
        clock_ -= random_() % 6 == 0 ? seconds(8) : seconds(0);
        break;
      default:
        RestoreFromSnapshot();
    }
  }

  void Expect(bool holds, const std::string& message) {
    if (!holds && violation_.empty()) {
      violation_ = message;
    }
  }

  protocol::OperationResultT Run(protocol::OperationItemT item) {
    now_ = std::max(now_, clock_);
    protocol::CommandT command;
    command.wall_time_us = clock_.time_since_epoch().count();
    command.operations.push_back(
        std::make_unique<protocol::OperationItemT>(std::move(item)));
    AppliedCommand applied = state_.Apply(EncodeCommand(command));
    return std::move(applied.results.front());
  }

  resources::Revision CurrentVersion(const std::string& name) const {
    const auto* found = state_.fleet().Find({resources::Kind::kService, name});
    return found == nullptr ? 0 : found->version;
  }

  protocol::OperationResultT ApplyService(const std::string& change_id,
                                          const std::string& name,
                                          resources::Revision version,
                                          std::uint64_t digest) {
    resources::Resource resource;
    resource.id = {resources::Kind::kService, name};
    resource.version =
        defect_ == Defect::kIgnoresVersions ? CurrentVersion(name) : version;
    resources::Service service;
    service.request_classes = {{"search", true}, {"once", false}};
    resource.specification = service;
    protocol::ApplyResourcesT apply;
    apply.change_id = defect_ == Defect::kNewChangeIds
                          ? fmt::format("made-{}", ++new_change_ids_)
                          : change_id;
    apply.digest = digest;
    apply.resources.push_back(std::make_unique<protocol::ResourceRecordT>(
        session::EncodeResource(resource)));
    return Run(session::MakeOperation(std::move(apply)));
  }

  // Applies a change whose id may have been used and whose version may be old.
  void Change() {
    const std::string id = fmt::format("change-{}", random_() % 60);
    const std::string name = fmt::format("service-{}", random_() % 3);
    const resources::Revision current = CurrentVersion(name);
    const resources::Revision version =
        random_() % 3 == 0 && current > 0 ? current - 1 : current;
    const std::uint64_t digest = random_() % 8 == 0 ? 2 : 1;
    const resources::Revision before = state_.revision();
    const auto result = ApplyService(id, name, version, digest);
    auto first = outcomes_.find(id);
    if (first != outcomes_.end()) {
      ++event_counts["resend"];
      Expect(state_.revision() == before, "a resend had an effect");
      const bool same = first->second.digest == digest;
      const auto error = ErrorOf(result);
      Expect(same ? error == first->second.error
                  : error == ErrorCode::kInvalidArgument,
             "a resend got another outcome than the first");
      Expect(!same || error || result.revision == first->second.revision,
             "a resend got another revision than the first");
      return;
    }
    outcomes_[id] = {digest, ErrorOf(result), result.revision};
    CheckFirst(name, version, current, before, result);
  }

  void CheckFirst(const std::string& name, resources::Revision version,
                  resources::Revision current, resources::Revision before,
                  const protocol::OperationResultT& result) {
    if (version == current) {
      ++event_counts["accepted"];
      Expect(!result.error, "a change at the current version was refused");
      Expect(result.revision > before && CurrentVersion(name) > current,
             "an accepted change had no effect");
      return;
    }
    ++event_counts["conflict"];
    Expect(
        ErrorOf(result) == ErrorCode::kConflict && state_.revision() == before,
        "a change at an old version was not refused");
    Expect(result.resources.size() == 1 &&
               result.resources.front()->version == current,
           "a conflict does not contain the current resource");
  }

  // Several operators write the same version; one of them must succeed.
  void Race() {
    const std::string name = fmt::format("service-{}", random_() % 3);
    const resources::Revision version = CurrentVersion(name);
    const auto operators = 2 + random_() % 4;
    std::uint64_t winners = 0;
    for (std::uint64_t operator_index = 0; operator_index < operators;
         ++operator_index) {
      const auto result =
          ApplyService(fmt::format("race-{}", ++races_), name, version, 1);
      winners += result.error ? 0 : 1;
      Expect(!result.error ||
                 (result.resources.size() == 1 &&
                  result.resources.front()->version == CurrentVersion(name)),
             "an operator that lost a race did not get the current resource");
    }
    ++event_counts["race"];
    Expect(winners == 1, fmt::format("{} winners in a race", winners));
  }

  void Claim() {
    const std::string id = fmt::format("request-{}", random_() % 25);
    const std::string claimant = fmt::format("daemon-{}", random_() % 3);
    const std::uint64_t attempt = 1 + random_() % 2;
    const WallTime expiry = kStart + milliseconds(500 * (random_() % 1200));
    protocol::ClaimRequestT request;
    request.service = kOnce;
    request.request_id = id;
    request.expiry_us = expiry.time_since_epoch().count();
    request.claimant = claimant;
    request.attempt = attempt;
    const auto result = Run(session::MakeOperation(std::move(request)));
    const bool granted =
        result.claim &&
        result.claim->decision == protocol::ClaimDecisionCode::kGranted;
    if (!granted) {
      return;
    }
    ++event_counts["granted"];
    Expect(expiry > now_, "a claim past its expiry was granted");
    const auto owner = std::tuple(claimant, attempt);
    auto [grant, is_new] = grants_.try_emplace(id, owner, expiry);
    if (is_new) {
      return;
    }
    // The same id may be claimed again only after its expiry.
    if (grant->second.second > now_) {
      ++event_counts["claim resend"];
      Expect(grant->second.first == owner, "two claims of one id were granted");
      grant->second.second = std::max(grant->second.second, expiry);
    } else {
      grant->second = {owner, expiry};
    }
  }

  void RestoreFromSnapshot() {
    ++event_counts["snapshot"];
    std::string data = state_.EncodeSnapshot();
    protocol::StateSnapshotT snapshot;
    flatbuffers::GetRoot<protocol::StateSnapshot>(data.data())
        ->UnPackTo(&snapshot);
    if (defect_ == Defect::kSnapshotOmitsChanges) {
      snapshot.changes.clear();
    } else if (defect_ == Defect::kSnapshotOmitsClaims) {
      snapshot.claims.clear();
    } else if (defect_ == Defect::kClockStepsBack) {
      snapshot.wall_time_us = 0;
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(protocol::StateSnapshot::Pack(builder, &snapshot));
    auto restored = ControlState::DecodeSnapshot(
        {reinterpret_cast<const char*>(builder.GetBufferPointer()),
         builder.GetSize()});
    Expect(restored.has_value(), "a snapshot does not decode");
    if (restored) {
      state_ = std::move(*restored);
    }
  }

  static std::optional<ErrorCode> ErrorOf(
      const protocol::OperationResultT& result) {
    return result.error
               ? std::optional(session::DecodeError(*result.error).code)
               : std::nullopt;
  }

  std::mt19937_64 random_;
  Defect defect_;
  ControlState state_;
  // The leader's clock, and the highest timestamp of a command so far.
  WallTime clock_ = kStart;
  WallTime now_ = kStart;
  std::string violation_;
  std::map<std::string, FirstOutcome> outcomes_;
  std::map<std::string,
           std::pair<std::tuple<std::string, std::uint64_t>, WallTime>>
      grants_;
  std::uint64_t races_ = 0;
  std::uint64_t new_change_ids_ = 0;
};

std::string FindViolation(Defect defect) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::string violation = History(seed, defect).Run();
    if (!violation.empty()) {
      MESSAGE("seed " << seed << ": " << violation);
      return violation;
    }
  }
  return "";
}

TEST_CASE("Races, resends and claims keep their guarantees on all seeds") {
  std::map<std::string, int> event_counts;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    History history(seed, Defect::kNone);
    CAPTURE(seed);
    CHECK(history.Run() == "");
    for (const auto& [event, count] : history.event_counts) {
      event_counts[event] += count;
    }
  }
  for (const char* event : {"resend", "accepted", "conflict", "race", "granted",
                            "claim resend", "snapshot"}) {
    CAPTURE(event);
    CHECK(event_counts[event] > static_cast<int>(kSeeds));
  }
}

TEST_CASE("Each disabled mechanism is detected") {
  CHECK(FindViolation(Defect::kSnapshotOmitsChanges) != "");
  CHECK(FindViolation(Defect::kSnapshotOmitsClaims) ==
        "two claims of one id were granted");
  CHECK(FindViolation(Defect::kIgnoresVersions) != "");
  CHECK(FindViolation(Defect::kNewChangeIds) != "");
  CHECK(FindViolation(Defect::kClockStepsBack) ==
        "a claim past its expiry was granted");
}

}  // namespace
}  // namespace juniperway::control
