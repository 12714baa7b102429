#include "lab/proxy/pump.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <utility>

namespace juniperway::lab {
namespace {

constexpr std::size_t kReadBytes = 16U << 10;
// Reading stops while this much waits: the sender sees a full window.
constexpr std::size_t kMaximumQueuedBytes = 512U << 10;
// With a bandwidth bound, this share of a second's bytes goes out at a time.
constexpr std::uint64_t kPiecesPerSecond = 20;

}  // namespace

Pump::Pump(asio::io_context& context, asio::ip::tcp::socket& source,
           asio::ip::tcp::socket& target, QualitySource quality,
           std::mt19937_64& random, std::shared_ptr<void> keep_alive,
           EndListener on_end)
    : source_(source),
      target_(target),
      quality_(std::move(quality)),
      random_(random),
      keep_alive_(std::move(keep_alive)),
      on_end_(std::move(on_end)),
      timer_(context),
      buffer_(kReadBytes) {}

void Pump::Start(MonotonicTime not_before) {
  not_before_ = not_before;
  last_due_ = not_before;
  Read();
}

void Pump::AllowWrites() {
  writes_allowed_ = true;
  Schedule();
}

void Pump::Wake() {
  if (!stopped_) {
    Schedule();
  }
}

void Pump::Stop() {
  stopped_ = true;
  timer_.cancel();
  queue_.clear();
  quality_ = nullptr;
  on_end_ = nullptr;
  // The sockets may die with the last reference, so this comes last.
  const std::shared_ptr<void> released = std::move(keep_alive_);
}

void Pump::Read() {
  if (stopped_ || reading_ || ended_ || queued_bytes_ >= kMaximumQueuedBytes) {
    return;
  }
  reading_ = true;
  source_.async_read_some(asio::buffer(buffer_),
                          [self = shared_from_this(), keep_alive = keep_alive_](
                              const asio::error_code& error, std::size_t size) {
                            self->reading_ = false;
                            self->HandleRead(error, size);
                          });
}

void Pump::HandleRead(const asio::error_code& error, std::size_t size) {
  if (stopped_) {
    return;
  }
  if (error) {
    ended_ = true;
    Enqueue(error == asio::error::eof ? ChunkKind::kEnd : ChunkKind::kReset,
            {});
    return;
  }
  const auto end = buffer_.begin() + static_cast<std::ptrdiff_t>(size);
  if (IsSpoiled()) {
    EnqueueSpoiled({buffer_.begin(), end});
  } else {
    Enqueue(ChunkKind::kData, {buffer_.begin(), end});
  }
  Read();
}

bool Pump::IsSpoiled() {
  const double share = quality_().spoiled_share;
  return share > 0 && std::bernoulli_distribution(share)(random_);
}

void Pump::EnqueueSpoiled(const std::vector<char>& bytes) {
  enum class Way { kCutOff, kStartedAgain, kDoubled };
  const auto way = static_cast<Way>(random_() % 3);
  const std::size_t first =
      way == Way::kDoubled ? bytes.size() : random_() % bytes.size();
  const auto end = bytes.begin() + static_cast<std::ptrdiff_t>(first);
  std::vector<char> spoiled(bytes.begin(), end);
  if (way == Way::kCutOff) {
    Enqueue(ChunkKind::kData, std::move(spoiled));
    ended_ = true;
    Enqueue(ChunkKind::kEnd, {});
    return;
  }
  spoiled.insert(spoiled.end(), bytes.begin(), bytes.end());
  Enqueue(ChunkKind::kData, std::move(spoiled));
}

void Pump::Enqueue(ChunkKind kind, std::vector<char> bytes) {
  const PathQuality quality = quality_();
  const double stretch =
      1 + quality.jitter * std::uniform_real_distribution<>(0, 1)(random_);
  const auto delay = Duration(static_cast<Duration::rep>(
      static_cast<double>(quality.delay.count()) * stretch));
  const MonotonicTime now = ReadMonotonicClock();
  std::size_t piece = std::max<std::size_t>(bytes.size(), 1);
  Duration piece_time(0);
  if (quality.bytes_per_second != 0) {
    piece =
        std::max<std::uint64_t>(1, quality.bytes_per_second / kPiecesPerSecond);
    piece_time = Duration(seconds(1)) / kPiecesPerSecond;
  }
  MonotonicTime due = std::max({now + delay, not_before_ + delay, last_due_});
  for (std::size_t begin = 0; begin == 0 || begin < bytes.size();
       begin += piece) {
    const std::size_t end = std::min(bytes.size(), begin + piece);
    due += piece_time;
    queue_.push_back({kind, {bytes.begin() + begin, bytes.begin() + end}, due});
  }
  last_due_ = due;
  queued_bytes_ += bytes.size();
  Schedule();
}

void Pump::Schedule() {
  if (stopped_ || writing_ || queue_.empty() || !writes_allowed_ ||
      quality_().blocked) {
    return;
  }
  const Duration wait = queue_.front().due - ReadMonotonicClock();
  if (wait <= Duration(0)) {
    Pass();
    return;
  }
  timer_.expires_after(wait);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error) {
      self->Schedule();
    }
  });
}

void Pump::Pass() {
  if (queue_.front().kind == ChunkKind::kData) {
    Write();
    return;
  }
  const bool reset = queue_.front().kind == ChunkKind::kReset;
  queue_.pop_front();
  if (quality_().half_open) {
    return;
  }
  asio::error_code ignored;
  target_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  const EndListener on_end = on_end_;
  on_end(reset);
}

void Pump::Write() {
  writing_ = true;
  const Chunk& chunk = queue_.front();
  asio::async_write(target_, asio::buffer(chunk.bytes),
                    [self = shared_from_this(), keep_alive = keep_alive_](
                        const asio::error_code& error, std::size_t size) {
                      self->writing_ = false;
                      self->HandleWritten(error, size);
                    });
}

void Pump::HandleWritten(const asio::error_code& error, std::size_t size) {
  if (stopped_) {
    return;
  }
  if (error) {
    const EndListener on_end = on_end_;
    on_end(true);
    return;
  }
  passed_bytes_ += size;
  queued_bytes_ -= size;
  queue_.pop_front();
  Read();
  Schedule();
}

}  // namespace juniperway::lab
