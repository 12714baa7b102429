#include "lab/experiment/report_table.h"

#include <fmt/format.h>

#include <set>

#include "lab/json_reader.h"
#include "lab/promises/report_json.h"

namespace juniperway::lab {
namespace {

std::string FormatPromises(const PromiseReport& report) {
  std::string text =
      fmt::format("  {:<28}{:>10}{:>12}\n", "promise", "checked", "violations");
  for (const auto& [promise, count] : report.counts()) {
    text += fmt::format("  {:<28}{:>10}{:>12}\n", PromiseName(promise),
                        count.checked, count.violations);
  }
  return text;
}

}  // namespace

std::vector<std::string> UncheckedPromises(const Scenario& scenario,
                                           const PromiseReport& report) {
  std::set<Promise> expected = AlwaysExercised();
  expected.insert(scenario.exercises.begin(), scenario.exercises.end());
  std::vector<std::string> unchecked;
  for (const Promise promise : expected) {
    if (report.count(promise).checked == 0) {
      unchecked.emplace_back(PromiseName(promise));
    }
  }
  return unchecked;
}

nlohmann::json ResultToJson(const RunResult& result) {
  nlohmann::json json = SummaryToJson(result.outcome.summary);
  json["scenario"] = result.scenario;
  json["deployment"] = result.deployment;
  json["seed"] = result.seed;
  json["promises"] = PromisesToJson(result.outcome.report);
  json["measurements"] = result.outcome.measurements;
  json["passed"] = result.passed();
  for (const auto& [name, text] : result.outcome.descriptions) {
    json[name] = text;
  }
  if (!result.failure.empty()) {
    json["failure"] = result.failure;
  }
  if (!result.unchecked.empty()) {
    json["unchecked"] = result.unchecked;
  }
  return json;
}

std::string FormatTable(const RunResult& result) {
  const Summary& summary = result.outcome.summary;
  std::string text = fmt::format("{} on {}, seed {}\n", result.scenario,
                                 result.deployment, result.seed);
  text += fmt::format(
      "  queries     {:>8}   answered {}, partial {}, unanswered {}\n",
      summary.queries, summary.answered, summary.partial, summary.unanswered);
  text += fmt::format(
      "  latency     p50 {:.1f} ms, p99 {:.1f} ms, p99.9 {:.1f} ms\n",
      FractionalMilliseconds(summary.p50), FractionalMilliseconds(summary.p99),
      FractionalMilliseconds(summary.p999));
  text += fmt::format("  coverage    {:.4f} %\n", summary.coverage * 100);
  text += fmt::format("  extra load  {:.2f} %\n", summary.extra_load * 100);
  text += fmt::format(
      "  refusals    not-run {}, may-have-run {}, ran {}; lost {}, timed out "
      "{}, not connected {}\n",
      summary.refused_not_run, summary.refused_may_have_run,
      summary.refused_ran, summary.lost, summary.timed_out,
      summary.not_connected);
  for (const auto& [name, value] : result.outcome.measurements) {
    text += fmt::format("  {} {:.0f}\n", name, value);
  }
  text += FormatPromises(result.outcome.report);
  if (!result.failure.empty()) {
    text += fmt::format("  failure: {}\n", result.failure);
  }
  for (const std::string& promise : result.unchecked) {
    text += fmt::format("  never checked: {}\n", promise);
  }
  return text + (result.passed() ? "  every promise was kept\n" : "  FAILED\n");
}

}  // namespace juniperway::lab
