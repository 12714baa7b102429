// Each promise of a soak's history, kept and broken.
#include "lab/soak/history.h"

#include <doctest/doctest.h>

namespace juniperway::lab {
namespace {

MonotonicTime At(int second) { return MonotonicTime(seconds(second)); }

std::string WholeBody(const std::string& service) {
  std::string body;
  for (std::size_t i = 0; i < kSoakRecordsOfShard; ++i) {
    body += SoakRecord(service, i);
  }
  return body;
}

SoakExchange Single(const std::string& id, SoakRequestKind kind) {
  SoakExchange exchange;
  exchange.kind = kind;
  exchange.request_id = id;
  exchange.router = "router-0";
  exchange.sent = At(10);
  exchange.ended = At(11);
  exchange.status = 200;
  exchange.signatures = {"s1-0/" + id};
  exchange.body = WholeBody("s1");
  return exchange;
}

SoakExchange Version(std::uint64_t version, int sent, int ended) {
  SoakExchange exchange =
      Single("v" + std::to_string(version), SoakRequestKind::kVersion);
  exchange.version = version;
  exchange.sent = At(sent);
  exchange.ended = At(ended);
  return exchange;
}

// Kept: one request of each kind, a table that was sent and read back.
SoakHistory Kept() {
  SoakHistory history;
  history.writes = {{5, "table 5", {"s1", "s2"}, At(5)}};
  history.reads = {{At(6), 5, "table 5"}};
  history.exchanges = {Single("a", SoakRequestKind::kOnce)};
  SoakExchange scatter = Single("b", SoakRequestKind::kScatter);
  scatter.signatures = {"s1-0/b", "s2-1/b"};
  scatter.body = SoakRecord("s2", 2) + SoakRecord("s2", 1) +
                 SoakRecord("s2", 0) + SoakRecord("s1", 2);
  history.exchanges.push_back(scatter);
  history.runs = {{"a", "s1-0", "s1"}, {"b", "s1-0", "s1"}};
  return history;
}

TEST_CASE("a history that keeps everything has no fault") {
  CHECK(CheckSoak(Kept()).empty());
}

TEST_CASE("each broken promise is found") {
  SoakHistory history = Kept();
  SoakExchange& once = history.exchanges[0];
  SoakExchange& scatter = history.exchanges[1];
  SUBCASE("run twice") { history.runs.push_back({"a", "s1-1", "s1"}); }
  SUBCASE("refused, and run") { once.status = 503; }
  SUBCASE("another request's answer") { once.signatures = {"s1-0/c"}; }
  SUBCASE("a body that is cut") { once.body.pop_back(); }
  SUBCASE("two parts of one shard") {
    scatter.signatures = {"s1-0/b", "s1-1/b"};
  }
  SUBCASE("a shard too many") { scatter.missing = 1; }
  SUBCASE("records of a shard that is not in") {
    scatter.signatures = {"s1-0/b"};
    scatter.missing = 1;
  }
  SUBCASE("run, and sent by nobody") {
    history.runs.push_back({"z", "s1-0", "s1"});
  }
  SUBCASE("read back as nobody sent it") { history.reads[0].table = "other"; }
  SUBCASE("two contents of one version") {
    history.writes.push_back({5, "other", {}, std::nullopt});
    history.reads.push_back({At(7), 5, "other"});
  }
  SUBCASE("read back older than acknowledged") {
    history.writes.push_back({6, "table 6", {}, At(5)});
  }
  SUBCASE("a zone in use after its evacuation was acknowledged") {
    history.zone_orders = {{"z0", true, At(1), At(2)}};
    history.zones_reads = {{At(3), At(4), {}}};
  }
  SUBCASE("run in a zone that every router has evacuated") {
    history.runs.front().zone = "z0";
    history.runs.front().began = At(11);
    history.quiet_times = {{"z0", At(10), At(12)}};
  }
  SUBCASE("a zone evacuated after its return was acknowledged") {
    history.zone_orders = {{"z0", false, At(1), At(2)}};
    history.zones_reads = {{At(3), At(4), {"z0"}}};
  }
  CHECK_FALSE(CheckSoak(history).empty());
}

TEST_CASE("a zone may be either while an order on it is not acknowledged") {
  SoakHistory history;
  history.zone_orders = {{"z0", true, At(1), At(2)},
                         {"z0", false, At(4), std::nullopt}};
  history.zones_reads = {
      {At(3), At(3), {"z0"}}, {At(3), At(5), {}}, {At(5), At(6), {"z0"}}};
  CHECK(CheckSoak(history).empty());
}

TEST_CASE("a router may not go back by more than the tables that name it") {
  SoakHistory history;
  history.exchanges = {Version(9, 10, 11), Version(7, 12, 13)};
  CHECK(CheckSoak(history).empty());
  history.exchanges.push_back(Version(6, 14, 15));
  CHECK(CheckSoak(history).size() == 1);
}

TEST_CASE("what crossed, or a new life, is no step back") {
  SoakHistory history;
  history.exchanges = {Version(9, 10, 13), Version(6, 12, 14)};
  CHECK(CheckSoak(history).empty());
  SoakExchange reborn = Version(5, 20, 21);
  reborn.life = 1;
  history.exchanges.push_back(reborn);
  CHECK(CheckSoak(history).empty());
}

}  // namespace
}  // namespace juniperway::lab
