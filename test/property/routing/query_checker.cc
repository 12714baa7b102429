#include "property/routing/query_checker.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace juniperway::routing::testing {
namespace {

std::vector<Key> KeysIn(KeyRange range) {
  std::vector<Key> keys;
  const Key first = (range.begin + kRowSpacing - 1) / kRowSpacing;
  for (Key key = first * kRowSpacing; key < range.end; key += kRowSpacing) {
    keys.push_back(key);
  }
  return keys;
}

// Collects the violations of one query.
class Check {
 public:
  Check(const QueryRecord& query, std::vector<std::string>& violations)
      : query_(query), violations_(violations) {}

  void Expect(bool holds, const std::string& violation) {
    if (!holds) {
      violations_.push_back("query " + std::to_string(query_.id) + ": " +
                            violation);
    }
  }

  bool AnyBegun() const {
    return std::ranges::any_of(
        query_.sent, [](const auto& entry) { return entry.second.begun; });
  }
  bool AllToldNotRun() const {
    return std::ranges::all_of(query_.sent, [](const auto& entry) {
      return entry.second.delivered_not_run;
    });
  }

  void CheckExecution(ExecutionState execution) {
    Expect(execution != ExecutionState::kNotRun || !AnyBegun(),
           "reported as not run, but a backend started a subquery");
    Expect(execution == ExecutionState::kNotRun || !AllToldNotRun(),
           "reported as may have run, but no subquery was started");
  }

  void CheckAnswer(const Answer& answer) {
    CheckRanges(answer.coverage);
    CheckRows(answer);
    for (const auto& [attempt, sent] : query_.sent) {
      const bool counts =
          sent.delivered_rows && sent.version == answer.index_version;
      Expect(!counts || IsSearched(answer.coverage, sent.range),
             "rows were received, but their range is reported as missing");
    }
    for (const KeyRange& range : answer.coverage.searched) {
      CheckWasSearched(answer.index_version, range);
    }
    const bool whole = answer.coverage.missing.empty();
    Expect((answer.execution == ExecutionState::kRan) == whole,
           "execution state contradicts the coverage");
  }

  void CheckAtMostOnce() {
    std::vector<KeyRange> begun;
    for (const auto& [attempt, subquery] : query_.sent) {
      const SentSubquery& sent = subquery;
      if (!sent.begun) {
        continue;
      }
      const bool again = std::ranges::any_of(begun, [&](const KeyRange& range) {
        return range.Intersects(sent.range);
      });
      Expect(!again, "not repeatable, but a range was started twice");
      begun.push_back(sent.range);
    }
  }

  void CheckAllEnded() {
    for (const auto& [attempt, sent] : query_.sent) {
      Expect(sent.completed || sent.cancelled,
             "subquery " + std::to_string(attempt) +
                 " was neither completed nor cancelled");
    }
  }

 private:
  static bool IsSearched(const Coverage& coverage, KeyRange range) {
    return std::ranges::any_of(
        coverage.searched, [range](const KeyRange& searched) {
          return searched.begin <= range.begin && range.end <= searched.end;
        });
  }

  // Checks that the searched and missing ranges make up the requested range
  // without overlap.
  void CheckRanges(const Coverage& coverage) {
    std::vector<KeyRange> all = coverage.searched;
    Key searched = 0;
    for (const KeyRange& range : coverage.searched) {
      searched += range.end - range.begin;
    }
    for (const MissingRange& missing : coverage.missing) {
      all.push_back(missing.range);
    }
    std::ranges::sort(all);
    Key next = query_.asked.begin;
    for (const KeyRange& range : all) {
      Expect(range.begin == next, "coverage has a gap or an overlap");
      next = range.end;
    }
    Expect(next == query_.asked.end,
           "coverage does not end at the end of the requested range");
    const double share = static_cast<double>(searched) /
                         static_cast<double>(next - query_.asked.begin);
    Expect(share == coverage.share,
           "coverage share does not match the searched ranges");
  }

  // Checks that the answer has exactly the expected rows of its index version
  // in the searched ranges, up to the row limit.
  void CheckRows(const Answer& answer) {
    std::vector<Key> keys;
    for (const KeyRange& range : answer.coverage.searched) {
      const std::vector<Key> more = KeysIn(range);
      keys.insert(keys.end(), more.begin(), more.end());
    }
    Expect(answer.truncated == (keys.size() > query_.row_limit),
           "truncated contradicts the row limit");
    keys.resize(std::min<std::size_t>(keys.size(), query_.row_limit));
    bool same = answer.rows.size() == keys.size();
    for (std::size_t i = 0; same && i < keys.size(); ++i) {
      same =
          answer.rows[i].key == keys[i] &&
          answer.rows[i].value == ExpectedValue(answer.index_version, keys[i]);
    }
    Expect(
        same,
        "rows differ from those of the answer's snapshot and searched ranges");
  }

  // Checks that the subqueries whose rows the front accepted cover the whole
  // range.
  void CheckWasSearched(resources::IndexVersion version, KeyRange range) {
    Key covered = range.begin;
    for (bool grew = true; grew && covered < range.end;) {
      grew = false;
      for (const auto& [attempt, sent] : query_.sent) {
        if (sent.delivered_rows && sent.version == version &&
            sent.range.Contains(covered)) {
          covered = sent.range.end;
          grew = true;
        }
      }
    }
    Expect(covered >= range.end,
           "a range is reported as searched, but no subquery searched it");
  }

  const QueryRecord& query_;
  std::vector<std::string>& violations_;
};

}  // namespace

std::string ExpectedValue(resources::IndexVersion version, Key key) {
  return "v" + std::to_string(version) + ":" + std::to_string(key);
}

RowBlock ExpectedRows(resources::IndexVersion version, KeyRange range) {
  const std::vector<Key> keys = KeysIn(range);
  auto values = std::make_shared<std::vector<std::string>>();
  for (const Key key : keys) {
    values->push_back(ExpectedValue(version, key));
  }
  RowBlock block;
  for (std::size_t i = 0; i < keys.size(); ++i) {
    block.rows.push_back({keys[i], (*values)[i]});
  }
  block.storage = std::move(values);
  return block;
}

void CheckQuery(const QueryRecord& query, Duration maximum_delay,
                std::vector<std::string>& violations) {
  Check check(query, violations);
  check.Expect(
      query.outcomes.size() == 1,
      std::to_string(query.outcomes.size()) + " outcomes instead of one");
  check.Expect(query.ended <= query.deadline + maximum_delay,
               "ended too long after its deadline");
  if (query.outcomes.empty()) {
    return;
  }
  const QueryOutcome& outcome = query.outcomes.front();
  if (const auto* answer = std::get_if<Answer>(&outcome)) {
    check.CheckAnswer(*answer);
  } else if (const auto* refusal = std::get_if<Refusal>(&outcome)) {
    check.CheckExecution(refusal->execution);
    check.Expect(refusal->retry_after.has_value(),
                 "refusal without a retry-after");
  } else {
    check.CheckExecution(std::get<Abandoned>(outcome).execution);
  }
  if (!query.repeatable) {
    check.CheckAtMostOnce();
  }
  check.CheckAllEnded();
}

}  // namespace juniperway::routing::testing
