// Plants one defect at a time in a faultless answer; the checker must name the
// promise that it breaks.
#include "lab/promises/answer_check.h"

#include <doctest/doctest.h>

#include <string>

namespace juniperway::lab {
namespace {

constexpr Key kHalf = kKeySpaceEnd / 2;

struct Fixture {
  Dataset dataset{"logs", 200};
  std::set<resources::IndexVersion> published{6, 7};
  Query query;
  Answer answer;

  Fixture() {
    query.service = "logs";
    query.text = kMatchAll;
    answer.status = 206;
    answer.request_id = "q-1";
    answer.service = "logs";
    answer.execution = "may-have-run";
    answer.snapshot = 7;
    answer.share = 0.5;
    answer.searched = {{0, kHalf}};
    answer.missing = {{{kHalf, kKeySpaceEnd}, "deadline"}};
    answer.rows = dataset.Rows(7, {0, kHalf}, kMatchAll);
  }

  PromiseReport Check() const {
    PromiseReport report;
    CheckAnswer(dataset, published, query, "q-1", answer, report);
    return report;
  }

  bool Breaks(Promise promise) const {
    return Check().count(promise).violations > 0;
  }
};

TEST_CASE_FIXTURE(Fixture, "a right answer breaks nothing") {
  CHECK(Check().violations() == 0);
  CHECK(Check().count(Promise::kOneSnapshot).checked == 1);
}

TEST_CASE_FIXTURE(Fixture, "a row of another version breaks one_snapshot") {
  for (Row& row : answer.rows) {
    if (const auto other = dataset.ValueAt(6, row.key)) {
      row.value = *other;
      break;
    }
  }
  CHECK(Breaks(Promise::kOneSnapshot));
}

TEST_CASE_FIXTURE(Fixture, "an unpublished snapshot breaks one_snapshot") {
  published.erase(7);
  CHECK(Breaks(Promise::kOneSnapshot));
}

TEST_CASE_FIXTURE(Fixture, "a claim without the rows breaks coverage_true") {
  SUBCASE("a row is lost") { answer.rows.pop_back(); }
  SUBCASE("an unsearched range is claimed") {
    answer.searched = {{0, kKeySpaceEnd}};
    answer.missing.clear();
    answer.share = 1;
    answer.status = 200;
  }
  SUBCASE("a range is in neither list") { answer.missing.clear(); }
  SUBCASE("a range is in both lists") {
    answer.missing[0].range.begin = kHalf - 10;
  }
  SUBCASE("the share does not fit the ranges") { answer.share = 0.75; }
  SUBCASE("the reason is none") { answer.missing[0].reason = "whim"; }
  SUBCASE("a partial answer says whole") { answer.status = 200; }
  SUBCASE("rows of a range that was not searched") {
    const auto more = dataset.Rows(7, {kHalf, kKeySpaceEnd}, kMatchAll);
    answer.rows.push_back(more.front());
  }
  SUBCASE("cut off without saying so") {
    query.limit = 10;
    answer.rows.resize(10);
  }
  SUBCASE("says cut off without need") {
    query.limit = 1000;
    answer.truncated = true;
  }
  CHECK(Breaks(Promise::kCoverageTrue));
}

TEST_CASE_FIXTURE(Fixture, "the first rows up to the limit are right") {
  query.limit = 10;
  answer.rows.resize(10);
  answer.truncated = true;
  CHECK(Check().violations() == 0);
}

TEST_CASE_FIXTURE(Fixture, "someone else's piece breaks whole_and_own") {
  SUBCASE("another request's answer") { answer.request_id = "q-2"; }
  SUBCASE("another service's answer") { answer.service = "ledger"; }
  SUBCASE("a row of another service") {
    answer.rows[3].value =
        Dataset("ledger", 200).Rows(7, {0, kKeySpaceEnd}, kMatchAll)[3].value;
  }
  SUBCASE("a row that another query asked for") {
    const auto own = dataset.Rows(7, {0, kHalf}, TermName(1));
    query.text = TermName(1);
    answer.rows = own;
    answer.rows.push_back(dataset.Rows(7, {0, kHalf}, TermName(2)).back());
  }
  SUBCASE("a doubled row") { answer.rows.push_back(answer.rows.back()); }
  SUBCASE("an answer that says not-run") { answer.execution = "not-run"; }
  SUBCASE("a partial answer that says ran") { answer.execution = "ran"; }
  CHECK(Breaks(Promise::kWholeAndOwn));
}

}  // namespace
}  // namespace juniperway::lab
