// Callers and the operator of a soak, each on a thread of its own.
#pragma once

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "lab/blocking_http.h"
#include "lab/soak/recorder.h"

namespace juniperway::lab {

// What the threads of a soak share.
struct SoakShared {
  SoakRecorder recorder;
  std::atomic<bool> stop = false;
  // The newest version that an operator sent.
  std::atomic<std::uint64_t> newest_version = 0;
  // Which life each router's process is in: odd while it is being ended or
  // started, so that a request that crosses it counts for no life.
  std::vector<std::atomic<std::uint64_t>> router_lives;
  std::vector<std::string> routers;
  std::vector<std::string> controls;
  std::vector<std::string> zones;
};

// The services of a soak; the scatter's set changes with the version.
std::vector<std::string> SoakServices();
// Route table of a version. @param variant 0 or 1: races send both.
std::string SoakTable(std::uint64_t version, int variant);
std::set<std::string> SoakShardsOf(std::uint64_t version);

class SoakCaller {
 public:
  SoakCaller(SoakShared& shared, int number, std::uint64_t seed);

  // Until `stop`.
  void Run();
  // One request at a router. @return its status.
  int Ask(std::size_t router, SoakRequestKind kind, std::uint64_t version);

 private:
  std::string TargetOf(SoakRequestKind kind, std::uint64_t version) const;

  SoakShared& shared_;
  int number_;
  std::mt19937_64 random_;
  BlockingHttp http_;
  std::uint64_t next_request_ = 0;
};

class SoakOperator {
 public:
  SoakOperator(SoakShared& shared, std::uint64_t seed);

  // Until `stop`: writes, races, resends and reads.
  void Run();
  // Sends a version until it is acknowledged, or `limit` is over.
  bool Write(std::uint64_t version, int variant, Duration limit);
  // One reading at one control machine, kept in the history where it answers.
  bool Read(std::size_t control);

 private:
  SoakShared& shared_;
  std::mt19937_64 random_;
  BlockingHttp http_;
};

}  // namespace juniperway::lab
