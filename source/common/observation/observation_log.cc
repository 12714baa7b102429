#include "common/observation/observation_log.h"

#include <algorithm>
#include <iterator>

namespace juniperway::observation {
namespace {

bool IsRecent(MonotonicTime told, MonotonicTime now) {
  return told != MonotonicTime::min() && now - told < kMemory;
}

}  // namespace

void ObservationLog::OnFailed(BackendHash backend, MonotonicTime now) {
  Told& told = told_[backend];
  if (!IsRecent(told.failed, now)) {
    told.failed = now;
    news_.push_back({.backend = backend, .failed = 1});
  }
}

void ObservationLog::OnAnswered(BackendHash backend, MonotonicTime now) {
  Told& told = told_[backend];
  if (!IsRecent(told.answered, now)) {
    told.answered = now;
    news_.push_back({.backend = backend, .answered = 1});
  }
}

BackendObservations ObservationLog::Take(std::size_t most, MonotonicTime now) {
  ForgetOld(now);
  const auto count = static_cast<std::ptrdiff_t>(std::min(most, news_.size()));
  BackendObservations taken(news_.begin(), news_.begin() + count);
  news_.erase(news_.begin(), news_.begin() + count);
  return taken;
}

void ObservationLog::ForgetOld(MonotonicTime now) {
  if (now < next_forget_) {
    return;
  }
  next_forget_ = now + kMemory;
  std::erase_if(told_, [now](const auto& entry) {
    return !IsRecent(entry.second.failed, now) &&
           !IsRecent(entry.second.answered, now);
  });
}

}  // namespace juniperway::observation
