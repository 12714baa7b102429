// Tests the median of the latest latencies of a backend.
#include "common/forwarding/recent_latency.h"

#include <doctest/doctest.h>

namespace juniperway::forwarding {
namespace {

constexpr Duration kInitial = milliseconds(20);
constexpr Duration kTypical = milliseconds(28);
constexpr Duration kSlow = milliseconds(300);
const MonotonicTime kStart(seconds(100));

// Records `count` samples, each attempt sent when the one before it ended.
// @return when the last attempt ended.
MonotonicTime RecordInTurn(RecentLatency& latency, Duration sample, int count,
                           MonotonicTime sent) {
  for (int i = 0; i < count; ++i) {
    latency.Record(sample, sent, sent + sample);
    sent += sample;
  }
  return sent;
}

TEST_CASE("without samples the median is the assumed latency") {
  CHECK(RecentLatency().Median(kStart, kInitial) == kInitial);
}

TEST_CASE("one or two slow samples do not change the median") {
  RecentLatency latency;
  const MonotonicTime typical = RecordInTurn(latency, kTypical, 5, kStart);
  const MonotonicTime end = RecordInTurn(latency, kSlow, 2, typical);
  CHECK(latency.Median(end, kInitial) == kTypical);
}

TEST_CASE("with rare answers two of three slow samples change the median") {
  // The interval is too long for five samples within
  // RecentLatency::kFrequentWindow.
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

TEST_CASE("all attempts in flight during one pause count as one sample") {
  RecentLatency latency;
  const MonotonicTime typical = RecordInTurn(latency, kTypical, 5, kStart);
  for (int i = 0; i < 5; ++i) {
    latency.Record(kSlow, typical + milliseconds(i), typical + kSlow);
  }
  CHECK(latency.Median(typical + kSlow, kInitial) == kTypical);
}

TEST_CASE("three slow samples change the median") {
  RecentLatency latency;
  const MonotonicTime typical = RecordInTurn(latency, kTypical, 5, kStart);
  const MonotonicTime end = RecordInTurn(latency, kSlow, 3, typical);
  CHECK(latency.Median(end, kInitial) == kSlow);
}

TEST_CASE("samples expire") {
  RecentLatency latency;
  const MonotonicTime end = RecordInTurn(latency, kSlow, 3, kStart);
  CHECK(latency.Median(end, kInitial) == kSlow);
  CHECK(latency.Median(end + RecentLatency::kSampleTimeToLive, kInitial) ==
        kInitial);
}

}  // namespace
}  // namespace juniperway::forwarding
