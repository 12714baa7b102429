#include "lab/caller/load.h"

#include <fmt/format.h>

#include <utility>

#include "lab/caller/wire.h"
#include "lab/promises/answer_check.h"

namespace juniperway::lab {
namespace {

constexpr int kOk = 200;
constexpr int kPartialContent = 206;

AttemptOutcome OutcomeOf(const net::HttpClientResponse& response) {
  switch (response.progress) {
    case net::HttpProgress::kNotSent:
      return AttemptOutcome::kNotConnected;
    case net::HttpProgress::kSent:
      return response.timed_out ? AttemptOutcome::kTimedOut
                                : AttemptOutcome::kLost;
    case net::HttpProgress::kAnswered:
      break;
  }
  return response.status == kOk || response.status == kPartialContent
             ? AttemptOutcome::kAnswered
             : AttemptOutcome::kRefused;
}

}  // namespace

Load::Load(asio::io_context& context, LoadSettings settings,
           const Catalog& catalog)
    : context_(context),
      settings_(std::move(settings)),
      catalog_(catalog),
      workload_(settings_.workload),
      random_(settings_.workload.seed + 1),
      going_until_(settings_.gateways.size()),
      client_(context, 0),
      timer_(context) {}

Load::~Load() = default;

void Load::Start(DoneCallback on_done) {
  on_done_ = std::move(on_done);
  started_ = ReadMonotonicClock();
  next_due_ = started_;
  ScheduleNext();
}

void Load::Stop() {
  if (stopped_) {
    return;
  }
  stopped_ = true;
  timer_.cancel();
  FinishIfDone();
}

void Load::ScheduleNext() {
  next_due_ += workload_.DrawInterval();
  if (settings_.duration >= Duration(0) &&
      next_due_ > started_ + settings_.duration) {
    Stop();
    return;
  }
  timer_.expires_after(next_due_ - ReadMonotonicClock());
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error && !stopped_) {
      SendDue();
    }
  });
}

void Load::SendDue() {
  StartQuery(workload_.DrawQuery(ReadWallClock()), next_due_);
  ScheduleNext();
}

void Load::StartQuery(Query query, MonotonicTime intended) {
  const std::size_t index = result_.history.size();
  result_.history.push_back({std::move(query), intended, {}});
  ++unfinished_;
  SendAttempt(index);
}

void Load::SendAttempt(std::size_t index) {
  QueryRecord& record = result_.history[index];
  const LoadSettings::Gateway& gateway =
      settings_.gateways[ChooseGateway(record)];
  Attempt attempt;
  attempt.gateway = gateway.name;
  attempt.request_id =
      record.query.repeatable
          ? fmt::format("{}-{}", record.query.id, record.attempts.size() + 1)
          : record.query.id;
  attempt.sent = ReadMonotonicClock();
  net::HttpClientRequest request =
      MakeQueryRequest(record.query, gateway.address, attempt.request_id);
  if (!record.query.repeatable && !record.attempts.empty()) {
    // Its id was sent before: an earlier submission may have run.
    request.headers.emplace_back("X-Resend", "true");
  }
  record.attempts.push_back(std::move(attempt));
  client_.Start(std::move(request),
                [this, index](const net::HttpClientResponse& response) {
                  HandleResponse(index, response);
                });
}

std::size_t Load::ChooseGateway(const QueryRecord& record) {
  const std::size_t count = settings_.gateways.size();
  std::uniform_int_distribution<std::size_t> any(0, count - 1);
  std::size_t choice = any(random_);
  for (std::size_t step = 0; step < count; ++step) {
    const bool tried =
        !record.attempts.empty() &&
        settings_.gateways[choice].name == record.attempts.back().gateway;
    if (!tried && !IsGoing(choice)) {
      break;
    }
    choice = (choice + 1) % count;
  }
  return choice;
}

bool Load::IsGoing(std::size_t gateway) const {
  return ReadMonotonicClock() < going_until_[gateway];
}

void Load::NoteRefusal(const net::HttpClientResponse& response,
                       const Attempt& attempt) {
  const auto connection = response.headers.find("connection");
  if (connection == response.headers.end() || connection->second != "close" ||
      !attempt.retry_after) {
    return;
  }
  for (std::size_t index = 0; index < settings_.gateways.size(); ++index) {
    if (settings_.gateways[index].name == attempt.gateway) {
      going_until_[index] = attempt.ended + *attempt.retry_after;
    }
  }
}

void Load::HandleResponse(std::size_t index,
                          const net::HttpClientResponse& response) {
  QueryRecord& record = result_.history[index];
  Attempt& attempt = record.attempts.back();
  attempt.ended = ReadMonotonicClock();
  attempt.outcome = OutcomeOf(response);
  attempt.status = response.status;
  if (attempt.outcome == AttemptOutcome::kAnswered) {
    ReadAnswer(record.query, response, attempt);
  } else if (attempt.outcome == AttemptOutcome::kRefused) {
    ReadRefusal(response, attempt);
    NoteRefusal(response, attempt);
  }
  RetryOrFinish(index);
}

void Load::ReadAnswer(const Query& query,
                      const net::HttpClientResponse& response,
                      Attempt& attempt) {
  const Result<Answer> answer = ParseAnswer(response);
  if (!answer) {
    attempt.outcome = AttemptOutcome::kMalformed;
    result_.report.Check(
        Promise::kWholeAndOwn, false,
        attempt.request_id + ": " + FormatError(answer.error()));
    return;
  }
  attempt.snapshot = answer->snapshot;
  attempt.share = answer->share;
  for (const MissingRange& missing : answer->missing) {
    ++attempt.missing[missing.reason];
  }
  attempt.revision = answer->revision;
  attempt.confirmed = answer->confirmed;
  CheckAnswer(catalog_.DatasetOf(query.service),
              catalog_.Published(query.service), query, attempt.request_id,
              *answer, result_.report);
}

void Load::RetryOrFinish(std::size_t index) {
  const std::optional<Duration> delay =
      NextAttemptDelay(settings_.retry, result_.history[index], random_);
  if (!delay) {
    --unfinished_;
    FinishIfDone();
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(context_, *delay);
  timer->async_wait([this, timer, index](const asio::error_code& error) {
    if (!error) {
      SendAttempt(index);
    }
  });
}

void Load::FinishIfDone() {
  if (stopped_ && unfinished_ == 0 && on_done_) {
    const DoneCallback on_done = std::exchange(on_done_, nullptr);
    on_done(std::move(result_));
  }
}

}  // namespace juniperway::lab
