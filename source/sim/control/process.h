// Processes and the network between them, under virtual time: what a process
// does later is lost when it ends, waits while it is frozen, and its clock runs
// at its own rate.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <utility>

#include "common/base/time.h"
#include "sim/timeline.h"

namespace juniperway::sim {

using ProcessNumber = int;

// Time and chance of one run.
struct Surroundings {
  explicit Surroundings(std::uint64_t seed) : random(seed) {}

  Duration Between(Duration minimum, Duration maximum) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        minimum.count(), maximum.count())(random));
  }
  bool Chance(double probability) {
    return std::bernoulli_distribution(probability)(random);
  }
  std::uint64_t Pick(std::uint64_t count) {
    return std::uniform_int_distribution<std::uint64_t>(0, count - 1)(random);
  }

  // Unique in this run.
  std::uint64_t MakeNumber() { return ++last_number; }

  Timeline timeline;
  std::mt19937_64 random;
  std::uint64_t last_number = 0;
};

class Process {
 public:
  // @param clock_drift its clock's rate is within 1 ± half of this.
  Process(Surroundings& surroundings, ProcessNumber number, double clock_drift);
  virtual ~Process() = default;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  ProcessNumber number() const { return number_; }
  bool running() const { return running_; }
  bool IsFrozen() const { return frozen_until_ > surroundings_.timeline.now(); }
  bool IsResponsive() const { return running_ && !IsFrozen(); }
  void Freeze(Duration duration);

  // What arrives from outside: dropped when it does not run at that time.
  void Deliver(std::function<void()> run);

  // Time on its own clock.
  MonotonicTime Now() const;

 protected:
  void BeginRunning();
  void EndRunning();
  // Runs later, on this start of the process only.
  void After(Duration delay, std::function<void()> run);
  void At(MonotonicTime local_time, std::function<void()> run);

  Surroundings& surroundings_;

 private:
  void Run(std::uint64_t start, std::function<void()> run);

  ProcessNumber number_;
  double clock_rate_ = 1.0;
  Duration clock_offset_{0};
  bool running_ = false;
  std::uint64_t starts_ = 0;
  MonotonicTime frozen_until_ = MonotonicTime::min();
};

struct NetworkOptions {
  Duration minimum_delay = microseconds(200);
  Duration maximum_delay = milliseconds(4);
  double loss = 0.0;         // share of datagrams
  double duplication = 0.0;  // share of datagrams
  double late = 0.01;        // share of datagrams that take up to:
  Duration maximum_lateness = seconds(2);
};

class Network {
 public:
  Network(Surroundings& surroundings, const NetworkOptions& options)
      : surroundings_(surroundings), options_(options) {}

  // One message of its own: may be lost, come twice, late or out of order.
  void Send(ProcessNumber from, Process& to, const std::function<void()>& run);
  Duration Delay();

  void Cut(ProcessNumber from, ProcessNumber to) { cuts_.insert({from, to}); }
  void Heal() { cuts_.clear(); }
  bool IsCut(ProcessNumber from, ProcessNumber to) const {
    return cuts_.contains({from, to});
  }
  void SetLoss(double loss, double duplication) {
    options_.loss = loss;
    options_.duplication = duplication;
  }

 private:
  Surroundings& surroundings_;
  NetworkOptions options_;
  std::set<std::pair<ProcessNumber, ProcessNumber>> cuts_;
};

// One direction of a connection: everything arrives in order, and waits while
// the way is cut.
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  Stream(Surroundings& surroundings, Network& network, ProcessNumber from,
         Process& to)
      : surroundings_(surroundings), network_(network), from_(from), to_(to) {}

  void Send(std::function<void()> run);

 private:
  void Arrive();

  Surroundings& surroundings_;
  Network& network_;
  ProcessNumber from_;
  Process& to_;
  std::deque<std::function<void()>> under_way_;
  MonotonicTime last_arrival_ = MonotonicTime::min();
};

}  // namespace juniperway::sim
