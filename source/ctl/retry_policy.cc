#include "ctl/retry_policy.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace juniperway::ctl {
namespace {

constexpr int kFirstServerError = 500;
constexpr Duration kFirstPause = milliseconds(100);
constexpr Duration kLongestPause = seconds(1);
constexpr std::size_t kMostDoublings = 4;

}  // namespace

bool WasNotRun(const net::HttpClientResponse& response) {
  if (response.progress != net::HttpProgress::kAnswered) {
    return response.progress == net::HttpProgress::kNotSent;
  }
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  const auto execution = body.is_object() ? body.find("execution") : body.end();
  return execution != body.end() && *execution == "not-run";
}

NextStep DecideNextStep(const net::HttpClientResponse& response,
                        bool repeatable) {
  const bool final = response.progress == net::HttpProgress::kAnswered &&
                     response.status < kFirstServerError;
  if (final) {
    return NextStep::kDone;
  }
  return repeatable || WasNotRun(response) ? NextStep::kTryAgain
                                           : NextStep::kOutcomeUnknown;
}

Duration PauseBefore(std::size_t tries, std::size_t machines) {
  if (tries < machines) {
    return Duration(0);
  }
  const std::size_t round = tries / std::max<std::size_t>(machines, 1);
  const std::size_t doublings = std::min(round - 1, kMostDoublings);
  return std::min(kLongestPause, kFirstPause * (1 << doublings));
}

}  // namespace juniperway::ctl
