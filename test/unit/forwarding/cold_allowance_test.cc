// What all routers together send to one cold back end.
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

// The most requests in any second, of times in order.
std::size_t MostInOneSecond(const std::vector<MonotonicTime>& times) {
  std::size_t most = 0;
  std::size_t begin = 0;
  for (std::size_t end = 0; end < times.size(); ++end) {
    while (times[end] - times[begin] > seconds(1)) {
      ++begin;
    }
    most = std::max(most, end - begin + 1);
  }
  return most;
}

// A router tries to send at one millisecond of so many.
constexpr std::uint64_t kTriesApart = 20;

// Every router sends as often as it may for some seconds, at moments of its
// own.
// @param views which routers each one knows of.
std::size_t Flood(const std::map<std::string, std::vector<std::string>>& views,
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
      if (random() % kTriesApart == 0 && allowance.MaySend(share, now)) {
        allowance.OnSent(share, now);
        sent.push_back(now);
      }
    }
  }
  return MostInOneSecond(sent);
}

// As users bound it: half more than the rate, and five requests.
double Bound(double rate) { return 1.5 * rate + 5; }

TEST_CASE("all routers together stay under the rate of a cold back end") {
  for (const int count : {1, 60, 300}) {
    for (const double rate : {0.3, 1.0, 6.0, 40.0, 900.0}) {
      CAPTURE(count);
      CAPTURE(rate);
      const auto names = Routers(count);
      std::map<std::string, std::vector<std::string>> views;
      for (const std::string& name : names) {
        views[name] = names;
      }
      const std::size_t most = Flood(views, "i-1", rate);
      CHECK(static_cast<double>(most) <= std::max(1.0, rate));
      // Nor do they leave much of it unused, as far as they try.
      const double tried = count * 1000.0 / kTriesApart * 0.8;
      CHECK(static_cast<double>(most) >=
            std::min(std::floor(rate * 0.4), tried));
    }
  }
}

TEST_CASE("routers that know of different routers stay under the bound") {
  for (const int count : {60, 300}) {
    for (const double rate : {1.0, 6.0, 20.0}) {
      CAPTURE(count);
      CAPTURE(rate);
      std::mt19937_64 random(static_cast<std::uint64_t>(count));
      const auto names = Routers(count);
      std::map<std::string, std::vector<std::string>> views;
      for (const std::string& name : names) {
        // A tenth joined or left a moment ago: some know, others do not.
        std::vector<std::string> known = Routers(count * 9 / 10);
        for (const std::string& other : Routers(count / 10, count * 9 / 10)) {
          if (other == name || random() % 2 == 0) {
            known.push_back(other);
          }
        }
        views[name] = known;
      }
      CHECK(static_cast<double>(Flood(views, "i-1", rate)) <= Bound(rate));
    }
  }
}

TEST_CASE("a router that the others do not know sends nothing") {
  CHECK(ColdShareOf("new", Routers(3), "i-1", 50) == ColdShare());
}

TEST_CASE("back ends draw different routers") {
  const auto names = Routers(60);
  std::size_t busiest = 0;
  for (const std::string& name : names) {
    std::size_t drawn = 0;
    for (int backend = 0; backend < 60; ++backend) {
      const auto share =
          ColdShareOf(name, names, "i-" + std::to_string(backend), 1);
      drawn += share.requests;
    }
    busiest = std::max(busiest, drawn);
  }
  CHECK(busiest <= 6);
}

}  // namespace
}  // namespace juniperway::forwarding
