// Open-loop load on the gateways: queries go out at their due times whatever
// the answers do, and latency counts from the due time. Every answer is checked
// against the dataset as it arrives.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/net/http_client.h"
#include "lab/caller/history.h"
#include "lab/caller/retry.h"
#include "lab/caller/workload.h"
#include "lab/catalog.h"
#include "lab/promises/report.h"

namespace juniperway::lab {

struct LoadSettings {
  WorkloadSettings workload;
  RetryPolicy retry;
  // "ip:port" of each, as callers reach them; names for the history.
  struct Gateway {
    std::string name;
    std::string address;
  };
  std::vector<Gateway> gateways;
  // No query is due later than this; negative: until Stop().
  Duration duration = Duration(-1);
};

struct LoadResult {
  // In the order of their due times. All are finished.
  std::vector<QueryRecord> history;
  PromiseReport report;
};

class Load {
 public:
  using DoneCallback = std::function<void(LoadResult)>;

  // @param catalog must outlive the load.
  Load(asio::io_context& context, LoadSettings settings,
       const Catalog& catalog);
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  // `on_done` runs once the last query has finished.
  void Start(DoneCallback on_done);
  // No query is due from now on.
  void Stop();

 private:
  void ScheduleNext();
  void SendDue();
  void StartQuery(Query query, MonotonicTime intended);
  void SendAttempt(std::size_t index);
  void HandleResponse(std::size_t index,
                      const net::HttpClientResponse& response);
  void ReadAnswer(const Query& query, const net::HttpClientResponse& response,
                  Attempt& attempt);
  void RetryOrFinish(std::size_t index);
  void FinishIfDone();
  // A gateway that refuses and closes the connection is going: it is left alone
  // for as long as it says.
  void NoteRefusal(const net::HttpClientResponse& response,
                   const Attempt& attempt);
  bool IsGoing(std::size_t gateway) const;
  // Any gateway, other than the last one tried and those that are going where
  // there is a choice.
  std::size_t ChooseGateway(const QueryRecord& record);

  asio::io_context& context_;
  LoadSettings settings_;
  const Catalog& catalog_;
  Workload workload_;
  std::mt19937_64 random_;
  // By gateway: not asked before this.
  std::vector<MonotonicTime> going_until_;
  net::HttpClient client_;
  asio::steady_timer timer_;
  DoneCallback on_done_;
  LoadResult result_;
  MonotonicTime started_;
  MonotonicTime next_due_;
  std::size_t unfinished_ = 0;
  bool stopped_ = false;
};

}  // namespace juniperway::lab
