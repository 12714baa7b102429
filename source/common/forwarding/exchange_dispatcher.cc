#include "common/forwarding/exchange_dispatcher.h"

#include <string>
#include <vector>

namespace juniperway::forwarding {
namespace {

// Backends also become free without an event, when their backoff after a shed
// request or a refused connection ends; the interval is shorter than the
// minimum backoff.
constexpr Duration kDispatchInterval = milliseconds(5);

}  // namespace

ExchangeDispatcher::ExchangeDispatcher(asio::io_context& context)
    : timer_(context) {}

void ExchangeDispatcher::Start(const std::shared_ptr<Exchange>& exchange) {
  exchanges_[exchange->request().number] = exchange;
  exchange->Start();
  if (!exchange->run().waiting()) {
    TrackShortage(*exchange);
    return;
  }
  if (admission_.size() >= kMaximumWaiting) {
    exchange->StopWaiting();
    return;
  }
  admission_.Insert({.number = exchange->request().number,
                     .route = exchange->request().route->name,
                     .priority = exchange->request().priority,
                     .target_by = exchange->run().target_by()});
  ScheduleDispatch(kDispatchInterval);
}

void ExchangeDispatcher::OnProgress(const Exchange& exchange) {
  TrackShortage(exchange);
  if (IsAnythingWaiting()) {
    ScheduleDispatch(Duration(0));
  }
}

void ExchangeDispatcher::OnOver(const Exchange& exchange) {
  const RequestNumber number = exchange.request().number;
  admission_.Remove(number);
  short_of_backends_.erase(number);
  exchanges_.erase(number);
  if (IsAnythingWaiting()) {
    ScheduleDispatch(Duration(0));
  }
}

void ExchangeDispatcher::AbandonAll() {
  const auto exchanges = exchanges_;
  for (const auto& [number, exchange] : exchanges) {
    exchange->Abandon();
  }
}

void ExchangeDispatcher::TrackShortage(const Exchange& exchange) {
  const RequestNumber number = exchange.request().number;
  if (exchange.run().short_of_backends()) {
    short_of_backends_.insert(number);
    ScheduleDispatch(kDispatchInterval);
  } else {
    short_of_backends_.erase(number);
  }
}

bool ExchangeDispatcher::IsAnythingWaiting() const {
  return !admission_.empty() || !short_of_backends_.empty();
}

void ExchangeDispatcher::ScheduleDispatch(Duration delay) {
  const MonotonicTime at = ReadMonotonicClock() + delay;
  if (next_dispatch_ <= at) {
    return;
  }
  next_dispatch_ = at;
  timer_.expires_after(delay);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Dispatch();
    }
  });
}

void ExchangeDispatcher::Dispatch() {
  next_dispatch_ = MonotonicTime::max();
  DispatchAdmitted();
  DispatchWaiting();
  if (IsAnythingWaiting()) {
    ScheduleDispatch(kDispatchInterval);
  }
}

// Runs before DispatchWaiting, because other shards of admitted requests are
// already being processed.
void ExchangeDispatcher::DispatchAdmitted() {
  const std::vector<RequestNumber> numbers(short_of_backends_.begin(),
                                           short_of_backends_.end());
  for (const RequestNumber number : numbers) {
    const auto found = exchanges_.find(number);
    if (found != exchanges_.end()) {
      const std::shared_ptr<Exchange> exchange = found->second;
      exchange->OnCapacity();
      TrackShortage(*exchange);
    }
  }
}

void ExchangeDispatcher::DispatchWaiting() {
  std::set<std::string> blocked;
  while (const auto next = admission_.Next(ReadMonotonicClock(), blocked)) {
    const std::shared_ptr<Exchange> exchange = exchanges_.at(next->number);
    if (exchange->Admit()) {
      admission_.Remove(next->number);
      TrackShortage(*exchange);
    } else {
      blocked.insert(next->route);
    }
  }
}

}  // namespace juniperway::forwarding
