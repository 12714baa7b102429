// Backends of a real router that cut off, double or start their answers again:
// clients get whole answers or failures.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <mutex>
#include <utility>

#include "integration/forwarding/route_fleet.h"

namespace juniperway::test {
namespace {

using Ending = ScriptedAnswer::Ending;

// "all" merges the parts of s1 and s2, "one" passes on the answer of s1.
constexpr const char* kTable = R"({"version": 5, "routes": [
    {"name": "all", "host": "test.example", "path_prefix": "/all/",
     "execution": "repeatable", "timeout_ms": 15000, "target_ms": 10000,
     "maximum_attempts": 2, "scatter": ["s1", "s2"], "top_k": 3,
     "minimum_coverage": 0.5},
    {"name": "one", "host": "test.example", "path_prefix": "/one/",
     "execution": "at_most_once", "timeout_ms": 15000,
     "maximum_attempts": 2, "service": "s1"}],
    "services": [{"name": "s1", "maximum_connections": 100},
                 {"name": "s2", "maximum_connections": 100}]})";

// Two records each; all of b1 are greater than those of b2.
const std::string kBodyOf1 = "z1..............z0..............";
const std::string kBodyOf2 = "c1..............c0..............";
const std::string kMerged = "z1..............z0..............c1..............";

std::string Answer(const std::string& framing, const std::string& backend,
                   const std::string& request_id, const std::string& body) {
  const std::string head = fmt::format(
      "HTTP/1.1 200 OK\r\nX-Signature: {0}/{1}\r\nX-Request-Id: {1}\r\n",
      backend, request_id);
  if (framing == "length") {
    return head + fmt::format("Content-Length: {}\r\n\r\n", body.size()) + body;
  }
  if (framing == "chunked") {
    return head + fmt::format(
                      "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n"
                      "0\r\n\r\n",
                      body.size(), body);
  }
  return head + "\r\n" + body;
}

// What a backend makes of a whole answer.
using Spoiling = std::function<ScriptedAnswer(const std::string& whole)>;

// A fleet whose backend b1 spoils its answers; b2 does not.
class SpoilingFleet {
 public:
  SpoilingFleet() : fleet_(1) {
    fleet_.AddScriptedBackend("b1", "s1", [this](const std::string& head) {
      const std::lock_guard lock(mutex_);
      const std::string id = FieldOf(head, "X-Request-Id");
      return spoiling_(Answer(framing_, "b1", id, kBodyOf1));
    });
    fleet_.AddScriptedBackend("b2", "s2", [](const std::string& head) {
      const std::string id = FieldOf(head, "X-Request-Id");
      return ScriptedAnswer{Answer("length", "b2", id, kBodyOf2),
                            Ending::kKeep};
    });
    SetSpoiling("length", [](const std::string& whole) {
      return ScriptedAnswer{whole, Ending::kKeep};
    });
    REQUIRE(fleet_.PutTable(kTable) == 200);
    REQUIRE(fleet_.AwaitStatus("/one/x", 200));
    REQUIRE(fleet_.AwaitStatus("/all/x", 200));
  }

  // Spoils the answers to a request on each route, whose clients must get whole
  // answers or failures. Then b1 is in use again.
  void CheckSpoiled(const std::string& framing, const Spoiling& spoiling) {
    const int spoiled_before = spoiled_;
    SetSpoiling(framing, [this, &spoiling](const std::string& whole) {
      ++spoiled_;
      return spoiling(whole);
    });
    CheckClients();
    SetSpoiling("length", [](const std::string& whole) {
      return ScriptedAnswer{whole, Ending::kKeep};
    });
    CHECK(spoiled_ > spoiled_before);
    CHECK(fleet_.AwaitStatus("/one/x", 200));
  }

  // Answers of b1 that clients got.
  int whole() const { return whole_; }

 private:
  void SetSpoiling(const std::string& framing, Spoiling spoiling) {
    const std::lock_guard lock(mutex_);
    framing_ = framing;
    spoiling_ = std::move(spoiling);
  }

  void CheckClients() {
    const std::string id = fmt::format("request-{}", ++requests_);
    const auto one = fleet_.Request("/one/x", id);
    if (one.status == 200) {
      CHECK(one.headers.at("x-signature") == "b1/" + id);
      CHECK(one.body == kBodyOf1);
      ++whole_;
    }
    const auto all = fleet_.Request("/all/x", id);
    if (all.status == 200) {
      const std::string& parts = all.headers.at("x-shard-signatures");
      const bool both = parts == fmt::format("b1/{0}, b2/{0}", id);
      CHECK((both || parts == "b2/" + id));
      CHECK(all.headers.at("x-missing-shards") == (both ? "0" : "1"));
      CHECK(all.body == (both ? kMerged : kBodyOf2));
    }
  }

  // Guards what the script of b1, on the fleet's thread, uses.
  std::mutex mutex_;
  std::string framing_;
  Spoiling spoiling_;
  // Read by the test's thread only while no answer is spoiled.
  int spoiled_ = 0;
  int requests_ = 0;
  int whole_ = 0;
  RouteFleet fleet_;
};

constexpr const char* kFramings[] = {"length", "chunked", "until_close"};
// The head of an answer has some 80 bytes, its body 32.
constexpr std::size_t kCutStep = 7;
constexpr std::size_t kMaximumCut = 140;

TEST_CASE("an answer that is cut off never reaches a client as whole") {
  SpoilingFleet fleet;
  for (const char* framing : kFramings) {
    for (std::size_t cut = 1; cut < kMaximumCut; cut += kCutStep) {
      INFO(std::string(framing));
      CAPTURE(cut);
      fleet.CheckSpoiled(framing, [cut](const std::string& whole) {
        // Without a length, a cut in the body can't be told from its end.
        const std::size_t head = whole.find("\r\n\r\n") + 4;
        const bool has_length =
            whole.find("Content-Length") < head || whole.find("chunked") < head;
        const std::size_t most = has_length ? whole.size() : head;
        return ScriptedAnswer{whole.substr(0, std::min(cut, most - 1)),
                              Ending::kClose};
      });
    }
  }
}

TEST_CASE("an answer that is started again never reaches a client as whole") {
  SpoilingFleet fleet;
  for (const char* framing : kFramings) {
    for (std::size_t cut = 1; cut < kMaximumCut; cut += kCutStep) {
      INFO(std::string(framing));
      CAPTURE(cut);
      fleet.CheckSpoiled(framing, [cut](const std::string& whole) {
        return ScriptedAnswer{whole.substr(0, cut) + whole, Ending::kClose};
      });
    }
  }
}

TEST_CASE(
    "a second answer is no part of the first, and takes nothing from it") {
  SpoilingFleet fleet;
  for (const char* framing : kFramings) {
    const int whole_before = fleet.whole();
    fleet.CheckSpoiled(framing, [](const std::string& whole) {
      return ScriptedAnswer{whole + whole, Ending::kClose};
    });
    const bool has_end = std::string_view(framing) != "until_close";
    CHECK(fleet.whole() - whole_before == (has_end ? 1 : 0));
  }
}

}  // namespace
}  // namespace juniperway::test
