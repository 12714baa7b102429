// Tests which requests crashes are attributed to, and when they are quarantined
// or released.
#include "common/control/crash_attribution.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

namespace juniperway::control {
namespace {

using Requests = std::vector<RequestFingerprint>;

constexpr MonotonicTime kStart{seconds(100)};
constexpr auto kNotListed = [](const std::string&) { return false; };
constexpr auto kListed = [](const std::string&) { return true; };

CrashRecord Record(std::set<std::string> ended, bool quarantined = false) {
  return {.ended_backends = std::move(ended), .quarantined = quarantined};
}

TEST_CASE("a request needs three crashed backends that no other one explains") {
  CHECK(AttributeCrashes({{{1}, Record({"a", "b"})}}).empty());
  CHECK(AttributeCrashes({{{1}, Record({"a", "b", "c"})}}) == Requests{{1}});
}

TEST_CASE(
    "crashes are not attributed to a request that ran beside the crashing "
    "one") {
  const CrashRecords records = {
      {{1}, Record({"a", "b", "c"})},
      {{2}, Record({"a", "b", "c", "d", "e"})},
      {{3}, Record({"c", "d", "e", "x", "y"})},
  };
  // The third request has only two backends that the second does not explain.
  CHECK(AttributeCrashes(records) == Requests{{2}});
}

TEST_CASE("two crashing requests are both found") {
  const CrashRecords records = {
      {{1}, Record({"a", "b", "c", "d"})},
      {{2}, Record({"e", "f", "g", "d"})},
      {{3}, Record({"a", "b", "e", "f"})},
  };
  CHECK(AttributeCrashes(records) == Requests{{1}, {2}});
}

TEST_CASE("a quarantined request explains later crashes at once") {
  const CrashRecords records = {
      {{1}, Record({"a", "b", "c"}, /*quarantined=*/true)},
      {{2}, Record({"a", "b", "c", "d"})},
  };
  CHECK(AttributeCrashes(records).empty());
}

TEST_CASE("a quarantine waits for the evidence of other routers") {
  CrashJudge judge;
  CrashRecords records = {{{1}, Record({"a", "b", "c"})}};
  CHECK(judge.Judge(records, kNotListed, kStart).empty());
  // New evidence arrives for another request, which explains more crashes.
  const MonotonicTime later = kStart + CrashJudge::kEvidenceDelay;
  records[{2}] = Record({"a", "b", "c", "d"});
  CHECK(judge.Judge(records, kNotListed, later).empty());
  const auto judgement =
      judge.Judge(records, kNotListed, later + CrashJudge::kEvidenceDelay);
  CHECK(judgement.quarantine == Requests{{2}});
  CHECK(judgement.release.empty());
}

TEST_CASE("a request whose backends are still listed is released") {
  CrashJudge judge;
  CrashRecords records = {
      {{1}, Record({"a", "b", "c"}, /*quarantined=*/true)},
      {{2}, Record({"d"})},
  };
  CHECK(judge.Judge(records, kListed, kStart).empty());
  const MonotonicTime later = kStart + CrashJudge::kDiscoveryRemovalDelay;
  CHECK(judge.Judge(records, kListed, later).release == Requests{{1}, {2}});
  CHECK(judge.Judge(records, kNotListed, later).empty());
}

// In each wave a scatter crashes one backend of each shard while other requests
// run there. Routers report the crashes of all of them.
TEST_CASE(
    "crashes are not attributed to innocent requests that ran beside a "
    "scatter") {
  constexpr int kShards = 10;
  constexpr int kOthers = 40;
  constexpr std::uint64_t kFatal = 1000;
  constexpr std::uint64_t kSeeds = 1000;
  std::ptrdiff_t attributed_by_count = 0;
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
    const Requests attributed = AttributeCrashes(records);
    CHECK(attributed == (same == 1 ? Requests{{kFatal}} : Requests{}));
    attributed_by_count +=
        std::ranges::count_if(records, [](const auto& entry) {
          return entry.second.ended_backends.size() >=
                 kMinimumUnexplainedBackends;
        });
  }
  // For comparison, attributes crashes by the number of crashed backends alone.
  MESSAGE("attributed by count: ", attributed_by_count, " requests in ", kSeeds,
          " waves of ", kOthers + 1);
  CHECK(attributed_by_count >
        static_cast<std::ptrdiff_t>(kSeeds) * kOthers / 2);
}

TEST_CASE(
    "the next attempt distinguishes requests with the same crashed backends") {
  CrashRecords records = {
      {{1}, Record({"a", "b", "c"})},
      {{2}, Record({"a", "b", "c"})},
  };
  CHECK(AttributeCrashes(records).empty());
  records[{2}].ended_backends.insert("d");
  CHECK(AttributeCrashes(records) == Requests{{2}});
}

TEST_CASE("a later incarnation of a backend does not count as the listed one") {
  // If the later incarnation counted as the listed one, a request that crashes
  // one backend three times would be released while the restarted backend is on
  // the list.
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
