// What a back end's last answers say of it.
#include "common/forwarding/recent_latency.h"

#include <doctest/doctest.h>

namespace juniperway::forwarding {
namespace {

constexpr Duration kInitial = milliseconds(20);
constexpr Duration kTypical = milliseconds(28);
constexpr Duration kSlow = milliseconds(300);
const MonotonicTime kStart(seconds(100));

// One after the other, each sent when the one before it has ended.
MonotonicTime RecordInTurn(RecentLatency& latency, Duration sample, int count,
                           MonotonicTime sent) {
  for (int i = 0; i < count; ++i) {
    latency.Record(sample, sent, sent + sample);
    sent += sample;
  }
  return sent;
}

TEST_CASE("a back end without samples is taken for what is assumed") {
  CHECK(RecentLatency().Median(kStart, kInitial) == kInitial);
}

TEST_CASE("one pause, or two, does not make a back end slow") {
  RecentLatency latency;
  const MonotonicTime typical = RecordInTurn(latency, kTypical, 5, kStart);
  const MonotonicTime end = RecordInTurn(latency, kSlow, 2, typical);
  CHECK(latency.Median(end, kInitial) == kTypical);
}

TEST_CASE("where answers are rare two of three decide") {
  // Too far apart for five to come within RecentLatency::kFrequentWindow.
  constexpr Duration kInterval = milliseconds(500);
  RecentLatency latency;
  MonotonicTime now = kStart;
  const auto record = [&](Duration sample) {
    latency.Record(sample, now, now + sample);
    now += kInterval;
  };
  for (int i = 0; i < 4; ++i) {
    record(kTypical);
  }
  record(kSlow);
  CHECK(latency.Median(now, kInitial) == kTypical);
  record(kSlow);
  CHECK(latency.Median(now, kInitial) == kSlow);
}

TEST_CASE("all that are under way in a pause count as one") {
  RecentLatency latency;
  const MonotonicTime typical = RecordInTurn(latency, kTypical, 5, kStart);
  for (int i = 0; i < 5; ++i) {
    latency.Record(kSlow, typical + milliseconds(i), typical + kSlow);
  }
  CHECK(latency.Median(typical + kSlow, kInitial) == kTypical);
}

TEST_CASE("a back end that stays slow shows after three answers") {
  RecentLatency latency;
  const MonotonicTime typical = RecordInTurn(latency, kTypical, 5, kStart);
  const MonotonicTime end = RecordInTurn(latency, kSlow, 3, typical);
  CHECK(latency.Median(end, kInitial) == kSlow);
}

TEST_CASE("what is old is forgotten") {
  RecentLatency latency;
  const MonotonicTime end = RecordInTurn(latency, kSlow, 3, kStart);
  CHECK(latency.Median(end, kInitial) == kSlow);
  CHECK(latency.Median(end + RecentLatency::kSampleTimeToLive, kInitial) ==
        kInitial);
}

}  // namespace
}  // namespace juniperway::forwarding
