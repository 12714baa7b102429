#include "common/owner/backend_gate.h"

#include <doctest/doctest.h>

#include "unit/owner/gate_fixture.h"

namespace juniperway::owner::testing {
namespace {

using protocol::SubqueryOutcome;

const GateSettings kTwoSlots{.slots = 2,
                             .maximum_connections = 10,
                             .queue_limit = 4,
                             .slow_start = Duration::zero()};

// Makes `service_time` the gate's mean service time.
void SetServiceTime(BackendGate& gate, Duration service_time,
                    MonotonicTime now) {
  constexpr SubqueryId kId = 1'000'000;
  REQUIRE(Started(gate.Submit(kId, now + seconds(100), now)).size() == 1);
  gate.OnReply(kId, Served(), now + service_time);
  REQUIRE(gate.mean_service_time() == service_time);
}

TEST_CASE("A slot is free again only after the backend has answered") {
  BackendGate gate = OpenGate(kTwoSlots, At(0));
  CHECK(Started(gate.Submit(1, At(1000), At(0))).size() == 1);
  CHECK(Started(gate.Submit(2, At(1000), At(0))).size() == 1);
  CHECK(Started(gate.Submit(3, At(1000), At(0))).empty());
  CHECK(gate.running() == 2);

  const GateActions cancelled = gate.Cancel(1, At(10));
  CHECK(OutcomeOf(cancelled, 1) == SubqueryOutcome::kExpiredStarted);
  CHECK(IdsOf(cancelled, GateActionKind::kSendCancel).size() == 1);
  CHECK(Started(cancelled).empty());
  CHECK(gate.running() == 2);

  // The answer to the cancel request does not end the search.
  CHECK(Started(gate.OnCancelDone(At(11))).empty());
  BackendReply stopped;
  stopped.kind = ReplyKind::kNotCompleted;
  stopped.answered = true;
  CHECK(Started(gate.OnReply(1, stopped, At(12))) ==
        std::vector<SubqueryId>{3});
}

TEST_CASE("The gate closes the connection of an unanswered cancelled search") {
  BackendGate gate = OpenGate(kTwoSlots, At(0));
  gate.Submit(1, At(1000), At(0));
  gate.Cancel(1, At(10));
  const MonotonicTime close_at = At(10) + BackendGate::kLateAnswerTimeout;
  REQUIRE(gate.NextTimer(At(10)) == close_at);
  CHECK(gate.OnTimer(close_at - Duration(1)).empty());
  CHECK(IdsOf(gate.OnTimer(close_at), GateActionKind::kCloseConnection) ==
        std::vector<SubqueryId>{1});
  CHECK(gate.running() == 0);
  CHECK(gate.breaker_state(close_at) == BreakerState::kClosed);
}

TEST_CASE("An expired search ends at its deadline and keeps its slot") {
  BackendGate gate = OpenGate(kTwoSlots, At(0));
  gate.Submit(1, At(100), At(0));
  const GateActions expired = gate.OnTimer(At(100));
  CHECK(OutcomeOf(expired, 1) == SubqueryOutcome::kExpiredStarted);
  CHECK(gate.running() == 1);
  const GateActions closed =
      gate.OnTimer(At(100) + BackendGate::kLateAnswerTimeout);
  CHECK(IdsOf(closed, GateActionKind::kCloseConnection).size() == 1);
  CHECK(closed.size() == 1);
  CHECK(gate.running() == 0);
}

TEST_CASE("The shortest remaining time goes first; nothing expired starts") {
  BackendGate gate =
      OpenGate({.slots = 1, .maximum_connections = 4, .queue_limit = 8}, At(0));
  gate.Submit(1, At(1000), At(0));
  gate.Submit(2, At(900), At(0));
  gate.Submit(3, At(300), At(0));
  gate.Submit(4, At(20), At(0));
  gate.Submit(5, At(600), At(0));
  CHECK(OutcomeOf(gate.OnTimer(At(20)), 4) ==
        SubqueryOutcome::kExpiredUnstarted);
  // No timer ran at 300 ms, and still the expired subquery does not start.
  const GateActions next = gate.OnReply(1, Served(), At(300));
  CHECK(OutcomeOf(next, 3) == SubqueryOutcome::kExpiredUnstarted);
  CHECK(Started(next) == std::vector<SubqueryId>{5});
}

TEST_CASE("A slot stays in use until the close has reached the backend") {
  BackendGate gate =
      OpenGate({.slots = 1, .maximum_connections = 4, .queue_limit = 8}, At(0));
  gate.Submit(1, At(1000), At(0));
  gate.Submit(2, At(1000), At(0));
  gate.Cancel(1, At(10));
  const MonotonicTime close_at = At(10) + BackendGate::kLateAnswerTimeout;
  const GateActions closed = gate.OnTimer(close_at);
  CHECK(IdsOf(closed, GateActionKind::kCloseConnection) ==
        std::vector<SubqueryId>{1});
  CHECK(Started(closed).empty());
  const MonotonicTime free_at = close_at + BackendGate::kClosePropagationDelay;
  REQUIRE(gate.NextTimer(close_at) == free_at);
  CHECK(Started(gate.OnTimer(free_at - Duration(1))).empty());
  CHECK(Started(gate.OnTimer(free_at)) == std::vector<SubqueryId>{2});
}

TEST_CASE("A cancelled queued subquery ends as not started") {
  BackendGate gate =
      OpenGate({.slots = 1, .maximum_connections = 4, .queue_limit = 8}, At(0));
  gate.Submit(1, At(1000), At(0));
  gate.Submit(2, At(1000), At(0));
  CHECK(OutcomeOf(gate.Cancel(2, At(1)), 2) ==
        SubqueryOutcome::kExpiredUnstarted);
  CHECK(gate.queued() == 0);
}

TEST_CASE("A full queue sheds the subquery with the longest remaining time") {
  BackendGate gate =
      OpenGate({.slots = 1, .maximum_connections = 4, .queue_limit = 2}, At(0));
  SetServiceTime(gate, milliseconds(10), At(0));
  gate.Submit(1, At(1000), At(10));
  gate.Submit(2, At(700), At(10));
  gate.Submit(3, At(600), At(10));
  const GateActions full = gate.Submit(4, At(500), At(10));
  CHECK(OutcomeOf(full, 2) == SubqueryOutcome::kShed);
  CHECK(FinishOf(full, 2)->retry_after >= milliseconds(10));
  CHECK(gate.queued() == 2);
}

TEST_CASE("A subquery that cannot finish in time is shed at once") {
  BackendGate gate = OpenGate(
      {.slots = 1, .maximum_connections = 4, .queue_limit = 100}, At(0));
  SetServiceTime(gate, milliseconds(100), At(0));
  gate.Submit(1, At(1000), At(100));
  const GateActions infeasible = gate.Submit(2, At(250), At(100));
  CHECK(OutcomeOf(infeasible, 2) == SubqueryOutcome::kShed);
  CHECK(FinishOf(infeasible, 2)->retry_after > Duration::zero());
  CHECK(gate.Submit(3, At(350), At(100)).empty());
  CHECK(gate.queued() == 1);
}

TEST_CASE("An earlier deadline sheds queued subqueries that become late") {
  BackendGate gate = OpenGate(
      {.slots = 1, .maximum_connections = 4, .queue_limit = 100}, At(0));
  SetServiceTime(gate, milliseconds(100), At(0));
  gate.Submit(1, At(1000), At(100));
  CHECK(gate.Submit(2, At(380), At(100)).empty());
  const GateActions actions = gate.Submit(3, At(320), At(100));
  CHECK(OutcomeOf(actions, 2) == SubqueryOutcome::kShed);
  CHECK(gate.queued() == 1);
}

TEST_CASE("Too high a service time estimate does not keep a backend idle") {
  BackendGate gate = OpenGate(kTwoSlots, At(0));
  SetServiceTime(gate, seconds(10), At(0));
  CHECK(Started(gate.Submit(1, At(10100), At(10000))).size() == 1);
  gate.OnReply(1, Served(), At(10001));
  CHECK(gate.mean_service_time() < seconds(10));
}

TEST_CASE("A drain refuses the queue and lets running searches finish") {
  BackendGate gate = OpenGate(kTwoSlots, At(0));
  for (SubqueryId id = 1; id <= 4; ++id) {
    gate.Submit(id, At(1000), At(0));
  }
  GateActions drained;
  SUBCASE("operator") {
    drained = gate.SetDraining(DrainSource::kOperator, true, At(5));
  }
  SUBCASE("platform") {
    drained = gate.SetDraining(DrainSource::kPlatform, true, At(5));
  }
  SUBCASE("previous owner's report") {
    drained = gate.SetReportedDraining(true, At(5));
  }
  SUBCASE("header of an answer") {
    drained = gate.OnReply(1, Draining(Served()), At(5));
  }
  CHECK(Started(drained).empty());
  CHECK(OutcomeOf(drained, 3) == SubqueryOutcome::kDraining);
  CHECK(OutcomeOf(drained, 4) == SubqueryOutcome::kDraining);
  CHECK(OutcomeOf(gate.Submit(5, At(1000), At(6)), 5) ==
        SubqueryOutcome::kDraining);
  CHECK(Started(gate.OnReply(2, Draining(Served()), At(7))).empty());
}

TEST_CASE("A drain reported by health refuses the queue") {
  BackendGate gate = OpenGate(kTwoSlots, At(0), milliseconds(1000));
  gate.Submit(1, At(9000), At(0));
  gate.Submit(2, At(9000), At(0));
  gate.Submit(3, At(9000), At(0));
  REQUIRE(IdsOf(gate.OnTimer(At(1300)), GateActionKind::kProbe).size() == 1);
  const GateActions drained =
      gate.OnProbeDone(BackendGate::ProbeResult{false, true}, At(1301));
  CHECK(OutcomeOf(drained, 3) == SubqueryOutcome::kDraining);
}

TEST_CASE("Without access nothing starts and the queue is refused") {
  BackendGate gate =
      OpenGate({.slots = 1, .maximum_connections = 4, .queue_limit = 4}, At(0));
  gate.Submit(1, At(1000), At(0));
  gate.Submit(2, At(1000), At(0));
  SUBCASE("released") {
    CHECK(OutcomeOf(gate.SetAccess(GateAccess::kClosed, At(1)), 2) ==
          SubqueryOutcome::kNotOwner);
  }
  SUBCASE("waiting for the previous owner") {
    const GateActions actions =
        gate.SetAccess(GateAccess::kAwaitingRelease, At(1));
    CHECK(OutcomeOf(actions, 2) == SubqueryOutcome::kNotOwner);
    CHECK(FinishOf(actions, 2)->retry_after > Duration::zero());
  }
  SUBCASE("graceful shutdown") {
    CHECK(OutcomeOf(gate.Stop(At(1)), 2) == SubqueryOutcome::kNotOwner);
  }
  CHECK(OutcomeOf(gate.Submit(3, At(1000), At(2)), 3) ==
        SubqueryOutcome::kNotOwner);
  CHECK_FALSE(gate.idle());
  CHECK(gate.OnReply(1, Served(), At(3)).empty());
  CHECK(gate.idle());
}

TEST_CASE("The end of the lease closes connections and loses searches") {
  BackendGate gate =
      OpenGate({.slots = 1, .maximum_connections = 4, .queue_limit = 4}, At(0));
  gate.Submit(1, At(1000), At(0));
  gate.Submit(2, At(1000), At(0));
  const GateActions actions = gate.CloseAllConnections(At(1));
  CHECK(OutcomeOf(actions, 1) == SubqueryOutcome::kLost);
  CHECK(OutcomeOf(actions, 2) == SubqueryOutcome::kNotOwner);
  CHECK(IdsOf(actions, GateActionKind::kCloseConnection) ==
        std::vector<SubqueryId>{1});
  CHECK(gate.idle());
}

TEST_CASE("Searches, cancels and probes share the connections") {
  BackendGate gate =
      OpenGate({.slots = 2, .maximum_connections = 2, .queue_limit = 4}, At(0),
               milliseconds(1000));
  gate.Submit(1, At(9000), At(0));
  gate.Submit(2, At(9000), At(0));
  // All connections are in use: the gate closes the search's connection instead
  // of sending a cancel, and the probe waits.
  CHECK(gate.OnTimer(At(1300)).empty());
  const GateActions cancelled = gate.Cancel(1, At(1301));
  CHECK(IdsOf(cancelled, GateActionKind::kSendCancel).empty());
  CHECK(IdsOf(cancelled, GateActionKind::kCloseConnection) ==
        std::vector<SubqueryId>{1});
  // The closed connection counts until the close has reached the backend.
  CHECK(IdsOf(cancelled, GateActionKind::kProbe).empty());
  CHECK(gate.connections() == 2);
  CHECK(Started(gate.Submit(3, At(9000), At(1302))).empty());
  const MonotonicTime free_at = At(1301) + BackendGate::kClosePropagationDelay;
  REQUIRE(gate.NextTimer(At(1302)) == free_at);
  CHECK(IdsOf(gate.OnTimer(free_at), GateActionKind::kProbe).size() == 1);
  CHECK(gate.connections() == 2);
  CHECK(Started(gate.OnProbeDone(std::nullopt, free_at)).size() == 1);
}

TEST_CASE("Sheds lower the concurrency limit, served subqueries raise it") {
  BackendGate gate = OpenGate(
      {.slots = 4, .maximum_connections = 10, .queue_limit = 9}, At(0));
  for (SubqueryId id = 1; id <= 4; ++id) {
    gate.Submit(id, At(9000), At(0));
  }
  gate.OnReply(1, Shed(), At(100));
  CHECK(gate.UsableSlots(At(100)) == 2);
  // This subquery was sent before the decrease, so the limit stays.
  gate.OnReply(2, Shed(), At(101));
  CHECK(gate.UsableSlots(At(101)) == 2);
  gate.OnReply(3, Served(), At(102));
  gate.OnReply(4, Served(), At(102));
  SubqueryId id = 10;
  int served = 0;
  while (gate.UsableSlots(At(200)) < 4 && served < 100) {
    gate.Submit(id, At(9000), At(200));
    gate.OnReply(id, Served(), At(200));
    ++id;
    ++served;
  }
  CHECK(served > 4);
  CHECK(served < 100);
}

TEST_CASE("A shed of the only running subquery begins a backoff") {
  BackendGate gate = OpenGate(kTwoSlots, At(0));
  gate.Submit(1, At(9000), At(0));
  gate.OnReply(1, Shed(milliseconds(300)), At(10));
  CHECK(Started(gate.Submit(2, At(9000), At(11))).empty());
  REQUIRE(gate.NextTimer(At(11)) == At(310));
  CHECK(Started(gate.OnTimer(At(309))).empty());
  CHECK(Started(gate.OnTimer(At(310))) == std::vector<SubqueryId>{2});
}

TEST_CASE("The breaker opens, refuses, and admits one trial subquery") {
  BackendGate gate = OpenGate(kTwoSlots, At(0));
  MonotonicTime now = At(0);
  SubqueryId id = 1;
  while (gate.breaker_state(now) == BreakerState::kClosed && id < 50) {
    gate.Submit(id, now + seconds(9), now);
    gate.OnReply(id++, Broken(), now);
  }
  REQUIRE(gate.breaker_state(now) == BreakerState::kOpen);
  const GateActions refused = gate.Submit(id, now + seconds(9), now);
  CHECK(OutcomeOf(refused, id) == SubqueryOutcome::kShed);
  const Duration backoff = FinishOf(refused, id)->retry_after;
  CHECK(backoff > Duration::zero());

  now += backoff;
  CHECK(Started(gate.Submit(100, now + seconds(9), now)).size() == 1);
  CHECK(Started(gate.Submit(101, now + seconds(9), now)).empty());
  SUBCASE("the trial fails: a longer backoff") {
    CHECK(OutcomeOf(gate.OnReply(100, Broken(), now), 101) ==
          SubqueryOutcome::kShed);
    CHECK(gate.breaker_state(now) == BreakerState::kOpen);
  }
  SUBCASE("the trial succeeds: the breaker closes") {
    CHECK(Started(gate.OnReply(100, Served(), now)).size() == 1);
    CHECK(gate.breaker_state(now) == BreakerState::kClosed);
  }
}

TEST_CASE("An answered probe admits a trial before the backoff is over") {
  BackendGate gate = OpenGate(kTwoSlots, At(0), /*probe_interval=*/seconds(1));
  for (SubqueryId id = 1; id <= 5; ++id) {
    gate.Submit(id, At(99000), At(0));
    gate.OnReply(id, Broken(), At(0));
  }
  REQUIRE(gate.breaker_state(At(1)) == BreakerState::kOpen);
  const MonotonicTime probe = At(1250);  // Latest time with the jitter.
  REQUIRE(IdsOf(gate.OnTimer(probe), GateActionKind::kProbe).size() == 1);
  // Further failures raise the backoff above two seconds.
  MonotonicTime now = probe;
  while (gate.breaker_state(now + seconds(2)) != BreakerState::kOpen) {
    now += seconds(10);
    gate.Submit(100, now + seconds(1), now);
    gate.OnReply(100, Broken(), now);
  }
  CHECK(OutcomeOf(gate.Submit(200, At(9999000), now), 200) ==
        SubqueryOutcome::kShed);
  SUBCASE("answered") {
    gate.OnProbeDone(BackendGate::ProbeResult{}, now);
    CHECK(Started(gate.Submit(201, At(9999000), now)).size() == 1);
    CHECK(Started(gate.Submit(202, At(9999000), now)).empty());
  }
  SUBCASE("failed") {
    gate.OnProbeDone(std::nullopt, now);
    CHECK(Started(gate.Submit(201, At(9999000), now)).empty());
  }
}

TEST_CASE("A breaker that may not open keeps admitting subqueries") {
  BackendGate gate = OpenGate(kTwoSlots, At(0));
  gate.SetEjectionAllowed(false, At(0));
  for (SubqueryId id = 1; id < 20; ++id) {
    CHECK(Started(gate.Submit(id, At(9000), At(0))).size() == 1);
    gate.OnReply(id, Broken(), At(0));
  }
}

TEST_CASE("After a cold start the slots open one after the other") {
  const GateSettings settings{.slots = 5,
                              .maximum_connections = 20,
                              .queue_limit = 20,
                              .slow_start = milliseconds(400)};
  BackendGate gate = OpenGate(settings, At(0), milliseconds(1000));
  CHECK(gate.UsableSlots(At(1200)) == 5);
  gate.OnTimer(At(1300));
  gate.OnProbeDone(BackendGate::ProbeResult{true, false}, At(1300));
  CHECK(gate.UsableSlots(At(1300)) == 1);
  CHECK(gate.UsableSlots(At(1400)) == 2);
  CHECK(gate.UsableSlots(At(1699)) == 4);
  CHECK(gate.UsableSlots(At(1700)) == 5);
  // A queued subquery starts when its slot opens, without an answer.
  gate.Submit(1, At(9000), At(1300));
  gate.Submit(2, At(9000), At(1300));
  const auto step = gate.NextTimer(At(1300));
  REQUIRE(step == At(1400));
  CHECK(Started(gate.OnTimer(*step)) == std::vector<SubqueryId>{2});
}

TEST_CASE("After an outage the slots open one after the other") {
  const GateSettings settings{.slots = 5,
                              .maximum_connections = 20,
                              .queue_limit = 20,
                              .slow_start = milliseconds(400)};
  BackendGate gate = OpenGate(settings, At(0));
  SubqueryId id = 1;
  while (gate.breaker_state(At(0)) == BreakerState::kClosed && id < 50) {
    gate.Submit(id, At(9000), At(0));
    gate.OnReply(id++, Broken(), At(0));
  }
  gate.Submit(100, At(9000), At(1000));
  gate.OnReply(100, Served(), At(1001));
  CHECK(gate.UsableSlots(At(1001)) == 1);
  CHECK(gate.UsableSlots(At(1401)) == 5);
}

TEST_CASE("With fewer slots than running searches nothing starts") {
  BackendGate gate = OpenGate(kTwoSlots, At(0));
  for (SubqueryId id = 1; id <= 3; ++id) {
    gate.Submit(id, At(9000), At(0));
  }
  GateSettings one_slot = kTwoSlots;
  one_slot.slots = 1;
  gate.Configure(one_slot, At(1));
  CHECK(Started(gate.OnReply(1, Served(), At(2))).empty());
  CHECK(Started(gate.OnReply(2, Served(), At(3))).size() == 1);
}

}  // namespace
}  // namespace juniperway::owner::testing
