#include "common/observation/observation_log.h"

#include <algorithm>
#include <iterator>

namespace juniperway::observation {
namespace {

bool IsRecent(MonotonicTime reported_at, MonotonicTime now) {
  return reported_at != MonotonicTime::min() &&
         now - reported_at < kObservationDecayTime;
}

}  // namespace

void ObservationLog::OnFailed(BackendHash backend, MonotonicTime now) {
  ReportTimes& times = report_times_[backend];
  if (!IsRecent(times.failed, now)) {
    times.failed = now;
    pending_.push_back({.backend = backend, .failed = 1});
  }
}

void ObservationLog::OnAnswered(BackendHash backend, MonotonicTime now) {
  ReportTimes& times = report_times_[backend];
  if (!IsRecent(times.answered, now)) {
    times.answered = now;
    pending_.push_back({.backend = backend, .answered = 1});
  }
}

BackendObservations ObservationLog::Take(std::size_t maximum,
                                         MonotonicTime now) {
  RemoveExpired(now);
  const auto count =
      static_cast<std::ptrdiff_t>(std::min(maximum, pending_.size()));
  BackendObservations taken(pending_.begin(), pending_.begin() + count);
  pending_.erase(pending_.begin(), pending_.begin() + count);
  return taken;
}

void ObservationLog::RemoveExpired(MonotonicTime now) {
  if (now < next_removal_) {
    return;
  }
  next_removal_ = now + kObservationDecayTime;
  std::erase_if(report_times_, [now](const auto& entry) {
    return !IsRecent(entry.second.failed, now) &&
           !IsRecent(entry.second.answered, now);
  });
}

}  // namespace juniperway::observation
