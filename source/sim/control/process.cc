#include "sim/control/process.h"

#include <algorithm>
#include <cmath>

namespace juniperway::sim {
namespace {

constexpr Duration kMaximumClockOffset = seconds(100);
// How often what waits on a cut way is tried again.
constexpr Duration kRetransmission = milliseconds(40);

}  // namespace

Process::Process(Surroundings& surroundings, ProcessNumber number,
                 double clock_drift)
    : surroundings_(surroundings), number_(number) {
  std::uniform_real_distribution<double> rate(1.0 - clock_drift / 2,
                                              1.0 + clock_drift / 2);
  clock_rate_ = rate(surroundings.random);
  clock_offset_ = surroundings.Between(Duration(0), kMaximumClockOffset);
}

MonotonicTime Process::Now() const {
  const auto elapsed = static_cast<double>(
      surroundings_.timeline.now().time_since_epoch().count());
  return MonotonicTime(clock_offset_ + Duration(static_cast<Duration::rep>(
                                           elapsed * clock_rate_)));
}

void Process::Freeze(Duration duration) {
  frozen_until_ = surroundings_.timeline.now() + duration;
}

void Process::BeginRunning() {
  running_ = true;
  ++starts_;
  frozen_until_ = MonotonicTime::min();
}

void Process::EndRunning() { running_ = false; }

void Process::After(Duration delay, std::function<void()> run) {
  surroundings_.timeline.After(
      delay, [this, start = starts_, run = std::move(run)]() mutable {
        Run(start, std::move(run));
      });
}

void Process::At(MonotonicTime local_time, std::function<void()> run) {
  const double delay =
      static_cast<double>((local_time - Now()).count()) / clock_rate_;
  const Duration rounded(static_cast<Duration::rep>(std::ceil(delay)));
  After(std::max(rounded, microseconds(1)), std::move(run));
}

void Process::Deliver(std::function<void()> run) {
  Run(starts_, std::move(run));
}

void Process::Run(std::uint64_t start, std::function<void()> run) {
  if (!running_ || start != starts_) {
    return;
  }
  if (IsFrozen()) {
    After(frozen_until_ - surroundings_.timeline.now(), std::move(run));
    return;
  }
  run();
}

Duration Network::Delay() {
  return surroundings_.Between(options_.minimum_delay, options_.maximum_delay);
}

void Network::Send(ProcessNumber from, Process& to,
                   const std::function<void()>& run) {
  const int copies = surroundings_.Chance(options_.duplication) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (IsCut(from, to.number()) || surroundings_.Chance(options_.loss)) {
      continue;
    }
    const Duration delay =
        surroundings_.Chance(options_.late)
            ? surroundings_.Between(options_.minimum_delay,
                                    options_.maximum_lateness)
            : Delay();
    surroundings_.timeline.After(delay, [&to, run] { to.Deliver(run); });
  }
}

void Stream::Send(std::function<void()> run) {
  const MonotonicTime now = surroundings_.timeline.now();
  under_way_.push_back(std::move(run));
  last_arrival_ = std::max(last_arrival_, now + network_.Delay());
  surroundings_.timeline.After(last_arrival_ - now,
                               [self = shared_from_this()] { self->Arrive(); });
}

void Stream::Arrive() {
  if (network_.IsCut(from_, to_.number())) {
    surroundings_.timeline.After(
        kRetransmission, [self = shared_from_this()] { self->Arrive(); });
    return;
  }
  std::function<void()> run = std::move(under_way_.front());
  under_way_.pop_front();
  to_.Deliver(std::move(run));
}

}  // namespace juniperway::sim
