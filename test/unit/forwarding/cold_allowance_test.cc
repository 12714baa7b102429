// Tests that all routers together stay below the request rate of a cold
// backend.
#include "common/forwarding/cold_allowance.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

namespace juniperway::forwarding {
namespace {

std::vector<std::string> Routers(int count, int first = 0) {
  std::vector<std::string> names;
  for (int i = first; i < first + count; ++i) {
    names.push_back("router-" + std::to_string(i));
  }
  return names;
}

// Returns the maximum number of requests in any second. `times` is sorted.
std::size_t MaximumPerSecond(const std::vector<MonotonicTime>& times) {
  std::size_t maximum = 0;
  std::size_t begin = 0;
  for (std::size_t end = 0; end < times.size(); ++end) {
    while (times[end] - times[begin] > seconds(1)) {
      ++begin;
    }
    maximum = std::max(maximum, end - begin + 1);
  }
  return maximum;
}

// Mean interval between the moments at which a router tries to send.
constexpr std::uint64_t kMeanSendIntervalMs = 20;

// Lets every router send as often as it may for five seconds, at random times.
// @param views the routers that each router knows of.
// @return the maximum number of requests in any second.
std::size_t SendAtMaximumRate(
    const std::map<std::string, std::vector<std::string>>& views,
    const std::string& backend, double rate) {
  struct Router {
    ColdShare share;
    ColdAllowance allowance;
  };
  std::vector<Router> routers;
  routers.reserve(views.size());
  for (const auto& [router, known] : views) {
    routers.push_back({ColdShareOf(router, known, backend, rate), {}});
  }
  std::mt19937_64 random(7);
  std::vector<MonotonicTime> sent;
  for (MonotonicTime now{seconds(100)}; now < MonotonicTime{seconds(105)};
       now += milliseconds(1)) {
    for (auto& [share, allowance] : routers) {
      if (random() % kMeanSendIntervalMs == 0 &&
          allowance.MaySend(share, now)) {
        allowance.OnSent(share, now);
        sent.push_back(now);
      }
    }
  }
  return MaximumPerSecond(sent);
}

// The backend must accept 1.5 times its rate and five requests more, to cover
// routers with different views.
double Bound(double rate) { return 1.5 * rate + 5; }

TEST_CASE("all routers together stay below the rate of a cold backend") {
  for (const int count : {1, 60, 300}) {
    for (const double rate : {0.3, 1.0, 6.0, 40.0, 900.0}) {
      CAPTURE(count);
      CAPTURE(rate);
      const auto names = Routers(count);
      std::map<std::string, std::vector<std::string>> views;
      for (const std::string& name : names) {
        views[name] = names;
      }
      const std::size_t maximum = SendAtMaximumRate(views, "i-1", rate);
      CHECK(static_cast<double>(maximum) <= std::max(1.0, rate));
      // The routers use most of the rate, unless they try to send less.
      const double attempted = count * 1000.0 / kMeanSendIntervalMs * 0.8;
      CHECK(static_cast<double>(maximum) >=
            std::min(std::floor(rate * 0.4), attempted));
    }
  }
}

TEST_CASE("routers with different views stay below the bound") {
  for (const int count : {60, 300}) {
    for (const double rate : {1.0, 6.0, 20.0}) {
      CAPTURE(count);
      CAPTURE(rate);
      std::mt19937_64 random(static_cast<std::uint64_t>(count));
      const auto names = Routers(count);
      std::map<std::string, std::vector<std::string>> views;
      for (const std::string& name : names) {
        // A tenth of the routers joined or left a moment ago: some routers know
        // of them, others do not.
        std::vector<std::string> known = Routers(count * 9 / 10);
        for (const std::string& other : Routers(count / 10, count * 9 / 10)) {
          if (other == name || random() % 2 == 0) {
            known.push_back(other);
          }
        }
        views[name] = known;
      }
      CHECK(static_cast<double>(SendAtMaximumRate(views, "i-1", rate)) <=
            Bound(rate));
    }
  }
}

TEST_CASE("a router that the others do not know sends nothing") {
  CHECK(ColdShareOf("new", Routers(3), "i-1", 50) == ColdShare());
}

TEST_CASE("different backends select different routers") {
  const auto names = Routers(60);
  std::size_t busiest = 0;
  for (const std::string& name : names) {
    std::size_t selected = 0;
    for (int backend = 0; backend < 60; ++backend) {
      const auto share =
          ColdShareOf(name, names, "i-" + std::to_string(backend), 1);
      selected += share.requests;
    }
    busiest = std::max(busiest, selected);
  }
  CHECK(busiest <= 6);
}

}  // namespace
}  // namespace juniperway::forwarding
