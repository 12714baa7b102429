// Runs a simulation for many seeds, on a few threads.
#pragma once

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace juniperway::sim {

// Runs the seeds 1 to `seeds`, or the one that JUNIPERWAY_SIM_SEED names.
// @param run gives what failed, or nothing; called on several threads.
// @return failures by seed.
inline std::map<std::uint64_t, std::string> RunSeeds(
    std::uint64_t seeds, const std::function<std::string(std::uint64_t)>& run) {
  constexpr int kThreads = 4;
  std::mutex mutex;
  std::map<std::uint64_t, std::string> failures;
  const auto run_one = [&](std::uint64_t seed) {
    const std::string failure = run(seed);
    const std::lock_guard lock(mutex);
    if (!failure.empty()) {
      failures[seed] = failure;
    }
  };
  if (const char* only = std::getenv("JUNIPERWAY_SIM_SEED")) {
    run_one(std::stoull(only));
    return failures;
  }
  std::atomic<std::uint64_t> next = 1;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (std::uint64_t seed = next++; seed <= seeds; seed = next++) {
        run_one(seed);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return failures;
}

}  // namespace juniperway::sim
