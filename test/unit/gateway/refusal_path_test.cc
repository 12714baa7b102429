// Refusals over the whole path: what each says of the execution, against what
// the back ends began; when to come back; that it is not held back. And the
// requests that run at most once.
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "common/net/address.h"
#include "support/event_loop.h"
#include "support/in_process_fleet.h"

namespace juniperway::test {
namespace {

using nlohmann::json;

constexpr Duration kLongDeadline = seconds(10);

CallerRequest LongRequest() {
  CallerRequest request;
  request.headers = {
      {"X-Deadline-Ms", std::to_string(ToMilliseconds(kLongDeadline))}};
  return request;
}

void SetBehaviour(InProcessFleet& fleet, const lab::Behaviour& behaviour) {
  fleet.ForEachBackend([&](lab::BackendServer& backend) {
    backend.model().SetBehaviour(behaviour, ReadMonotonicClock());
  });
}

std::uint64_t Begun(InProcessFleet& fleet) {
  return fleet.Total(&lab::BackendCounters::begun);
}

void CheckRefused(const Exchange& exchange, int status,
                  const std::string& execution) {
  CAPTURE(exchange.response->body);
  CHECK(exchange.status() == status);
  CHECK(exchange.body()["execution"] == execution);
}

void CheckToldWhenToComeBack(const Exchange& exchange) {
  const auto& headers = exchange.response->headers;
  REQUIRE(headers.contains("retry-after"));
  REQUIRE(headers.contains("x-retry-after-ms"));
  const int whole_seconds = std::stoi(headers.at("retry-after"));
  const int whole_ms = std::stoi(headers.at("x-retry-after-ms"));
  CHECK(whole_ms > 0);
  CHECK(whole_seconds == (whole_ms + 999) / 1000);
}

// Long before the deadline, though nothing else would have ended it.
void CheckAtOnce(const Exchange& exchange) {
  CHECK(exchange.ended - exchange.started < kLongDeadline / 2);
}

}  // namespace

TEST_CASE("shed unrun by every back end: not run, at once") {
  InProcessFleet fleet;
  lab::Behaviour shedding;
  shedding.shed_probability = 1;
  SetBehaviour(fleet, shedding);
  SUBCASE("the back ends say that it was not run") {
    const Exchange exchange = fleet.Ask(LongRequest());
    CheckRefused(exchange, 503, "not-run");
    CheckToldWhenToComeBack(exchange);
    CheckAtOnce(exchange);
    CHECK(Begun(fleet) == 0);
  }
  SUBCASE("they do not say so: it may have run") {
    shedding.omit_not_run_header = true;
    SetBehaviour(fleet, shedding);
    const Exchange exchange = fleet.Ask(LongRequest());
    CheckRefused(exchange, 503, "may-have-run");
    CheckAtOnce(exchange);
  }
}

TEST_CASE("every back end drains: not run, at once, though the view lags") {
  InProcessFleet fleet;
  lab::Behaviour draining;
  draining.draining = true;
  draining.refuse_when_draining = true;
  SetBehaviour(fleet, draining);
  const Exchange exchange = fleet.Ask(LongRequest());
  CheckRefused(exchange, 503, "not-run");
  CheckToldWhenToComeBack(exchange);
  CheckAtOnce(exchange);
  CHECK(Begun(fleet) == 0);
}

TEST_CASE("lost after its start: may have run") {
  InProcessFleet fleet({.partitions = 1, .zones = 1});
  lab::Behaviour slow;
  slow.slow_factor = 100'000;
  SetBehaviour(fleet, slow);
  const auto exchange = fleet.Start(LongRequest());
  REQUIRE(fleet.Run([&] { return Begun(fleet) == 1; }));
  fleet.Backend(0, 0).Crash();
  REQUIRE(fleet.Run([&] { return exchange->done(); }));
  CheckRefused(*exchange, 503, "may-have-run");
  CheckToldWhenToComeBack(*exchange);
  CheckAtOnce(*exchange);
}

TEST_CASE("the owner is lost with it: may have run") {
  InProcessFleet fleet({.partitions = 1, .zones = 1});
  lab::Behaviour slow;
  slow.slow_factor = 100'000;
  SetBehaviour(fleet, slow);
  const auto exchange = fleet.Start(LongRequest());
  REQUIRE(fleet.Run([&] { return Begun(fleet) == 1; }));
  fleet.CloseOwner(0);
  REQUIRE(fleet.Run([&] { return exchange->done(); }));
  CheckRefused(*exchange, 503, "may-have-run");
  CheckAtOnce(*exchange);
}

TEST_CASE("no owner can be reached: not run, at once") {
  InProcessFleet fleet({.partitions = 2, .zones = 1});
  asio::ip::tcp::acceptor unused(fleet.context,
                                 {asio::ip::address_v4::loopback(), 0});
  const std::string closed = net::FormatEndpoint(unused.local_endpoint());
  unused.close();
  fleet.SetOwnerAddress(0, closed);
  fleet.Publish();
  const Exchange exchange = fleet.Ask(LongRequest());
  CheckRefused(exchange, 503, "not-run");
  CheckToldWhenToComeBack(exchange);
  CheckAtOnce(exchange);
  CHECK(Begun(fleet) == 0);
}

TEST_CASE("nothing answered by the deadline: may have run, 504") {
  InProcessFleet fleet({.partitions = 2});
  lab::Behaviour slow;
  slow.slow_factor = 100'000;
  SetBehaviour(fleet, slow);
  CallerRequest request;
  request.headers = {{"X-Deadline-Ms", "150"}};
  const Exchange exchange = fleet.Ask(request);
  CheckRefused(exchange, 504, "may-have-run");
  CheckToldWhenToComeBack(exchange);
}

TEST_CASE("overload: after the first sheds, refused before anything is sent") {
  InProcessFleet fleet({.partitions = 1, .zones = 1});
  fleet.service().queue_limit = 2;
  fleet.Publish();
  lab::Behaviour slow;
  slow.slow_factor = 300;
  SetBehaviour(fleet, slow);
  // Far more than the four slots and the two waiting places.
  constexpr int kBurst = 40;
  std::vector<std::shared_ptr<Exchange>> exchanges;
  exchanges.reserve(kBurst);
  for (int i = 0; i < kBurst; ++i) {
    exchanges.push_back(fleet.Start(LongRequest()));
  }
  std::uint64_t whole = 0;
  for (const auto& exchange : exchanges) {
    REQUIRE(fleet.Run([&] { return exchange->done(); }));
    if (exchange->status() == 200) {
      ++whole;
    } else {
      CheckRefused(*exchange, 503, "not-run");
      CheckToldWhenToComeBack(*exchange);
    }
  }
  CHECK(fleet.Metric("juniperway_front_admission_refusals_total") > 0);
  CHECK(whole > 0);
  CHECK(Begun(fleet) == whole);
}

TEST_CASE("refused at entry: code, field, not run") {
  InProcessFleet fleet;
  CallerRequest request = LongRequest();
  int status = 400;
  std::string field;
  SUBCASE("unknown service") {
    request.service = "none";
    status = 404;
    field = "service";
  }
  SUBCASE("no JSON") {
    request.body = "{";
    field = "body";
  }
  SUBCASE("unknown field") {
    request.body["colour"] = "red";
    field = "colour";
  }
  SUBCASE("unknown class") {
    request.body["class"] = "none";
    field = "class";
  }
  SUBCASE("empty range") {
    request.body["range"] = {{"begin", 5}, {"end", 5}};
    field = "range";
  }
  SUBCASE("more rows than the service gives") {
    request.body["limit"] = 1'000'000;
    field = "limit";
  }
  SUBCASE("deadline out of bounds") {
    request.headers = {{"X-Deadline-Ms", "10001"}};
    field = "X-Deadline-Ms";
  }
  SUBCASE("malformed request id") {
    request.headers = {{"X-Request-Id", "a b"}};
    field = "X-Request-Id";
  }
  SUBCASE("no request id, where it runs at most once") {
    request.body["class"] = InProcessFleet::kPaymentClass;
    field = "X-Request-Id";
  }
  SUBCASE("no expiry, where it runs at most once") {
    request.body["class"] = InProcessFleet::kPaymentClass;
    request.headers = {{"X-Request-Id", "id"}};
    field = "X-Request-Expiry";
  }
  SUBCASE("an expiry too far ahead") {
    request = PaymentRequest("id");
    request.headers[1].second = "9000000000000000000";
    field = "X-Request-Expiry";
  }
  SUBCASE("no snapshot is served yet") {
    fleet.view.serving.erase("search");
    fleet.Publish();
    status = 503;
  }
  SUBCASE("no lease") {
    fleet.session.SetLease(false);
    status = 503;
  }
  const Exchange exchange = fleet.Ask(request);
  CheckRefused(exchange, status, "not-run");
  CHECK(exchange.body()["error"]["field"] == field);
  CHECK(!exchange.body()["error"]["code"].get<std::string>().empty());
  if (status == 503) {
    CheckToldWhenToComeBack(exchange);
  }
  CHECK(Begun(fleet) == 0);
}

TEST_CASE("at most once: the claim stands before the first byte leaves") {
  InProcessFleet fleet;
  fleet.session.SetClaimBehaviour(StaticSession::ClaimBehaviour::kHold);
  const auto exchange = fleet.Start(PaymentRequest("p1"));
  REQUIRE(fleet.Run([&] { return fleet.session.held_claims() == 1; }));
  RunReady(fleet.context);
  CHECK(fleet.Metric("juniperway_front_peer_bytes_total{direction=\"sent\"}") ==
        0);
  CHECK(fleet.Total(&lab::BackendCounters::arrived) == 0);
  fleet.session.ReleaseHeldClaims();
  REQUIRE(fleet.Run([&] { return exchange->done(); }));
  CHECK(exchange->status() == 200);
  CHECK(Begun(fleet) == 4);
  CHECK(fleet.session.claims().at({"search", "p1"}) == ExecutionState::kRan);
}

TEST_CASE("at most once: a second claim, at any gateway, runs nothing") {
  InProcessFleet fleet({.second_front = true});
  SUBCASE("the first one's outcome was recorded") {
    REQUIRE(fleet.Ask(PaymentRequest("p1")).status() == 200);
    const std::uint64_t begun = Begun(fleet);
    CheckRefused(fleet.Ask(PaymentRequest("p1"), 0), 409, "ran");
    CheckRefused(fleet.Ask(PaymentRequest("p1"), 1), 409, "ran");
    CHECK(Begun(fleet) == begun);
  }
  SUBCASE("the first one was refused unrun: recorded so") {
    lab::Behaviour shedding;
    shedding.shed_probability = 1;
    SetBehaviour(fleet, shedding);
    CheckRefused(fleet.Ask(PaymentRequest("p1")), 503, "not-run");
    CheckRefused(fleet.Ask(PaymentRequest("p1"), 1), 409, "not-run");
    CHECK(Begun(fleet) == 0);
  }
  SUBCASE("the first one still runs: nothing is recorded") {
    lab::Behaviour slow;
    slow.slow_factor = 50;
    SetBehaviour(fleet, slow);
    const auto first = fleet.Start(PaymentRequest("p1"));
    REQUIRE(fleet.Run([&] { return Begun(fleet) == 4; }));
    CheckRefused(fleet.Ask(PaymentRequest("p1"), 1), 409, "may-have-run");
    REQUIRE(fleet.Run([&] { return first->done(); }));
    CHECK(first->status() == 200);
    CHECK(Begun(fleet) == 4);
  }
}

TEST_CASE("at most once: without a claim nothing is sent") {
  InProcessFleet fleet;
  CallerRequest request = PaymentRequest("p1");
  SUBCASE("the claim's outcome is unknown: this submission was not run") {
    fleet.session.SetClaimBehaviour(StaticSession::ClaimBehaviour::kUnknown);
    const Exchange exchange = fleet.Ask(request);
    CheckRefused(exchange, 503, "not-run");
    CheckToldWhenToComeBack(exchange);
  }
  SUBCASE("unknown, and the caller had sent it before") {
    fleet.session.SetClaimBehaviour(StaticSession::ClaimBehaviour::kUnknown);
    request.headers.emplace_back("X-Resend", "true");
    CheckRefused(fleet.Ask(request), 503, "may-have-run");
  }
  SUBCASE("refused at entry, and the caller had sent it before") {
    fleet.session.SetLease(false);
    request.headers.emplace_back("X-Resend", "true");
    CheckRefused(fleet.Ask(request), 503, "may-have-run");
  }
  // The store forgets ids past their expiry: it cannot tell whether an earlier
  // submission ran, so the refusal does not say that none did.
  SUBCASE("control says that the id has expired") {
    fleet.session.SetClaimBehaviour(StaticSession::ClaimBehaviour::kExpired);
    CheckRefused(fleet.Ask(request), 409, "may-have-run");
  }
  SUBCASE("the expiry has passed on this machine's clock") {
    request.headers[1].second = "1000";
    CheckRefused(fleet.Ask(request), 409, "may-have-run");
  }
  CHECK(fleet.Total(&lab::BackendCounters::arrived) == 0);
}

TEST_CASE("at most once: no hedge, where one that may be repeated is hedged") {
  InProcessFleet fleet({.partitions = 1});
  // Enough samples for a hedge delay of a few milliseconds.
  for (int i = 0; i < 40; ++i) {
    REQUIRE(fleet.Ask({}).status() == 200);
  }
  lab::Behaviour slow;
  slow.slow_factor = 100'000;
  SetBehaviour(fleet, slow);
  std::uint64_t before = Begun(fleet);
  CallerRequest request = PaymentRequest("p1");
  request.headers.emplace_back("X-Deadline-Ms", "500");
  CheckRefused(fleet.Ask(request), 504, "may-have-run");
  CHECK(Begun(fleet) == before + 1);
  before = Begun(fleet);
  request = CallerRequest();
  request.headers.emplace_back("X-Deadline-Ms", "500");
  CheckRefused(fleet.Ask(request), 504, "may-have-run");
  CHECK(Begun(fleet) == before + 2);
}

TEST_CASE("at most once: no retry of what may have run") {
  InProcessFleet fleet({.partitions = 1});
  lab::Behaviour slow;
  slow.slow_factor = 100'000;
  SetBehaviour(fleet, slow);
  bool repeatable = false;
  CallerRequest request = PaymentRequest("p1");
  SUBCASE("not repeatable") {}
  SUBCASE("repeatable: retried at the other replica") {
    repeatable = true;
    request = CallerRequest();
  }
  const auto exchange = fleet.Start(request);
  REQUIRE(fleet.Run([&] { return Begun(fleet) == 1; }));
  fleet.ForEachBackend([](lab::BackendServer& backend) {
    if (backend.model().running() > 0) {
      backend.Crash();
    }
  });
  REQUIRE(fleet.Run([&] { return exchange->done(); }));
  CHECK(exchange->body()["execution"] == "may-have-run");
  CHECK(Begun(fleet) == (repeatable ? 2 : 1));
  if (!repeatable) {
    CHECK(fleet.session.claims().at({"search", "p1"}) ==
          ExecutionState::kMayHaveRun);
  }
}

}  // namespace juniperway::test
