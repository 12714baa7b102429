#include "common/owner/drain_state.h"

namespace juniperway::owner {

std::string_view DrainSourceName(DrainSource source) {
  switch (source) {
    case DrainSource::kNone:
      return "none";
    case DrainSource::kOperator:
      return "operator";
    case DrainSource::kPlatform:
      return "platform";
    case DrainSource::kAnswer:
      return "answer";
    case DrainSource::kHealth:
      return "health";
  }
  return "none";
}

void DrainState::SetReported(bool draining, MonotonicTime now) {
  if (draining && !health_draining_since_) {
    health_draining_since_ = now;
  }
}

void DrainState::OnAnswer(bool draining, MonotonicTime now) {
  if (draining) {
    header_seen_ = now;
    return;
  }
  if (health_draining_since_ &&
      now >= *health_draining_since_ + kContradictionDelay) {
    health_draining_since_.reset();
    health_ignored_until_ = now + kHealthIgnoredWindow;
  }
}

void DrainState::OnHealth(bool draining, MonotonicTime sent,
                          MonotonicTime now) {
  if (!draining) {
    health_draining_since_.reset();
    if (header_seen_ && sent >= *header_seen_ + kHeaderPrecedenceWindow) {
      header_seen_.reset();
    }
    return;
  }
  if (health_ignored_until_ && now < *health_ignored_until_) {
    return;
  }
  if (!health_draining_since_) {
    health_draining_since_ = now;
  }
}

DrainSource DrainState::source() const {
  if (operator_) {
    return DrainSource::kOperator;
  }
  if (platform_) {
    return DrainSource::kPlatform;
  }
  if (header_seen_) {
    return DrainSource::kAnswer;
  }
  return health_draining_since_ ? DrainSource::kHealth : DrainSource::kNone;
}

}  // namespace juniperway::owner
