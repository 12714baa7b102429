#include "common/session/endpoint_preference.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace juniperway::session {

EndpointPreference::EndpointPreference(const PreferenceTiming& timing,
                                       std::size_t count, std::uint64_t seed)
    : timing_(timing),
      random_(seed),
      draw_random_(~seed),
      pause_(timing.first_pause) {
  for (std::size_t endpoint = 0; endpoint < count; ++endpoint) {
    Append();
  }
  std::ranges::shuffle(order_, random_);
  // Their draws stand in the order of the shuffle.
  std::vector<std::uint64_t> draws = draws_;
  std::ranges::sort(draws);
  for (std::size_t place = 0; place < count; ++place) {
    draws_[order_[place]] = draws[place];
  }
}

void EndpointPreference::Add() {
  const std::size_t kept = current();
  Append();
  Sort();
  MoveTo(kept);
}

void EndpointPreference::Append() {
  order_.push_back(localities_.size());
  localities_.push_back(Locality::kOtherRegion);
  draws_.push_back(draw_random_());
}

void EndpointPreference::Sort() {
  std::ranges::sort(order_, {}, [this](std::size_t index) {
    return std::pair(localities_[index], draws_[index]);
  });
}

bool EndpointPreference::MoveToNearest() {
  if (localities_[order_.front()] >= localities_[current()]) {
    return false;
  }
  before_trial_.reset();
  position_ = 0;
  return true;
}

void EndpointPreference::SetLocality(std::size_t endpoint, Locality locality,
                                     MonotonicTime now) {
  if (localities_.at(endpoint) == locality) {
    return;
  }
  localities_.at(endpoint) = locality;
  const std::size_t kept = current();
  Sort();
  MoveTo(kept);
  if (next_trial_ <= now) {
    next_trial_ = now + Draw(Duration(0), timing_.settle);
  }
}

void EndpointPreference::OnFailed(MonotonicTime now) {
  if (before_trial_) {
    MoveTo(*std::exchange(before_trial_, std::nullopt));
    pause_ = std::min(pause_ * 2, timing_.longest_pause);
  } else {
    position_ = (position_ + 1) % order_.size();
  }
  next_trial_ = now + Draw(pause_ / 2, pause_);
}

void EndpointPreference::UseLongestPause() { pause_ = timing_.longest_pause; }

void EndpointPreference::OnGranted() {
  if (before_trial_) {
    before_trial_.reset();
    pause_ = timing_.first_pause;
  }
}

bool EndpointPreference::IsTrialDue(MonotonicTime now) const {
  return !before_trial_ && now >= next_trial_ && !NearerEndpoints().empty();
}

void EndpointPreference::BeginTrial() {
  const std::vector<std::size_t> nearer = NearerEndpoints();
  before_trial_ = current();
  MoveTo(nearer[trials_++ % nearer.size()]);
}

std::vector<std::size_t> EndpointPreference::NearerEndpoints() const {
  const Locality current_locality = localities_[current()];
  std::vector<std::size_t> nearer;
  std::ranges::copy_if(
      order_, std::back_inserter(nearer),
      [&](std::size_t index) { return localities_[index] < current_locality; });
  return nearer;
}

void EndpointPreference::MoveTo(std::size_t endpoint) {
  const auto found = std::ranges::find(order_, endpoint);
  position_ = static_cast<std::size_t>(found - order_.begin());
}

Duration EndpointPreference::Draw(Duration shortest, Duration longest) {
  std::uniform_int_distribution<Duration::rep> delay(shortest.count(),
                                                     longest.count());
  return Duration(delay(random_));
}

}  // namespace juniperway::session
