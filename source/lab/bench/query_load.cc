#include "lab/bench/query_load.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "common/net/http_client.h"
#include "lab/dataset.h"

namespace juniperway::lab {
namespace {

constexpr int kWhole = 200;

class Loader {
 public:
  explicit Loader(const LoadShape& shape) : shape_(shape), random_(shape.seed) {
    result_.samples.reserve(shape.count);
  }

  LoadResult Run() {
    started_ = next_due_ = ReadMonotonicClock();
    if (shape_.concurrency > 0) {
      while (sent_ < std::min(shape_.concurrency, shape_.count)) {
        Send(ReadMonotonicClock());
      }
    } else {
      ScheduleNext();
    }
    context_.run();
    result_.elapsed = ReadMonotonicClock() - started_;
    return std::move(result_);
  }

 private:
  void ScheduleNext() {
    std::exponential_distribution<double> gap(shape_.rate);
    next_due_ += Duration(static_cast<Duration::rep>(gap(random_) * 1e6));
    timer_.expires_after(next_due_ - ReadMonotonicClock());
    timer_.async_wait([this](const asio::error_code&) {
      Send(next_due_);
      if (sent_ < shape_.count) {
        ScheduleNext();
      }
    });
  }

  void Send(MonotonicTime intended) {
    ++sent_;
    net::HttpClientRequest request;
    request.method = "POST";
    request.url = shape_.url;
    request.headers = {
        {"X-Deadline-Ms", std::to_string(ToMilliseconds(shape_.deadline))}};
    request.body = nlohmann::json{{"query", kMatchAll}}.dump();
    request.timeout = shape_.deadline + seconds(5);
    client_.Start(std::move(request),
                  [this, intended](const net::HttpClientResponse& response) {
                    OnResponse(intended, response);
                  });
  }

  void OnResponse(MonotonicTime intended,
                  const net::HttpClientResponse& response) {
    QuerySample sample;
    sample.latency = ReadMonotonicClock() - intended;
    sample.status = response.status;
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (body.is_object()) {
      sample.execution = body.value("execution", "");
      if (body.contains("coverage")) {
        sample.share = body["coverage"].value("share", 0.0);
      }
    }
    result_.samples.push_back(std::move(sample));
    if (shape_.concurrency > 0 && sent_ < shape_.count) {
      Send(ReadMonotonicClock());
    }
  }

  LoadShape shape_;
  std::mt19937_64 random_;
  asio::io_context context_{1};
  asio::steady_timer timer_{context_};
  net::HttpClient client_{context_, 0};
  MonotonicTime started_;
  MonotonicTime next_due_;
  std::uint32_t sent_ = 0;
  LoadResult result_;
};

}  // namespace

std::uint64_t LoadResult::Whole() const {
  return static_cast<std::uint64_t>(
      std::ranges::count(samples, kWhole, &QuerySample::status));
}

Duration LoadResult::Quantile(double quantile) const {
  std::vector<Duration> latencies;
  for (const QuerySample& sample : samples) {
    if (sample.status == kWhole) {
      latencies.push_back(sample.latency);
    }
  }
  return QuantileOf(std::move(latencies), quantile);
}

Duration QuantileOf(std::vector<Duration> latencies, double quantile) {
  if (latencies.empty()) {
    return Duration::zero();
  }
  std::ranges::sort(latencies);
  const auto rank = static_cast<std::size_t>(
      quantile * static_cast<double>(latencies.size()));
  return latencies[std::min(rank, latencies.size() - 1)];
}

LoadResult RunLoad(const LoadShape& shape) { return Loader(shape).Run(); }

}  // namespace juniperway::lab
