// Tests the estimate of the typical latency of a service.
#include "common/forwarding/typical_latency.h"

#include <doctest/doctest.h>

#include <random>

namespace juniperway::forwarding {
namespace {

void RecordMany(TypicalLatency& typical, Duration latency, int count) {
  for (int i = 0; i < count; ++i) {
    typical.Record(latency);
  }
}

TEST_CASE("without a sample there is no estimate") {
  CHECK_FALSE(TypicalLatency().Get());
}

TEST_CASE("the first sample is the estimate") {
  TypicalLatency typical;
  typical.Record(milliseconds(28));
  CHECK(typical.Get() == milliseconds(28));
}

TEST_CASE("the estimate converges to the first quartile of the samples") {
  TypicalLatency typical;
  std::mt19937_64 random(1);
  std::uniform_int_distribution<int> latency_ms(100, 200);
  for (int i = 0; i < 2000; ++i) {
    typical.Record(milliseconds(latency_ms(random)));
  }
  CHECK(typical.Get() > milliseconds(110));
  CHECK(typical.Get() < milliseconds(145));
}

TEST_CASE("some slow answers hardly change the estimate, many do") {
  TypicalLatency typical;
  RecordMany(typical, milliseconds(28), 100);
  RecordMany(typical, milliseconds(112), 10);
  CHECK(typical.Get() < milliseconds(35));
  RecordMany(typical, milliseconds(112), 500);
  CHECK(typical.Get() > milliseconds(90));
}

TEST_CASE("the estimate can grow again after latencies of zero") {
  TypicalLatency typical;
  RecordMany(typical, Duration(0), 1000);
  RecordMany(typical, milliseconds(28), 1000);
  CHECK(typical.Get() > milliseconds(20));
}

}  // namespace
}  // namespace juniperway::forwarding
