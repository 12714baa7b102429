// Checks the guarantees of the owner tier over seeded histories of a whole
// zone. Further tests inject defects and verify that the checker detects the
// violations that they cause.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "property/owner/owner_history.h"
#include "property/owner/owner_world.h"

namespace juniperway::owner::testing {
namespace {

using protocol::SubqueryOutcome;

constexpr std::uint64_t kSeeds = 60;

std::string FirstViolation(const HistoryReport& report) {
  return report.violations.empty() ? "" : report.violations.front();
}

TEST_CASE("Slots, connections, drains, deadlines and order hold on all seeds") {
  HistoryReport total;
  std::uint64_t changes = 0;
  std::uint64_t lost_leases = 0;
  std::uint64_t skipped_views = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const WorldResult world = RunWorld({.seed = seed});
    const HistoryReport report = CheckHistory(world.history, world.limits);
    CAPTURE(seed);
    CHECK(FirstViolation(report) == "");
    total.starts += report.starts;
    total.starts_after_owner_change += report.starts_after_owner_change;
    total.starts_with_all_slots_taken += report.starts_with_all_slots_taken;
    for (const auto& [outcome, count] : report.outcomes) {
      total.outcomes[outcome] += count;
    }
    changes += world.ownership_changes;
    lost_leases += world.lost_leases;
    skipped_views += world.skipped_views;
  }
  // Each situation that the runs must provoke has occurred often enough.
  CHECK(total.starts > kSeeds * 1500);
  CHECK(total.starts_after_owner_change > kSeeds * 3);
  CHECK(total.starts_with_all_slots_taken > kSeeds * 100);
  CHECK(changes > kSeeds * 10);
  CHECK(lost_leases > kSeeds / 4);
  CHECK(skipped_views > kSeeds * 10);
  for (const SubqueryOutcome outcome :
       {SubqueryOutcome::kRows, SubqueryOutcome::kNotOwner,
        SubqueryOutcome::kDraining, SubqueryOutcome::kShed,
        SubqueryOutcome::kExpiredUnstarted, SubqueryOutcome::kExpiredStarted,
        SubqueryOutcome::kLost}) {
    CAPTURE(protocol::EnumNameSubqueryOutcome(outcome));
    CHECK(total.outcomes[outcome] > 0);
  }
  MESSAGE("starts " << total.starts << ", after owner change "
                    << total.starts_after_owner_change << ", lost leases "
                    << lost_leases << ", skipped views " << skipped_views);
}

// Returns whether the history of at least one seed has a violation whose text
// contains `broken`.
bool Detects(PlantedDefect defect, const std::string& broken) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const WorldResult world = RunWorld({.seed = seed, .defect = defect});
    const HistoryReport report = CheckHistory(world.history, world.limits);
    if (std::ranges::any_of(report.violations, [&](const std::string& text) {
          return text.find(broken) != std::string::npos;
        })) {
      return true;
    }
  }
  return false;
}

TEST_CASE("Without a rule, some seed violates the guarantee of that rule") {
  const std::string slots = "running of";
  const std::string connections = "connections at";
  CHECK(Detects(PlantedDefect::kIgnoreWatermark, slots));
  CHECK(Detects(PlantedDefect::kIgnoreWatermark, connections));
  CHECK(Detects(PlantedDefect::kReleaseEarly, slots));
  CHECK(Detects(PlantedDefect::kReleaseSkippedViews, slots));
  CHECK(Detects(PlantedDefect::kFreeSlotOnCancel, slots));
  CHECK(Detects(PlantedDefect::kKeepRunningWithoutLease, slots));
  CHECK(Detects(PlantedDefect::kIgnoreDrain, "started on draining"));
}

TEST_CASE("The checker detects defects planted in a history") {
  const WorldResult world = RunWorld({.seed = 1});
  const auto violations = [&world](const History& history) {
    return CheckHistory(history, world.limits).violations.size();
  };
  REQUIRE(violations(world.history) == 0);
  const auto first = [](History& history, EventKind kind) {
    return std::ranges::find(history, kind, &Event::kind);
  };
  History history = world.history;
  SUBCASE("a subquery has two results") {
    history.push_back(*first(history, EventKind::kResult));
  }
  SUBCASE("a subquery has no result") {
    history.erase(first(history, EventKind::kResult));
  }
  SUBCASE("the end of a search is missing") {
    // The checker counts the slot of the search as in use from then on, so
    // later searches exceed the backend's slots.
    history.erase(first(history, EventKind::kEnd));
  }
  SUBCASE("a search starts at its deadline") {
    const auto start = first(history, EventKind::kStart);
    const auto submit =
        std::ranges::find_if(history, [&start](const Event& event) {
          return event.kind == EventKind::kSubmit && event.id == start->id;
        });
    submit->deadline = start->at;
  }
  SUBCASE("a search starts after the owner knows of a drain") {
    Event drain = *first(history, EventKind::kStart);
    drain.kind = EventKind::kDrainKnown;
    history.insert(first(history, EventKind::kStart), drain);
  }
  SUBCASE("a search that ran has a result that means not run") {
    const auto rows = std::ranges::find_if(history, [](const Event& event) {
      return event.kind == EventKind::kResult &&
             event.outcome == SubqueryOutcome::kRows;
    });
    rows->outcome = SubqueryOutcome::kExpiredUnstarted;
  }
  CHECK(violations(history) > 0);
}

TEST_CASE("The checker detects a start out of deadline order") {
  const MonotonicTime start;
  const auto event = [&start](EventKind kind, std::uint64_t id, int at_ms) {
    return Event{kind,
                 start + milliseconds(at_ms),
                 "g",
                 "b",
                 id,
                 start + seconds(id),
                 SubqueryOutcome::kRows};
  };
  const History history = {
      event(EventKind::kSubmit, 2, 0), event(EventKind::kSubmit, 1, 0),
      event(EventKind::kStart, 2, 1),  event(EventKind::kStart, 1, 2),
      event(EventKind::kEnd, 1, 3),    event(EventKind::kEnd, 2, 3),
      event(EventKind::kResult, 1, 3), event(EventKind::kResult, 2, 3)};
  CHECK(CheckHistory(history, {{"b", {2, 2}}}).violations.size() == 1);
}

}  // namespace
}  // namespace juniperway::owner::testing
