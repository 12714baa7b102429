// Carries bytes one way between two sockets with the delay, bandwidth and
// faults of the path. One thread.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "common/base/time.h"
#include "lab/proxy/topology.h"

namespace juniperway::lab {

class Pump : public std::enable_shared_from_this<Pump> {
 public:
  using QualitySource = std::function<PathQuality()>;
  using EndListener = std::function<void(bool reset)>;

  // The sockets must outlive the pump's activity: `keep_alive` owns them.
  // @param quality is asked anew for each chunk of bytes.
  // @param on_end runs once the end of the stream was due at the target.
  Pump(asio::io_context& context, asio::ip::tcp::socket& source,
       asio::ip::tcp::socket& target, QualitySource quality,
       std::mt19937_64& random, std::shared_ptr<void> keep_alive,
       EndListener on_end);

  // Starts to read. Bytes are written only after AllowWrites.
  // @param not_before earliest time at which a byte is passed on.
  void Start(MonotonicTime not_before);
  void AllowWrites();
  // The path's quality changed: what was blocked may pass now.
  void Wake();
  // Drops everything and lets go of the sockets.
  void Stop();

  std::uint64_t passed_bytes() const { return passed_bytes_; }

 private:
  enum class ChunkKind { kData, kEnd, kReset };
  struct Chunk {
    ChunkKind kind = ChunkKind::kData;
    std::vector<char> bytes;
    MonotonicTime due;
  };

  void Read();
  void HandleRead(const asio::error_code& error, std::size_t size);
  void Enqueue(ChunkKind kind, std::vector<char> bytes);
  // Whether the path spoils the bytes that were read.
  bool IsSpoiled();
  // Passes on only the first of the bytes and the end of the stream, or the
  // first of them or all of them before the whole.
  void EnqueueSpoiled(const std::vector<char>& bytes);
  void Schedule();
  void Pass();
  void Write();
  void HandleWritten(const asio::error_code& error, std::size_t size);

  asio::ip::tcp::socket& source_;
  asio::ip::tcp::socket& target_;
  QualitySource quality_;
  std::mt19937_64& random_;
  std::shared_ptr<void> keep_alive_;
  EndListener on_end_;
  asio::steady_timer timer_;
  std::vector<char> buffer_;
  std::deque<Chunk> queue_;
  std::size_t queued_bytes_ = 0;
  MonotonicTime not_before_;
  MonotonicTime last_due_;
  std::uint64_t passed_bytes_ = 0;
  bool reading_ = false;
  bool writing_ = false;
  bool writes_allowed_ = false;
  bool ended_ = false;
  bool stopped_ = false;
};

}  // namespace juniperway::lab
