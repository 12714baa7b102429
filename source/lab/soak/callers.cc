#include "lab/soak/callers.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <utility>

#include "lab/wait.h"

namespace juniperway::lab {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr Duration kDeadline = seconds(2);
constexpr Duration kCallerTimeout = seconds(4);
constexpr Duration kBetweenRequests = milliseconds(4);
constexpr Duration kBetweenChanges = milliseconds(300);
constexpr Duration kWriteLimit = seconds(8);
constexpr Duration kControlTimeout = seconds(1);
constexpr const char* kHost = "soak.example";

json Route(const std::string& name, const std::string& execution) {
  return {{"name", name},
          {"host", kHost},
          {"path_prefix", "/" + name + "/"},
          {"execution", execution},
          {"timeout_ms", 1500},
          {"target_ms", 250},
          {"maximum_attempts", 2},
          {"priority", 1}};
}

std::string HeaderOf(const net::HttpClientResponse& response,
                     const std::string& name) {
  const auto found = response.headers.find(name);
  return found == response.headers.end() ? "" : found->second;
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  std::string item;
  while (std::getline(stream, item, ',')) {
    items.push_back(item.substr(item.find_first_not_of(' ')));
  }
  return items;
}

}  // namespace

std::vector<std::string> SoakServices() { return {"s0", "s1", "s2", "s3"}; }

std::set<std::string> SoakShardsOf(std::uint64_t version) {
  return version % 2 == 0 ? std::set<std::string>{"s1", "s2", "s3"}
                          : std::set<std::string>{"s0", "s1", "s2"};
}

std::string SoakTable(std::uint64_t version, int variant) {
  json routes = json::array();
  routes.push_back(Route("once", "at_most_once"));
  routes.back()["service"] = variant == 0 ? "s0" : "s3";
  routes.push_back(Route("again", "repeatable"));
  routes.back()["service"] = "s1";
  routes.push_back(Route("all", "repeatable"));
  routes.back()["scatter"] = SoakShardsOf(version);
  routes.back()["top_k"] = kSoakTopK;
  routes.back()["minimum_coverage"] = 0.6;
  for (std::uint64_t i = 0; i < kSoakNamedVersions && i < version; ++i) {
    routes.push_back(Route(fmt::format("v{}", version - i), "repeatable"));
    routes.back()["service"] = "s2";
  }
  json services = json::array();
  for (const std::string& service : SoakServices()) {
    services.push_back({{"name", service}, {"maximum_connections", 40}});
  }
  return json{{"version", version}, {"routes", routes}, {"services", services}}
      .dump();
}

// --- Caller ------------------------------------------------------------------

SoakCaller::SoakCaller(SoakShared& shared, int number, std::uint64_t seed)
    : shared_(shared), number_(number), random_(seed) {}

void SoakCaller::Run() {
  constexpr int kKinds = 4;
  while (!shared_.stop) {
    const std::size_t router = random_() % shared_.routers.size();
    const auto kind = static_cast<SoakRequestKind>(random_() % kKinds);
    const std::uint64_t back = random_() % (2 * kSoakNamedVersions);
    const std::uint64_t newest = shared_.newest_version;
    Ask(router, kind, newest > back ? newest - back : 1);
    std::this_thread::sleep_for(kBetweenRequests);
  }
}

std::string SoakCaller::TargetOf(SoakRequestKind kind,
                                 std::uint64_t version) const {
  const std::string rest = fmt::format("{}", next_request_);
  switch (kind) {
    case SoakRequestKind::kOnce:
      return "/once/" + rest;
    case SoakRequestKind::kRepeatable:
      return "/again/" + rest;
    case SoakRequestKind::kScatter:
      return "/all/" + rest;
    case SoakRequestKind::kVersion:
      return fmt::format("/v{}/{}", version, rest);
  }
  return "/";
}

int SoakCaller::Ask(std::size_t router, SoakRequestKind kind,
                    std::uint64_t version) {
  SoakExchange exchange;
  exchange.kind = kind;
  exchange.request_id = fmt::format("r{}-{}", number_, ++next_request_);
  exchange.router = shared_.routers.at(router);
  exchange.version = version;
  const std::uint64_t life = shared_.router_lives.at(router);
  net::HttpClientRequest request;
  request.url = "http://" + exchange.router + "/";
  request.target = TargetOf(kind, version);
  request.headers = {
      {"Host", kHost},
      {"X-Request-Id", exchange.request_id},
      {"X-Deadline-Ms", std::to_string(ToMilliseconds(kDeadline))}};
  request.timeout = kCallerTimeout;
  exchange.sent = ReadMonotonicClock();
  const net::HttpClientResponse response = http_.Call(std::move(request));
  exchange.ended = ReadMonotonicClock();
  const bool answered = response.progress == net::HttpProgress::kAnswered;
  exchange.status = answered ? response.status : 0;
  exchange.body = response.body;
  const bool scatter = kind == SoakRequestKind::kScatter;
  exchange.signatures = SplitList(
      HeaderOf(response, scatter ? "x-shard-signatures" : "x-signature"));
  exchange.missing =
      std::strtoul(HeaderOf(response, "x-missing-shards").c_str(), nullptr, 10);
  const bool crossed_restart =
      life % 2 != 0 || life != shared_.router_lives.at(router);
  // A life of its own: it is compared with no other request.
  exchange.life =
      crossed_restart ? (1ULL << 63) + (next_request_ << 8) + number_ : life;
  const int status = exchange.status;
  shared_.recorder.Add(std::move(exchange));
  return status;
}

// --- Operator ----------------------------------------------------------------

SoakOperator::SoakOperator(SoakShared& shared, std::uint64_t seed)
    : shared_(shared), random_(seed) {}

void SoakOperator::Run() {
  constexpr int kRaceEvery = 5;
  constexpr int kResendEvery = 4;
  std::uint64_t version = shared_.newest_version;
  while (!shared_.stop) {
    version += 1 + random_() % 2;
    const int variant = static_cast<int>(random_() % 2);
    Write(version, variant, kWriteLimit);
    if (random_() % kRaceEvery == 0) {
      Write(version, 1 - variant, kWriteLimit);
    }
    if (random_() % kResendEvery == 0) {
      Write(version, variant, kWriteLimit);
    }
    Read(random_() % shared_.controls.size());
    std::this_thread::sleep_for(kBetweenChanges);
  }
}

bool SoakOperator::Write(std::uint64_t version, int variant, Duration limit) {
  const std::string table = SoakTable(version, variant);
  const std::size_t write = shared_.recorder.Add(
      SoakWrite{version, table, SoakShardsOf(version), std::nullopt});
  if (version > shared_.newest_version) {
    shared_.newest_version = version;
  }
  return WaitFor(limit, [&] {
    const std::size_t control = random_() % shared_.controls.size();
    const auto response =
        http_.Post("http://" + shared_.controls.at(control) + "/v1/route-table",
                   table, kControlTimeout);
    const bool taken = response.progress == net::HttpProgress::kAnswered &&
                       response.status == kOk;
    if (taken) {
      shared_.recorder.Acknowledge(write, ReadMonotonicClock());
    }
    return taken;
  });
}

bool SoakOperator::Read(std::size_t control) {
  SoakRead read;
  read.sent = ReadMonotonicClock();
  const auto response =
      http_.Get("http://" + shared_.controls.at(control) + "/v1/route-table",
                kControlTimeout);
  if (response.progress != net::HttpProgress::kAnswered ||
      response.status != kOk) {
    return false;
  }
  const json table = json::parse(response.body, nullptr,
                                 /*allow_exceptions=*/false);
  read.version = table.is_object() ? table.value("version", 0ULL) : 0;
  read.table = response.body;
  if (read.version == 0) {
    return false;  // None was acknowledged yet.
  }
  shared_.recorder.Add(std::move(read));
  return true;
}

}  // namespace juniperway::lab
