// Tests the answers, coverage, refusals and restarts of QueryRun.
// query_run_extra_test.cc tests hedges, retries and reroutes.
#include "common/routing/query_run.h"

#include <doctest/doctest.h>

#include "support/query_fixture.h"

namespace juniperway::routing {
namespace {

using test::At;
using test::CancelledIn;
using test::QueryFixture;
using test::Sent;
using test::SentIn;

std::vector<Key> KeysOf(const Answer& answer) {
  std::vector<Key> keys;
  for (const ResultRow& row : answer.rows) {
    keys.push_back(row.key);
  }
  return keys;
}

}  // namespace

TEST_CASE("an answer of all partitions is complete, sorted and marked as run") {
  QueryFixture fixture;
  const std::vector<Sent> sent = SentIn(fixture.Start());
  REQUIRE(sent.size() == 4);
  // The results arrive out of order, one of them with unsorted rows.
  Actions actions;
  for (const std::size_t i : {3U, 1U, 0U, 2U}) {
    CHECK(!actions.outcome.has_value());
    OwnerResult reply = test::Rows(sent[i]);
    if (i == 1) {
      reply.block = test::RowsOf(1, {150, 120});
    }
    actions = fixture.Reply(sent[i], std::move(reply), At(5));
  }
  const Answer& answer = test::AnswerIn(actions);
  CHECK(KeysOf(answer) == std::vector<Key>{0, 120, 150, 200, 300});
  CHECK(answer.coverage.share == 1.0);
  CHECK(answer.coverage.searched == std::vector<KeyRange>{{0, 400}});
  CHECK(answer.coverage.missing.empty());
  CHECK(answer.execution == ExecutionState::kRan);
  CHECK(!answer.truncated);
}

TEST_CASE("a requested range is clipped, and only its partitions are queried") {
  QueryFixture fixture;
  fixture.request.range = KeyRange{150, 250};
  const std::vector<Sent> sent = SentIn(fixture.Start());
  REQUIRE(sent.size() == 2);
  CHECK(sent[0].range == KeyRange{150, 200});
  CHECK(sent[1].range == KeyRange{200, 250});
  fixture.Reply(sent[0], test::Rows(sent[0]), At(1));
  const Actions last = fixture.Reply(sent[1], test::Rows(sent[1]), At(1));
  CHECK(test::AnswerIn(last).coverage.searched ==
        std::vector<KeyRange>{{150, 250}});
}

TEST_CASE("a range without any key of the snapshot is an invalid argument") {
  QueryFixture fixture;
  fixture.request.range = KeyRange{4000, 5000};
  const Refusal refusal = test::RefusalIn(fixture.Start());
  CHECK(refusal.error.code == ErrorCode::kInvalidArgument);
  CHECK(refusal.execution == ExecutionState::kNotRun);
}

TEST_CASE("rows outside the subquery's range are dropped and counted") {
  QueryFixture fixture({.partitions = 2});
  const std::vector<Sent> sent = SentIn(fixture.Start());
  OwnerResult reply = Outcome(sent[0], SubqueryOutcome::kRows);
  reply.block = test::RowsOf(1, {5, 100, 250});
  reply.dropped_rows = 3;
  fixture.Reply(sent[0], std::move(reply), At(1));
  const Actions last = fixture.Reply(sent[1], test::Rows(sent[1]), At(1));
  CHECK(KeysOf(test::AnswerIn(last)) == std::vector<Key>{5, 100});
  CHECK(fixture.front.counters.out_of_range_rows == 5);
}

TEST_CASE("the row limit truncates by key and sets truncated") {
  QueryFixture fixture({.partitions = 2});
  fixture.request.row_limit = 2;
  const Actions first = fixture.Start();
  CHECK(first.batches.front().row_limit == 3);
  const std::vector<Sent> sent = SentIn(first);
  OwnerResult reply = Outcome(sent[0], SubqueryOutcome::kRows);
  reply.block = test::RowsOf(1, {7, 8});
  fixture.Reply(sent[0], std::move(reply), At(1));
  const Actions last = fixture.Reply(sent[1], test::Rows(sent[1]), At(1));
  CHECK(KeysOf(test::AnswerIn(last)) == std::vector<Key>{7, 8});
  CHECK(test::AnswerIn(last).truncated);
}

TEST_CASE("late, duplicate and foreign results are discarded") {
  QueryFixture fixture({.partitions = 2});
  const std::vector<Sent> sent = SentIn(fixture.Start());
  fixture.Reply(sent[0], test::Rows(sent[0]), At(1));
  OwnerResult twice = test::Rows(sent[0]);
  twice.block = test::RowsOf(1, {1, 2, 3});
  fixture.Reply(sent[0], std::move(twice), At(2));
  CHECK(fixture.front.counters.duplicate_results == 1);

  Sent other_owner = sent[1];
  other_owner.owner += 1;
  fixture.Reply(other_owner, test::Rows(other_owner), At(2));
  Sent unknown = sent[1];
  unknown.attempt = 77;
  fixture.Reply(unknown, test::Rows(unknown), At(2));
  CHECK(fixture.front.counters.foreign_results == 2);

  const Actions last = fixture.Reply(sent[1], test::Rows(sent[1]), At(3));
  CHECK(KeysOf(test::AnswerIn(last)) == std::vector<Key>{0, 100});
  // A result after the end produces no second outcome.
  CHECK(!fixture.Reply(sent[1], test::Rows(sent[1]), At(4)).outcome);
}

TEST_CASE(
    "at the deadline the answer lists the ranges that were not searched") {
  QueryFixture fixture;
  const std::vector<Sent> sent = SentIn(fixture.Start());
  fixture.Reply(sent[0], test::Rows(sent[0]), At(5));
  fixture.Reply(sent[2], test::Rows(sent[2]), At(6));
  CHECK(!fixture.run->OnTimer(At(999)).outcome.has_value());
  const Actions last = fixture.run->OnTimer(At(1000));
  const Answer& answer = test::AnswerIn(last);
  CHECK(answer.coverage.share == 0.5);
  CHECK(answer.coverage.searched ==
        std::vector<KeyRange>{{0, 100}, {200, 300}});
  CHECK(answer.coverage.missing ==
        std::vector<MissingRange>{{{100, 200}, MissingReason::kDeadline},
                                  {{300, 400}, MissingReason::kDeadline}});
  CHECK(answer.execution == ExecutionState::kMayHaveRun);
  CHECK(CancelledIn(last) ==
        std::vector<AttemptId>{sent[1].attempt, sent[3].attempt});
}

TEST_CASE("owners get less than the remaining time") {
  QueryFixture fixture;
  const Actions actions = fixture.Start();
  for (const Batch& batch : actions.batches) {
    CHECK(batch.remaining < milliseconds(1000));
    CHECK(batch.remaining > milliseconds(900));
  }
}

TEST_CASE(
    "the latency policy answers past the soft deadline at minimum coverage") {
  QueryFixture fixture;
  fixture.service().answer_policy = resources::AnswerPolicy::kLatency;
  fixture.service().soft_deadline = milliseconds(50);
  fixture.service().minimum_coverage = 0.75;
  const std::vector<Sent> sent = SentIn(fixture.Start());
  CHECK(fixture.run->next_timer() <= At(50));
  fixture.Reply(sent[0], test::Rows(sent[0]), At(5));
  fixture.Reply(sent[1], test::Rows(sent[1]), At(5));
  CHECK(!fixture.run->OnTimer(At(50)).outcome.has_value());
  // The coverage reaches the minimum only after the soft deadline: the query
  // ends at once.
  const Actions last = fixture.Reply(sent[2], test::Rows(sent[2]), At(60));
  CHECK(test::AnswerIn(last).coverage.share == 0.75);
  CHECK(CancelledIn(last) == std::vector<AttemptId>{sent[3].attempt});
}

TEST_CASE(
    "the latency policy waits for full coverage until the soft deadline") {
  QueryFixture fixture({.partitions = 2});
  fixture.service().answer_policy = resources::AnswerPolicy::kLatency;
  fixture.service().soft_deadline = milliseconds(50);
  fixture.service().minimum_coverage = 0.5;
  const std::vector<Sent> sent = SentIn(fixture.Start());
  CHECK(!fixture.Reply(sent[0], test::Rows(sent[0]), At(5)).outcome);
  CHECK(!fixture.run->OnTimer(At(49)).outcome);
  CHECK(test::AnswerIn(fixture.run->OnTimer(At(50))).coverage.share == 0.5);
}

TEST_CASE(
    "nothing searched: the refusal states whether an attempt may have run") {
  QueryFixture fixture({.partitions = 1, .replicas = 1});
  const std::vector<Sent> sent = SentIn(fixture.Start());

  SUBCASE(
      "shed before its start: not run, refused at once with a retry-after") {
    OwnerResult reply = Outcome(sent[0], SubqueryOutcome::kShed);
    reply.retry_after = milliseconds(700);
    const Actions last = fixture.Reply(sent[0], std::move(reply), At(3));
    const Refusal& refusal = test::RefusalIn(last);
    CHECK(refusal.error.code == ErrorCode::kUnavailable);
    CHECK(refusal.execution == ExecutionState::kNotRun);
    CHECK(refusal.retry_after.value() >= milliseconds(700));
  }
  SUBCASE("refused as draining: not run") {
    const Actions last =
        fixture.Reply(sent[0], SubqueryOutcome::kDraining, At(3));
    CHECK(test::RefusalIn(last).execution == ExecutionState::kNotRun);
    CHECK(test::RefusalIn(last).retry_after.has_value());
  }
  SUBCASE("expired before its start: not run, deadline exceeded") {
    const Actions last =
        fixture.Reply(sent[0], SubqueryOutcome::kExpiredUnstarted, At(990));
    CHECK(test::RefusalIn(last).execution == ExecutionState::kNotRun);
    CHECK(test::RefusalIn(last).error.code == ErrorCode::kDeadlineExceeded);
  }
  SUBCASE("expired after its start: may have run") {
    const Actions last =
        fixture.Reply(sent[0], SubqueryOutcome::kExpiredStarted, At(990));
    CHECK(test::RefusalIn(last).execution == ExecutionState::kMayHaveRun);
  }
  SUBCASE("no answer until the deadline: may have run") {
    const Actions last = fixture.run->OnTimer(At(1000));
    CHECK(test::RefusalIn(last).execution == ExecutionState::kMayHaveRun);
    CHECK(test::RefusalIn(last).error.code == ErrorCode::kDeadlineExceeded);
  }
  SUBCASE("owner lost: may have run") {
    fixture.ExhaustRetryBudget();
    const Actions last = fixture.run->OnOwnerLost(
        sent[0].owner, OwnerConnectionLoss::kMayHaveReceived, At(3));
    CHECK(test::RefusalIn(last).execution == ExecutionState::kMayHaveRun);
  }
  SUBCASE(
      "owner never reached: not run, refused when too little time remains") {
    Actions last = fixture.run->OnOwnerLost(
        sent[0].owner, OwnerConnectionLoss::kNothingSent, At(3));
    while (!last.outcome.has_value()) {
      const MonotonicTime next = fixture.run->next_timer();
      last = fixture.run->OnTimer(next);
      if (!last.batches.empty()) {
        last = fixture.run->OnBatchUnsent(last.batches.front(), next);
      }
    }
    CHECK(test::RefusalIn(last).execution == ExecutionState::kNotRun);
  }
}

TEST_CASE("a client that disconnects cancels its subqueries") {
  QueryFixture fixture;
  const std::vector<Sent> sent = SentIn(fixture.Start());
  fixture.Reply(sent[0], test::Rows(sent[0]), At(1));
  const Actions last = fixture.run->OnClientGone(At(2));
  CHECK(CancelledIn(last).size() == 3);
  CHECK(std::get<Abandoned>(last.outcome.value()).execution ==
        ExecutionState::kMayHaveRun);
  CHECK(!fixture.run->OnTimer(At(1000)).outcome.has_value());
}

TEST_CASE(
    "without a snapshot, queries are refused as not run with a retry-after") {
  QueryFixture fixture;
  fixture.view.serving.clear();
  const Refusal refusal = test::RefusalIn(fixture.Start());
  CHECK(refusal.error.code == ErrorCode::kUnavailable);
  CHECK(refusal.execution == ExecutionState::kNotRun);
  CHECK(refusal.retry_after.has_value());
}

TEST_CASE(
    "after a wrong snapshot without another holder, the whole query restarts") {
  QueryFixture fixture({.partitions = 2, .replicas = 1});
  const std::vector<Sent> old = SentIn(fixture.Start());
  fixture.Reply(old[0], test::Rows(old[0]), At(5));
  // The new version has three partitions; the answer must not contain rows of
  // the old version.
  fixture.ServeNextVersion(3);
  const Actions restart =
      fixture.Reply(old[1], SubqueryOutcome::kWrongSnapshot, At(6));
  const std::vector<Sent> fresh = SentIn(restart);
  // The third partition has no backend and is reported as missing.
  REQUIRE(fresh.size() == 2);
  CHECK(fresh[0].index_version == 2);
  CHECK(fixture.front.counters.restarts == 1);
  // A late result of the old version arrives.
  fixture.Reply(old[1], test::Rows(old[1]), At(7));
  fixture.Reply(fresh[0], test::Rows(fresh[0]), At(8));
  const Actions last = fixture.Reply(fresh[1], test::Rows(fresh[1]), At(9));
  const Answer& answer = test::AnswerIn(last);
  CHECK(answer.index_version == 2);
  for (const ResultRow& row : answer.rows) {
    CHECK(row.value.starts_with("v2:"));
  }
  CHECK(answer.coverage.searched == std::vector<KeyRange>{{0, 200}});
  CHECK(answer.coverage.missing ==
        std::vector<MissingRange>{{{200, 300}, MissingReason::kUnreachable}});
}

TEST_CASE(
    "if one replica has the wrong snapshot, another holder gets the subquery") {
  QueryFixture fixture({.partitions = 1, .replicas = 2});
  const std::vector<Sent> sent = SentIn(fixture.Start());
  fixture.ServeNextVersion(1);
  const Actions again =
      fixture.Reply(sent[0], SubqueryOutcome::kWrongSnapshot, At(6));
  REQUIRE(SentIn(again).size() == 1);
  CHECK(SentIn(again)[0].index_version == 1);
  CHECK(SentIn(again)[0].backend != sent[0].backend);
}

TEST_CASE(
    "a query refused for its snapshot waits for a view with a newer one") {
  QueryFixture fixture({.partitions = 1, .replicas = 1});
  const std::vector<Sent> sent = SentIn(fixture.Start());
  const Actions waits =
      fixture.Reply(sent[0], SubqueryOutcome::kWrongSnapshot, At(6));
  CHECK(!waits.outcome.has_value());
  CHECK(waits.batches.empty());
  fixture.ServeNextVersion(1);
  const Actions restart = fixture.run->OnTimer(fixture.run->next_timer());
  REQUIRE(SentIn(restart).size() == 1);
  CHECK(SentIn(restart)[0].index_version == 2);
}

TEST_CASE(
    "a draining backend gets no subqueries, whatever the drain's source") {
  QueryFixture fixture({.partitions = 1, .replicas = 2});
  const std::string drained = test::BackendName(0, 0);
  SUBCASE("the operator") { fixture.view.backends[drained].drain = true; }
  SUBCASE("its owner's report") {
    fixture.view.reports[drained].draining = true;
  }
  SUBCASE("the platform") { fixture.view.machines[drained].leaving = true; }
  for (int query = 0; query < 20; ++query) {
    const std::vector<Sent> sent = SentIn(fixture.Start());
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].backend == test::BackendName(0, 1));
    fixture.Reply(sent[0], test::Rows(sent[0]), At(1));
  }
}

TEST_CASE("if all replicas drain, the query is refused as draining, not run") {
  QueryFixture fixture({.partitions = 1, .replicas = 1});
  fixture.view.backends[test::BackendName(0, 0)].drain = true;
  const Refusal refusal = test::RefusalIn(fixture.Start());
  CHECK(refusal.execution == ExecutionState::kNotRun);
  CHECK(refusal.error.message.find("draining") != std::string::npos);
}

}  // namespace juniperway::routing
