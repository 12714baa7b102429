#include "lab/soak/evacuator.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "lab/wait.h"

namespace juniperway::lab {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
// Shorter than the pauses of control machines, so that orders are overtaken.
constexpr Duration kShortestPatience = milliseconds(60);
constexpr Duration kLongestPatience = milliseconds(600);
constexpr Duration kOrderLimit = seconds(3);
constexpr Duration kReadTimeout = seconds(1);
constexpr Duration kBetweenReads = milliseconds(60);
constexpr std::uint64_t kMaximumReads = 8;

}  // namespace

SoakEvacuator::SoakEvacuator(SoakShared& shared, std::uint64_t seed)
    : shared_(shared), random_(seed) {}

void SoakEvacuator::Run() {
  while (!shared_.stop) {
    const std::string zone = shared_.zones.at(random_() % shared_.zones.size());
    // Without an answer the next order follows all the same.
    Order(zone, /*evacuated=*/true, kOrderLimit);
    Watch();
    Order(zone, /*evacuated=*/false, kOrderLimit);
    Watch();
  }
}

bool SoakEvacuator::Order(const std::string& zone, bool evacuated,
                          Duration limit) {
  const std::size_t order =
      shared_.recorder.Add(SoakZoneOrder{.zone = zone,
                                         .evacuated = evacuated,
                                         .sent = ReadMonotonicClock(),
                                         .acknowledged = std::nullopt});
  return WaitFor(limit, [&] {
    std::uniform_int_distribution<Duration::rep> patience(
        kShortestPatience.count(), kLongestPatience.count());
    net::HttpClientRequest request;
    request.method = evacuated ? "PUT" : "DELETE";
    request.url = "http://" +
                  shared_.controls.at(random_() % shared_.controls.size()) +
                  "/v1/evacuations/" + zone;
    request.timeout = Duration(patience(random_));
    const auto response = http_.Call(std::move(request));
    const bool taken = response.progress == net::HttpProgress::kAnswered &&
                       response.status == kOk;
    if (taken) {
      shared_.recorder.AcknowledgeZoneOrder(order, ReadMonotonicClock());
    }
    return taken;
  });
}

json SoakEvacuator::List(std::size_t control) {
  const auto response =
      http_.Get("http://" + shared_.controls.at(control) + "/v1/evacuations",
                kReadTimeout);
  if (response.progress != net::HttpProgress::kAnswered ||
      response.status != kOk) {
    return {};
  }
  return json::parse(response.body, nullptr, /*allow_exceptions=*/false);
}

bool SoakEvacuator::AwaitInForce(const std::string& zone, Duration limit) {
  return WaitFor(limit, [&] {
    const json list = List(random_() % shared_.controls.size());
    if (!list.is_object()) {
      return false;
    }
    const json& items = list.at("items");
    return std::ranges::any_of(items, [&](const json& item) {
      return item.value("zone", "") == zone && item.value("daemons", 0U) > 0 &&
             item.value("confirmed", 0U) == item.value("daemons", 0U);
    });
  });
}

bool SoakEvacuator::Read(std::size_t control) {
  SoakZonesRead read;
  read.sent = ReadMonotonicClock();
  const json list = List(control);
  read.ended = ReadMonotonicClock();
  if (!list.is_object()) {
    return false;
  }
  for (const json& item : list.at("items")) {
    read.evacuated.insert(item.value("zone", ""));
  }
  shared_.recorder.Add(std::move(read));
  return true;
}

void SoakEvacuator::Watch() {
  const std::uint64_t reads = 1 + random_() % kMaximumReads;
  for (std::uint64_t i = 0; i < reads && !shared_.stop; ++i) {
    Read(random_() % shared_.controls.size());
    std::this_thread::sleep_for(kBetweenReads);
  }
}

}  // namespace juniperway::lab
