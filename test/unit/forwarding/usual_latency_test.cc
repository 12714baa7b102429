// The latency that stands for back ends which have not answered.
#include "common/forwarding/usual_latency.h"

#include <doctest/doctest.h>

#include <random>

namespace juniperway::forwarding {
namespace {

void RecordMany(UsualLatency& usual, Duration latency, int count) {
  for (int i = 0; i < count; ++i) {
    usual.Record(latency);
  }
}

TEST_CASE("without a sample nothing is usual") {
  CHECK_FALSE(UsualLatency().Get());
}

TEST_CASE("the first sample is usual") {
  UsualLatency usual;
  usual.Record(milliseconds(28));
  CHECK(usual.Get() == milliseconds(28));
}

TEST_CASE("it settles near the lowest quarter of what it sees") {
  UsualLatency usual;
  std::mt19937_64 random(1);
  std::uniform_int_distribution<int> latency_ms(100, 200);
  for (int i = 0; i < 2000; ++i) {
    usual.Record(milliseconds(latency_ms(random)));
  }
  CHECK(usual.Get() > milliseconds(110));
  CHECK(usual.Get() < milliseconds(145));
}

TEST_CASE("some slow answers hardly move it, many do") {
  UsualLatency usual;
  RecordMany(usual, milliseconds(28), 100);
  RecordMany(usual, milliseconds(112), 10);
  CHECK(usual.Get() < milliseconds(35));
  RecordMany(usual, milliseconds(112), 500);
  CHECK(usual.Get() > milliseconds(90));
}

TEST_CASE("answers that take no time do not stop it from growing again") {
  UsualLatency usual;
  RecordMany(usual, Duration(0), 1000);
  RecordMany(usual, milliseconds(28), 1000);
  CHECK(usual.Get() > milliseconds(20));
}

}  // namespace
}  // namespace juniperway::forwarding
