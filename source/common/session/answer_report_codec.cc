#include "common/session/answer_report_codec.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace juniperway::session {

void EncodeAnswerReports(const std::vector<rollout::AnswerReport>& reports,
                         protocol::HeartbeatT& heartbeat) {
  for (const rollout::AnswerReport& report : reports) {
    auto record = std::make_unique<protocol::AnswerReportRecordT>();
    record->service = report.group.service;
    record->route = report.group.route;
    record->canary = report.group.canary;
    record->rollout = report.rollout;
    record->failed = report.counts.failed;
    record->untimed = report.counts.untimed;
    record->timed.assign(report.counts.timed.begin(),
                         report.counts.timed.end());
    while (!record->timed.empty() && record->timed.back() == 0) {
      record->timed.pop_back();
    }
    heartbeat.answer_reports.push_back(std::move(record));
  }
}

std::vector<rollout::AnswerReport> DecodeAnswerReports(
    const protocol::HeartbeatT& heartbeat) {
  std::vector<rollout::AnswerReport> reports;
  reports.reserve(heartbeat.answer_reports.size());
  for (const auto& record : heartbeat.answer_reports) {
    rollout::AnswerReport report;
    report.group = {.service = record->service,
                    .route = record->route,
                    .canary = record->canary};
    report.rollout = record->rollout;
    report.counts.failed = record->failed;
    report.counts.untimed = record->untimed;
    const std::size_t steps =
        std::min(record->timed.size(), rollout::kLatencySteps);
    std::copy_n(record->timed.begin(), steps, report.counts.timed.begin());
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace juniperway::session
