#include "lab/backend/model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace juniperway::lab {
namespace {

constexpr int kOk = 200;
constexpr int kWrongVersion = 409;
constexpr int kUnavailable = 503;
constexpr int kDeadlinePassed = 504;

}  // namespace

BackendModel::BackendModel(const BackendSettings& settings, MonotonicTime now)
    : settings_(settings),
      dataset_(settings.service, settings.record_count),
      random_(settings.seed),
      holdings_(settings.holdings),
      cold_since_(now) {
  RecordReport(now);
}

Admission BackendModel::Admit(const SearchRequest& request, MonotonicTime now) {
  ++counters_.arrived;
  const Holding* holding = FindHolding(request);
  if (holding == nullptr) {
    ++counters_.refused_wrong_version;
    return {.status = kWrongVersion};
  }
  if (request.deadline && *request.deadline <= Duration(0) &&
      !behaviour_.ignore_deadline) {
    ++counters_.refused_expired;
    return {.status = kDeadlinePassed};
  }
  if (draining_since_ && behaviour_.refuse_when_draining) {
    ++counters_.refused_draining;
    return {.status = kUnavailable};
  }
  if (running_ >= settings_.slots) {
    ++counters_.arrived_over_slots;
    ++counters_.shed;
    return {.status = kUnavailable};
  }
  if (Draw(behaviour_.shed_probability)) {
    ++counters_.shed;
    return {.status = kUnavailable};
  }
  return Begin(request, holding->range, now);
}

Admission BackendModel::Begin(const SearchRequest& request,
                              const KeyRange& shard_range, MonotonicTime now) {
  ++counters_.begun;
  ++running_;
  counters_.peak_running = std::max(counters_.peak_running, running_);
  if (draining_since_) {
    ++counters_.begun_while_draining;
    counters_.last_begun_after_drain = now - *draining_since_;
  }
  RecordReport(now);
  const Duration work = DrawWork(now);
  const bool too_late = request.deadline && work > *request.deadline &&
                        !behaviour_.ignore_deadline;
  if (too_late) {
    return {true, kDeadlinePassed, *request.deadline, shard_range};
  }
  return {true, kOk, work, shard_range};
}

void BackendModel::Finish(MonotonicTime now) {
  ++counters_.finished;
  --running_;
  RecordReport(now);
}

bool BackendModel::CancelEndsWork() {
  ++counters_.cancelled;
  return !behaviour_.ignore_cancel;
}

resources::IndexVersion BackendModel::AnsweredVersion(
    const SearchRequest& request) const {
  return behaviour_.answered_version.value_or(request.index_version);
}

std::vector<Row> BackendModel::Answer(const SearchRequest& request,
                                      const KeyRange& shard_range) const {
  const KeyRange range = behaviour_.whole_shard_rows
                             ? shard_range
                             : shard_range.Intersection(request.range);
  std::vector<Row> rows =
      dataset_.Rows(AnsweredVersion(request), range, request.query);
  if (rows.size() > request.limit) {
    rows.resize(request.limit);
  }
  return rows;
}

void BackendModel::SetBehaviour(const Behaviour& behaviour, MonotonicTime now) {
  behaviour_ = behaviour;
  if (!behaviour.draining) {
    draining_since_.reset();
  } else if (!draining_since_) {
    draining_since_ = now;
  }
  RecordReport(now);
}

void BackendModel::StartCold(MonotonicTime now) {
  cold_since_ = now;
  RecordReport(now);
}

void BackendModel::Hold(const Holding& holding) {
  if (std::find(holdings_.begin(), holdings_.end(), holding) ==
      holdings_.end()) {
    holdings_.push_back(holding);
  }
}

void BackendModel::Retire(resources::IndexVersion index_version) {
  std::erase_if(holdings_, [&](const Holding& holding) {
    return holding.index_version == index_version;
  });
}

void BackendModel::SetConnections(std::uint32_t open) {
  counters_.peak_connections = std::max(counters_.peak_connections, open);
}

HealthReport BackendModel::Health(MonotonicTime now) const {
  HealthReport report = reports_.front().report;
  for (const TimedReport& timed : reports_) {
    if (timed.time <= now - behaviour_.report_lag) {
      report = timed.report;
    }
  }
  if (report.state == "ok" && IsCold(now - behaviour_.report_lag)) {
    report.state = "cold";
  }
  report.state = behaviour_.claimed_state.value_or(report.state);
  report.running = behaviour_.claimed_running.value_or(report.running);
  return report;
}

std::map<resources::IndexVersion, std::set<std::string>>
BackendModel::HeldShards() const {
  std::map<resources::IndexVersion, std::set<std::string>> held;
  for (const Holding& holding : holdings_) {
    held[holding.index_version].insert(holding.shard);
  }
  return held;
}

bool BackendModel::IsCold(MonotonicTime now) const {
  return now - cold_since_ < settings_.cold_start;
}

const Holding* BackendModel::FindHolding(const SearchRequest& request) const {
  for (const Holding& holding : holdings_) {
    if (holding.index_version == request.index_version &&
        holding.shard == request.shard) {
      return &holding;
    }
  }
  return nullptr;
}

Duration BackendModel::DrawWork(MonotonicTime now) {
  std::normal_distribution<double> normal(0, settings_.service_time_sigma);
  double work = static_cast<double>(settings_.median_service_time.count()) *
                std::exp(normal(random_)) * behaviour_.slow_factor;
  if (IsCold(now)) {
    const double warmed = static_cast<double>((now - cold_since_).count()) /
                          static_cast<double>(settings_.cold_start.count());
    work *= settings_.cold_factor + (1 - settings_.cold_factor) * warmed;
  }
  if (Draw(behaviour_.stall_probability)) {
    work += static_cast<double>(behaviour_.stall.count());
  }
  return Duration(static_cast<Duration::rep>(work));
}

bool BackendModel::Draw(double probability) {
  return probability > 0 &&
         std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

void BackendModel::RecordReport(MonotonicTime now) {
  reports_.push_back(
      {now, {behaviour_.draining ? "draining" : "ok", running_}});
  while (reports_.size() > 1 &&
         reports_[1].time <= now - behaviour_.report_lag) {
    reports_.pop_front();
  }
}

}  // namespace juniperway::lab
