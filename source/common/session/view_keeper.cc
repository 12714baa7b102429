#include "common/session/view_keeper.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <stdexcept>
#include <utility>

#include "common/session/events.h"

namespace juniperway::session {
namespace {

constexpr Duration kPersistRetryDelay = seconds(1);

}  // namespace

ViewKeeper::ViewKeeper(asio::io_context& context, const SessionOptions& options,
                       std::function<void(const FleetViewPointer&)> on_taken)
    : context_(context),
      daemon_id_(options.daemon_id),
      on_taken_(std::move(on_taken)),
      view_(std::make_shared<FleetView>()) {
  OpenFile(options);
}

void ViewKeeper::OpenFile(const SessionOptions& options) {
  const auto started = ReadWallClock().time_since_epoch().count();
  if (options.data_folder.empty()) {
    record_.incarnation = static_cast<std::uint64_t>(started);
    return;
  }
  auto file = SessionFile::Open(options.data_folder, options.cluster,
                                options.daemon_id);
  if (!file) {
    throw std::runtime_error(FormatError(file.error()));
  }
  file_ = std::move(*file);
  record_ = file_->record();
  record_.incarnation =
      std::max(record_.incarnation + 1, static_cast<std::uint64_t>(started));
  if (auto written = file_->Write(record_); !written) {
    throw std::runtime_error(FormatError(written.error()));
  }
  writer_ = std::make_unique<asio::thread_pool>(1);
}

void ViewKeeper::Stage(FleetViewPointer view) {
  staged_ = std::move(view);
  KeepStaged();
}

void ViewKeeper::KeepStaged() {
  if (keeping_ || !staged_) {
    return;
  }
  if (!file_) {
    Take(staged_);
    return;
  }
  keeping_ = true;
  SessionRecord record = record_;
  record.revision = staged_->revision;
  asio::post(*writer_, [this, record, staged = staged_,
                        self = shared_from_this()]() mutable {
    Result<void> written = file_->Write(record);
    asio::post(context_, [self = std::move(self), staged = std::move(staged),
                          written = std::move(written)] {
      self->OnKept(staged, written);
    });
  });
}

void ViewKeeper::OnKept(const FleetViewPointer& kept,
                        const Result<void>& written) {
  keeping_ = false;
  if (closed_) {
    return;
  }
  if (!written) {
    logging::LogEvent(
        kRevisionNotKept,
        {{"daemon", daemon_id_}, {"error", FormatError(written.error())}});
    RetryKeep();
    return;
  }
  record_.revision = kept->revision;
  Take(kept);
  KeepStaged();
}

void ViewKeeper::RetryKeep() {
  auto timer = std::make_shared<asio::steady_timer>(context_);
  timer->expires_after(kPersistRetryDelay);
  timer->async_wait([timer, weak = weak_from_this()](const auto&) {
    if (auto self = weak.lock(); self && !self->closed_) {
      self->KeepStaged();
    }
  });
}

void ViewKeeper::Take(FleetViewPointer view) {
  if (staged_ == view) {
    staged_.reset();
  }
  view_ = std::move(view);
  on_taken_(view_);
}

void ViewKeeper::Close() {
  closed_ = true;
  if (writer_) {
    writer_->join();
  }
}

}  // namespace juniperway::session
