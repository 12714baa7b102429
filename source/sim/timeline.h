// Virtual time for seeded simulations: runs what was asked for at its time, and
// nothing else moves the clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "common/base/time.h"

namespace juniperway::sim {

class Timeline {
 public:
  MonotonicTime now() const { return now_; }

  // Runs `run` at now() + `delay`; ties in the order they were asked for.
  void After(Duration delay, std::function<void()> run) {
    items_.push({now_ + delay, next_number_++, std::move(run)});
  }

  // Runs everything up to and at `end`, where now() then stands.
  void RunUntil(MonotonicTime end) {
    while (!items_.empty() && items_.top().at <= end) {
      const Item item = items_.top();
      items_.pop();
      now_ = item.at;
      item.run();
    }
    now_ = std::max(now_, end);
  }

 private:
  struct Item {
    MonotonicTime at;
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const Item& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  MonotonicTime now_;
  std::uint64_t next_number_ = 0;
  std::priority_queue<Item> items_;
};

}  // namespace juniperway::sim
