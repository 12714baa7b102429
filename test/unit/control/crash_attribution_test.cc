// Which request is to blame for crashes, and when that is decided.
#include "common/control/crash_attribution.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

namespace juniperway::control {
namespace {

using Blamed = std::vector<RequestFingerprint>;

constexpr MonotonicTime kStart{seconds(100)};
constexpr auto kNotListed = [](const std::string&) { return false; };
constexpr auto kListed = [](const std::string&) { return true; };

CrashRecord Record(std::set<std::string> ended, bool quarantined = false) {
  return {.ended_backends = std::move(ended), .quarantined = quarantined};
}

TEST_CASE("three back ends that nothing else explains are needed") {
  CHECK(FindBlamed({{{1}, Record({"a", "b"})}}).empty());
  CHECK(FindBlamed({{{1}, Record({"a", "b", "c"})}}) == Blamed{{1}});
}

TEST_CASE("a request that ran beside the one to blame is not blamed") {
  const CrashRecords records = {
      {{1}, Record({"a", "b", "c"})},
      {{2}, Record({"a", "b", "c", "d", "e"})},
      {{3}, Record({"c", "d", "e", "x", "y"})},
  };
  // The third one has two back ends left that the second does not explain.
  CHECK(FindBlamed(records) == Blamed{{2}});
}

TEST_CASE("two requests that are to blame are both found") {
  const CrashRecords records = {
      {{1}, Record({"a", "b", "c", "d"})},
      {{2}, Record({"e", "f", "g", "d"})},
      {{3}, Record({"a", "b", "e", "f"})},
  };
  CHECK(FindBlamed(records) == Blamed{{1}, {2}});
}

TEST_CASE("one that is quarantined explains later crashes at once") {
  const CrashRecords records = {
      {{1}, Record({"a", "b", "c"}, /*quarantined=*/true)},
      {{2}, Record({"a", "b", "c", "d"})},
  };
  CHECK(FindBlamed(records).empty());
}

TEST_CASE("judgement waits for the evidence of other routers") {
  CrashJudge judge;
  CrashRecords records = {{{1}, Record({"a", "b", "c"})}};
  CHECK(judge.Judge(records, kNotListed, kStart).empty());
  // More evidence, and a request that explains it better.
  const MonotonicTime later = kStart + CrashJudge::kSettleTime;
  records[{2}] = Record({"a", "b", "c", "d"});
  CHECK(judge.Judge(records, kNotListed, later).empty());
  const auto judgement =
      judge.Judge(records, kNotListed, later + CrashJudge::kSettleTime);
  CHECK(judgement.quarantine == Blamed{{2}});
  CHECK(judgement.release.empty());
}

TEST_CASE("a request whose back ends are still listed is released") {
  CrashJudge judge;
  CrashRecords records = {
      {{1}, Record({"a", "b", "c"}, /*quarantined=*/true)},
      {{2}, Record({"d"})},
  };
  CHECK(judge.Judge(records, kListed, kStart).empty());
  const MonotonicTime later = kStart + CrashJudge::kListedTime;
  CHECK(judge.Judge(records, kListed, later).release == Blamed{{1}, {2}});
  CHECK(judge.Judge(records, kNotListed, later).empty());
}

// Waves in which a scatter ends one back end of each shard while others run
// there. Those are reported that lost all their attempts, in any order.
TEST_CASE("unlucky requests are not blamed, in any order of reports") {
  constexpr int kShards = 10;
  constexpr int kOthers = 40;
  constexpr std::uint64_t kFatal = 1000;
  constexpr std::uint64_t kSeeds = 1000;
  std::ptrdiff_t blamed_by_count = 0;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    std::mt19937_64 random(seed);
    CrashRecords records;
    for (int shard = 0; shard < kShards; ++shard) {
      const std::string backend = "b" + std::to_string(shard);
      records[{kFatal}].ended_backends.insert(backend);
      for (std::uint64_t other = 0; other < kOthers; ++other) {
        if (random() % 2 == 0) {
          records[{other}].ended_backends.insert(backend);
        }
      }
    }
    CAPTURE(seed);
    const auto same = std::ranges::count_if(records, [&](const auto& entry) {
      return entry.second.ended_backends == records[{kFatal}].ended_backends;
    });
    const Blamed blamed = FindBlamed(records);
    CHECK(blamed == (same == 1 ? Blamed{{kFatal}} : Blamed{}));
    blamed_by_count += std::ranges::count_if(records, [](const auto& entry) {
      return entry.second.ended_backends.size() >= kBlamedAfter;
    });
  }
  // What a mere count of ended back ends would make of the same reports.
  MESSAGE("blamed by count: ", blamed_by_count, " requests in ", kSeeds,
          " waves of ", kOthers + 1);
  CHECK(blamed_by_count > static_cast<std::ptrdiff_t>(kSeeds) * kOthers / 2);
}

TEST_CASE("of two that lost the same back ends the next trial tells") {
  CrashRecords records = {
      {{1}, Record({"a", "b", "c"})},
      {{2}, Record({"a", "b", "c"})},
  };
  CHECK(FindBlamed(records).empty());
  records[{2}].ended_backends.insert("d");
  CHECK(FindBlamed(records) == Blamed{{2}});
}

TEST_CASE("a back end that started again under its id is not the one listed") {
  // A request that ends one back end three times would otherwise be released
  // while the restarted one is on the list.
  std::map<std::string, session::DiscoveredBackend> discovered;
  session::DiscoveredBackend& backend = discovered["i-1"];
  backend.id = "i-1";
  CHECK(IsListed(discovered, "i-1"));
  backend.start = WallTime(seconds(20));
  CHECK(IsListed(discovered, session::IncarnationName(backend)));
  CHECK_FALSE(IsListed(discovered, "i-1"));
  CHECK_FALSE(IsListed(discovered, "i-1@10000"));
  CHECK_FALSE(IsListed(discovered, "i-2"));
  discovered["i@3"].id = "i@3";
  CHECK(IsListed(discovered, "i@3"));
}

}  // namespace
}  // namespace juniperway::control
