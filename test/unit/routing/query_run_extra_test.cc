// Tests the hedges, retries and reroutes of QueryRun with their bounds, queries
// that are not repeatable, and the load evidence for the admission limit.
#include <doctest/doctest.h>

#include "common/routing/query_run.h"
#include "support/query_fixture.h"

namespace juniperway::routing {
namespace {

using test::At;
using test::CancelledIn;
using test::QueryFixture;
using test::Sent;
using test::SentIn;

}  // namespace

TEST_CASE(
    "a straggler is hedged at the latency quantile, the loser is cancelled") {
  QueryFixture fixture({.partitions = 1, .replicas = 2});
  fixture.RecordLatencySamples(milliseconds(10));
  const std::vector<Sent> first = SentIn(fixture.Start());
  CHECK(fixture.run->next_timer() < At(12));
  CHECK(SentIn(fixture.run->OnTimer(At(8))).empty());
  const std::vector<Sent> hedge = SentIn(fixture.run->OnTimer(At(11)));
  REQUIRE(hedge.size() == 1);
  CHECK(hedge[0].backend != first[0].backend);
  CHECK(hedge[0].owner != first[0].owner);
  CHECK(fixture.front.counters.hedges == 1);
  // QueryRun sends no second hedge for the same partition.
  CHECK(SentIn(fixture.run->OnTimer(At(200))).empty());

  SUBCASE("the hedge wins") {
    const Actions last = fixture.Reply(hedge[0], test::Rows(hedge[0]), At(201));
    CHECK(CancelledIn(last) == std::vector<AttemptId>{first[0].attempt});
    CHECK(test::AnswerIn(last).rows.size() == 1);
  }
  SUBCASE("the first attempt wins") {
    const Actions last = fixture.Reply(first[0], test::Rows(first[0]), At(201));
    CHECK(CancelledIn(last) == std::vector<AttemptId>{hedge[0].attempt});
  }
  SUBCASE("one is lost: the result of the other is accepted") {
    CHECK(!fixture.Reply(first[0], SubqueryOutcome::kLost, At(201)).outcome);
    const Actions last = fixture.Reply(hedge[0], test::Rows(hedge[0]), At(202));
    CHECK(test::AnswerIn(last).coverage.share == 1.0);
  }
}

TEST_CASE("no hedge: switched off, no samples, no budget, or replica busy") {
  QueryFixture fixture({.partitions = 1, .replicas = 2});
  SUBCASE("hedging is switched off") {
    fixture.RecordLatencySamples(milliseconds(10));
    fixture.service().hedging = false;
    fixture.Start();
  }
  SUBCASE("there are no latency samples") { fixture.Start(); }
  SUBCASE("the retry budget is empty") {
    fixture.RecordLatencySamples(milliseconds(10));
    fixture.Start();
    fixture.ExhaustRetryBudget();
  }
  SUBCASE("the other replica is busy") {
    fixture.RecordLatencySamples(milliseconds(10));
    for (const char* name : {"backend-0-0", "backend-0-1"}) {
      fixture.front.backends.OnLoad(fixture.front.backend_names.IdOf(name), 300,
                                    100, At(0));
    }
    fixture.Start();
  }
  for (int ms = 10; ms < 100; ++ms) {
    CHECK(SentIn(fixture.run->OnTimer(At(ms))).empty());
  }
  CHECK(fixture.front.counters.hedges == 0);
}

TEST_CASE(
    "a lost subquery is retried on another backend while the budget lasts") {
  QueryFixture fixture({.partitions = 1, .replicas = 2});
  const std::vector<Sent> first = SentIn(fixture.Start());
  SUBCASE("with budget") {
    const std::vector<Sent> retry =
        SentIn(fixture.Reply(first[0], SubqueryOutcome::kLost, At(1)));
    REQUIRE(retry.size() == 1);
    CHECK(retry[0].backend != first[0].backend);
    CHECK(fixture.front.counters.retries == 1);
  }
  SUBCASE("without budget: the query ends at once") {
    fixture.ExhaustRetryBudget();
    const Actions last = fixture.Reply(first[0], SubqueryOutcome::kLost, At(1));
    CHECK(test::RefusalIn(last).execution == ExecutionState::kMayHaveRun);
    CHECK(test::RefusalIn(last).retry_after.has_value());
  }
}

TEST_CASE("reroutes take no budget and are bounded") {
  QueryFixture fixture({.partitions = 1, .replicas = 2});
  fixture.ExhaustRetryBudget();
  SubqueryOutcome outcome = SubqueryOutcome::kNotOwner;
  SUBCASE("not owner") { outcome = SubqueryOutcome::kNotOwner; }
  SUBCASE("unreachable") { outcome = SubqueryOutcome::kUnreachable; }
  SUBCASE("wrong snapshot") { outcome = SubqueryOutcome::kWrongSnapshot; }
  fixture.request.deadline = At(60000);
  fixture.ExhaustRetryBudget();
  Actions actions = fixture.Start();
  std::size_t sent_count = 0;
  while (!actions.outcome.has_value()) {
    const std::vector<Sent> sent = SentIn(actions);
    sent_count += sent.size();
    const MonotonicTime now = fixture.run->next_timer();
    actions = sent.empty() ? fixture.run->OnTimer(now)
                           : fixture.Reply(sent[0], outcome, At(1));
  }
  CHECK(sent_count == 1 + QueryRun::kMaximumReroutes);
  CHECK(test::RefusalIn(actions).execution == ExecutionState::kNotRun);
  CHECK(fixture.front.counters.retries == 0);
}

TEST_CASE("later queries avoid a backend that reported a drain") {
  QueryFixture fixture({.partitions = 1, .replicas = 2});
  const std::vector<Sent> first = SentIn(fixture.Start());
  const std::vector<Sent> second =
      SentIn(fixture.Reply(first[0], SubqueryOutcome::kDraining, At(1)));
  REQUIRE(second.size() == 1);
  CHECK(second[0].backend != first[0].backend);
  fixture.Reply(second[0], test::Rows(second[0]), At(2));
  for (int query = 0; query < 20; ++query) {
    fixture.request.received = At(10 + query);
    const std::vector<Sent> sent = SentIn(fixture.Start());
    CHECK(sent[0].backend == second[0].backend);
    fixture.Reply(sent[0], test::Rows(sent[0]), At(10 + query));
  }
}

TEST_CASE("hedges stay within the budget share over many queries") {
  QueryFixture fixture({.partitions = 10, .replicas = 2});
  fixture.service().hedge_quantile = 0.5;
  // Every first subquery takes longer than the recorded latencies, so each one
  // becomes due for a hedge.
  for (int query = 0; query < 300; ++query) {
    fixture.RecordLatencySamples(milliseconds(5));
    const std::int64_t start = 100 * query;
    fixture.request.received = At(start);
    fixture.request.deadline = At(start + 90);
    const std::vector<Sent> first = SentIn(fixture.Start());
    fixture.run->OnTimer(At(start + 50));
    for (const Sent& sent : first) {
      fixture.Reply(sent, test::Rows(sent), At(start + 60));
    }
  }
  const FrontCounters& counters = fixture.front.counters;
  CHECK(counters.first_subqueries == 3000);
  CHECK(counters.hedges <= 0.05 * 3000 + RetryBudget::kReserve);
  CHECK(counters.hedges >= 0.05 * 3000 - 1);
}

TEST_CASE(
    "a restart charges the budget for the attempts of the earlier snapshot") {
  QueryFixture fixture({.partitions = 4, .replicas = 1});
  const std::vector<Sent> old = SentIn(fixture.Start());
  const double before = fixture.front.services[test::kService].budget.balance();
  fixture.ServeNextVersion(4);
  fixture.Reply(old[0], SubqueryOutcome::kWrongSnapshot, At(1));
  const double after = fixture.front.services[test::kService].budget.balance();
  // Three of the four earlier attempts may have run.
  CHECK(before - after == doctest::Approx(3));
}

TEST_CASE(
    "not repeatable: no hedge, and no retry of an attempt that may have run") {
  QueryFixture fixture({.partitions = 2, .replicas = 2});
  fixture.RecordLatencySamples(milliseconds(10));
  fixture.request.repeatable = false;
  const std::vector<Sent> first = SentIn(fixture.Start());
  for (int ms = 10; ms < 500; ms += 10) {
    CHECK(SentIn(fixture.run->OnTimer(At(ms))).empty());
  }
  SUBCASE("lost: the range is missing and not sent again") {
    const Actions lost =
        fixture.Reply(first[0], SubqueryOutcome::kLost, At(500));
    CHECK(SentIn(lost).empty());
    const Actions last = fixture.Reply(first[1], test::Rows(first[1]), At(501));
    CHECK(test::AnswerIn(last).execution == ExecutionState::kMayHaveRun);
    CHECK(test::AnswerIn(last).coverage.missing ==
          std::vector<MissingRange>{{{0, 100}, MissingReason::kLost}});
  }
  SUBCASE("shed before its start: sent to another backend") {
    const std::vector<Sent> retry =
        SentIn(fixture.Reply(first[0], SubqueryOutcome::kShed, At(500)));
    REQUIRE(retry.size() == 1);
    CHECK(retry[0].backend != first[0].backend);
  }
  SUBCASE("owner lost after sending: not sent again") {
    const Actions lost = fixture.run->OnOwnerLost(
        first[0].owner, OwnerConnectionLoss::kMayHaveReceived, At(500));
    CHECK(SentIn(lost).empty());
  }
  SUBCASE("batch not sent: sent to another backend") {
    Batch unsent;
    unsent.owner = first[0].owner;
    unsent.subqueries.push_back({first[0].attempt, "", "", first[0].range});
    CHECK(SentIn(fixture.run->OnBatchUnsent(unsent, At(500))).size() == 1);
  }
}

TEST_CASE("not repeatable queries restart only when no attempt may have run") {
  QueryFixture fixture({.partitions = 2, .replicas = 1});
  fixture.request.repeatable = false;
  const std::vector<Sent> old = SentIn(fixture.Start());
  fixture.ServeNextVersion(2);
  SUBCASE("the attempt at the other partition ran") {
    fixture.Reply(old[0], test::Rows(old[0]), At(1));
    Actions actions =
        fixture.Reply(old[1], SubqueryOutcome::kWrongSnapshot, At(2));
    while (!actions.outcome.has_value()) {
      const std::vector<Sent> sent = SentIn(actions);
      for (const Sent& one : sent) {
        CHECK(one.index_version == 1);
      }
      const MonotonicTime now = fixture.run->next_timer();
      actions =
          sent.empty()
              ? fixture.run->OnTimer(now)
              : fixture.Reply(sent[0], SubqueryOutcome::kWrongSnapshot, At(3));
    }
    CHECK(test::AnswerIn(actions).index_version == 1);
    CHECK(test::AnswerIn(actions).coverage.missing[0].reason ==
          MissingReason::kWrongSnapshot);
  }
  SUBCASE("all attempts were refused before their start") {
    fixture.Reply(old[0], SubqueryOutcome::kWrongSnapshot, At(1));
    const Actions restart =
        fixture.Reply(old[1], SubqueryOutcome::kWrongSnapshot, At(2));
    const std::vector<Sent> fresh = SentIn(restart);
    REQUIRE(fresh.size() == 2);
    CHECK(fresh[0].index_version == 2);
  }
}

// Ends a query of two partitions. The only backend of one partition sheds and
// reports `load`; the backend of the other partition answers.
QueryOutcome EndWithOneShed(QueryFixture& fixture, std::uint32_t load) {
  const std::vector<Sent> sent = SentIn(fixture.Start());
  OwnerResult shed = Outcome(sent[0], SubqueryOutcome::kShed);
  shed.load = load;
  shed.slots = 4;
  fixture.ExhaustRetryBudget();
  fixture.Reply(sent[0], std::move(shed), At(1));
  return fixture.Reply(sent[1], test::Rows(sent[1]), At(2)).outcome.value();
}

TEST_CASE(
    "a query is overloaded if busy backends shed and coverage is too low") {
  QueryFixture fixture({.partitions = 2, .replicas = 1});
  SUBCASE("busy") {
    const QueryOutcome outcome = EndWithOneShed(fixture, 4);
    CHECK(fixture.run->LoadEvidenceOf(outcome) ==
          AdmissionLimit::LoadEvidence::kOverloaded);
  }
  SUBCASE("idle: a breaker or fault, which a lower limit would not help") {
    const QueryOutcome outcome = EndWithOneShed(fixture, 0);
    CHECK(fixture.run->LoadEvidenceOf(outcome) ==
          AdmissionLimit::LoadEvidence::kOther);
  }
  SUBCASE("the coverage meets the service's minimum") {
    fixture.service().answer_policy = resources::AnswerPolicy::kLatency;
    fixture.service().minimum_coverage = 0.5;
    const QueryOutcome outcome = EndWithOneShed(fixture, 4);
    CHECK(fixture.run->LoadEvidenceOf(outcome) ==
          AdmissionLimit::LoadEvidence::kServed);
  }
}

}  // namespace juniperway::routing
