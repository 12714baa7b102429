// The daemon's view of the fleet, and its revision on disk: a revision is
// written down before its view is used, so that a restart cannot take the
// daemon back behind it. The sync runs beside the event loop.
#pragma once

#include <asio/io_context.hpp>
#include <asio/thread_pool.hpp>
#include <functional>
#include <memory>

#include "common/session/control_session_client.h"
#include "common/session/fleet_view.h"
#include "common/session/session_file.h"

namespace juniperway::session {

class ViewKeeper : public std::enable_shared_from_this<ViewKeeper> {
 public:
  // Opens the session file in the data folder (none: nothing is kept) and draws
  // an incarnation above every earlier one. Throws std::runtime_error.
  // @param on_taken runs on the context's thread for each view that is in use.
  ViewKeeper(asio::io_context& context, const SessionOptions& options,
             std::function<void(const FleetViewPointer&)> on_taken);

  const SessionRecord& record() const { return record_; }
  // The view in use.
  const FleetViewPointer& view() const { return view_; }
  // The newest view, though it may not be kept and in use yet.
  const FleetViewPointer& newest() const { return staged_ ? staged_ : view_; }

  // Keeps `view`, then uses it. A later one may replace it before.
  void Stage(FleetViewPointer view);

  // Waits for the write under way; `on_taken` does not run any more.
  void Close();

 private:
  void OpenFile(const SessionOptions& options);
  void KeepStaged();
  void OnKept(const FleetViewPointer& kept, const Result<void>& written);
  void RetryKeep();
  // By value: the argument may be staged_ itself.
  void Take(FleetViewPointer view);

  asio::io_context& context_;
  std::string daemon_id_;
  std::function<void(const FleetViewPointer&)> on_taken_;
  std::unique_ptr<SessionFile> file_;
  // Syncs the file; joined before the file goes.
  std::unique_ptr<asio::thread_pool> writer_;
  SessionRecord record_;
  FleetViewPointer view_;
  // Decoded, but not kept yet; null: none.
  FleetViewPointer staged_;
  bool keeping_ = false;
  bool closed_ = false;
};

}  // namespace juniperway::session
