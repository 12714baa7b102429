#include "lab/promises/answer_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <vector>

namespace juniperway::lab {
namespace {

constexpr int kOk = 200;
// Shares travel as decimal fractions.
constexpr double kShareTolerance = 1e-6;

const std::set<std::string>& KnownReasons() {
  static const std::set<std::string> reasons = {
      "deadline", "shed", "lost", "draining", "wrong_snapshot", "unreachable"};
  return reasons;
}

KeyRange AskedRange(const Query& query) {
  return query.range.value_or(KeyRange{0, kKeySpaceEnd});
}

double Length(const KeyRange& range) {
  return static_cast<double>(range.end - range.begin);
}

bool ByKey(const Row& left, const Row& right) { return left.key < right.key; }

// The version that the row's value comes from; nothing if it is no record of
// the service.
std::optional<resources::IndexVersion> VersionOf(
    const Dataset& dataset, const std::set<resources::IndexVersion>& published,
    const Row& row) {
  for (const resources::IndexVersion version : published) {
    if (dataset.ValueAt(version, row.key) == row.value) {
      return version;
    }
  }
  return std::nullopt;
}

// What is wrong with how `ranges` cover `asked`; empty when nothing is.
std::string TilingFault(std::vector<KeyRange> ranges, const KeyRange& asked) {
  std::sort(ranges.begin(), ranges.end());
  Key covered = asked.begin;
  for (const KeyRange& range : ranges) {
    if (range.empty()) {
      return "an empty range is named";
    }
    if (range.begin != covered) {
      return fmt::format("{} at key {}",
                         range.begin < covered ? "overlap" : "gap", covered);
    }
    covered = range.end;
  }
  return covered == asked.end ? "" : fmt::format("ends at key {}", covered);
}

class AnswerChecker {
 public:
  AnswerChecker(const Dataset& dataset,
                const std::set<resources::IndexVersion>& published,
                const Query& query, const std::string& request_id,
                const Answer& answer)
      : dataset_(dataset),
        published_(published),
        query_(query),
        request_id_(request_id),
        answer_(answer),
        expected_(ExpectedRows()) {}

  // Each returns what is wrong, or an empty string.
  std::string SnapshotFault() const;
  std::string CoverageFault() const;
  std::string OwnershipFault() const;

 private:
  std::vector<Row> ExpectedRows() const;
  std::string CoverageClaimFault() const;
  std::string RowsFault() const;

  const Dataset& dataset_;
  const std::set<resources::IndexVersion>& published_;
  const Query& query_;
  const std::string& request_id_;
  const Answer& answer_;
  // All right rows of the ranges that the answer claims to have searched.
  std::vector<Row> expected_;
};

std::vector<Row> AnswerChecker::ExpectedRows() const {
  std::vector<Row> rows;
  for (const KeyRange& range : answer_.searched) {
    const std::vector<Row> part =
        dataset_.Rows(answer_.snapshot, range, query_.text);
    rows.insert(rows.end(), part.begin(), part.end());
  }
  std::sort(rows.begin(), rows.end(), ByKey);
  return rows;
}

std::string AnswerChecker::SnapshotFault() const {
  if (!published_.contains(answer_.snapshot)) {
    return fmt::format("names snapshot {}, never published", answer_.snapshot);
  }
  for (const Row& row : answer_.rows) {
    const auto version = VersionOf(dataset_, published_, row);
    if (version && *version != answer_.snapshot &&
        dataset_.ValueAt(answer_.snapshot, row.key) != row.value) {
      return fmt::format("names snapshot {}, holds a row of {} (key {})",
                         answer_.snapshot, *version, row.key);
    }
  }
  return "";
}

std::string AnswerChecker::CoverageClaimFault() const {
  const KeyRange asked = AskedRange(query_);
  std::vector<KeyRange> named = answer_.searched;
  double searched = 0;
  for (const KeyRange& range : answer_.searched) {
    searched += Length(range);
  }
  for (const MissingRange& missing : answer_.missing) {
    named.push_back(missing.range);
    if (!KnownReasons().contains(missing.reason)) {
      return fmt::format("unknown reason '{}'", missing.reason);
    }
  }
  if (std::string fault = TilingFault(named, asked); !fault.empty()) {
    return "searched and missing ranges do not make up the asked one: " + fault;
  }
  if (std::abs(answer_.share - searched / Length(asked)) > kShareTolerance) {
    return fmt::format("claims share {}, names {}", answer_.share,
                       searched / Length(asked));
  }
  if ((answer_.status == kOk) != answer_.missing.empty()) {
    return fmt::format("status {} with {} missing ranges", answer_.status,
                       answer_.missing.size());
  }
  return "";
}

std::string AnswerChecker::RowsFault() const {
  std::vector<Row> expected = expected_;
  if (answer_.truncated) {
    if (query_.limit == 0 || expected.size() <= query_.limit) {
      return "claims to be truncated without need";
    }
    expected.resize(query_.limit);
  }
  std::vector<Row> got = answer_.rows;
  std::sort(got.begin(), got.end(), ByKey);
  std::vector<Row> lost;
  std::set_difference(expected.begin(), expected.end(), got.begin(), got.end(),
                      std::back_inserter(lost), ByKey);
  if (!lost.empty()) {
    return fmt::format("{} rows of searched ranges are not there (key {})",
                       lost.size(), lost.front().key);
  }
  std::vector<Row> surplus;
  std::set_difference(got.begin(), got.end(), expected.begin(), expected.end(),
                      std::back_inserter(surplus), ByKey);
  if (!surplus.empty()) {
    return fmt::format("{} rows are from ranges not searched (key {})",
                       surplus.size(), surplus.front().key);
  }
  return "";
}

std::string AnswerChecker::CoverageFault() const {
  std::string fault = CoverageClaimFault();
  return fault.empty() ? RowsFault() : fault;
}

std::string AnswerChecker::OwnershipFault() const {
  if (answer_.request_id != request_id_ || answer_.service != query_.service) {
    return fmt::format("answers {} of {}", answer_.request_id, answer_.service);
  }
  // What was not searched may have run all the same.
  const std::string_view execution =
      ExecutionStateName(answer_.missing.empty() ? ExecutionState::kRan
                                                 : ExecutionState::kMayHaveRun);
  if (answer_.execution != execution) {
    return fmt::format("{} ranges are missing, and it says {}",
                       answer_.missing.size(), answer_.execution);
  }
  const KeyRange asked = AskedRange(query_);
  for (std::size_t index = 0; index < answer_.rows.size(); ++index) {
    const Row& row = answer_.rows[index];
    if (index > 0 && answer_.rows[index - 1].key >= row.key) {
      return fmt::format("row doubled or out of order at key {}", row.key);
    }
    if (!asked.Contains(row.key)) {
      return fmt::format("row outside the asked range at key {}", row.key);
    }
    const auto version = VersionOf(dataset_, published_, row);
    if (!version) {
      return fmt::format("no record of the service at key {}", row.key);
    }
    if (dataset_.Rows(*version, {row.key, row.key + 1}, query_.text).empty()) {
      return fmt::format("row does not match the query at key {}", row.key);
    }
  }
  return "";
}

}  // namespace

void CheckAnswer(const Dataset& dataset,
                 const std::set<resources::IndexVersion>& published,
                 const Query& query, const std::string& request_id,
                 const Answer& answer, PromiseReport& report) {
  const AnswerChecker checker(dataset, published, query, request_id, answer);
  const auto check = [&](Promise promise, const std::string& fault) {
    report.Check(promise, fault.empty(), request_id + ": " + fault);
  };
  check(Promise::kOneSnapshot, checker.SnapshotFault());
  check(Promise::kCoverageTrue, checker.CoverageFault());
  check(Promise::kWholeAndOwn, checker.OwnershipFault());
}

}  // namespace juniperway::lab
