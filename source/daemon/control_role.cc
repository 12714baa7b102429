#include "daemon/control_role.h"

#include <asio/post.hpp>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>
#include <utility>

#include "common/control/control_server.h"
#include "common/storage/log_store.h"

namespace juniperway::daemon {
namespace {

constexpr const char* kBlanks = " \t\r\n";

// The file's content without blanks at its ends.
std::string ReadToken(const std::filesystem::path& file) {
  if (file.empty()) {
    return "";
  }
  std::ifstream stream(file);
  std::string text((std::istreambuf_iterator<char>(stream)),
                   std::istreambuf_iterator<char>());
  const std::size_t begin = text.find_first_not_of(kBlanks);
  if (!stream || begin == std::string::npos) {
    throw std::runtime_error("control.token_file: " + file.string() +
                             " cannot be read or is empty");
  }
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

control::ControlServerOptions MakeOptions(const Settings& settings) {
  control::ControlServerOptions options;
  options.cluster = settings.cluster;
  options.node_id = settings.control->node_id;
  options.http_listen = settings.control->http_listen;
  options.peer_listen = settings.control->peer_listen;
  options.initial_members = settings.control->initial_members;
  options.bearer_token = ReadToken(settings.control->token_file);
  options.platform_url = settings.control->platform_url;
  options.data_folder = settings.data_folder / control::kControlFolderName;
  return options;
}

std::unique_ptr<storage::LogStore> OpenStore(const Settings& settings) {
  auto store = storage::OpenSqliteLogStore(
      {.folder = settings.data_folder / control::kControlFolderName,
       .cluster = settings.cluster,
       .node = settings.control->node_id,
       .create = settings.control->bootstrap});
  if (!store) {
    const bool missing = store.error().code == ErrorCode::kNotFound;
    throw std::runtime_error(
        FormatError(store.error()) +
        (missing ? " (control.bootstrap = true lets it be created)" : ""));
  }
  return std::move(*store);
}

}  // namespace

struct ControlRole::Implementation {
  explicit Implementation(const Settings& settings)
      : stop_timeout(settings.stop_timeout),
        server(loop.context(), MakeOptions(settings), OpenStore(settings)),
        listeners({{"control.http", server.http_endpoint()},
                   {"control.peer", server.peer_endpoint()}}) {
    loop.Start();
  }

  ~Implementation() { loop.Stop(); }

  Duration stop_timeout;
  EventLoopThread loop;
  control::ControlServer server;
  std::vector<Listener> listeners;
};

ControlRole::ControlRole(const Settings& settings)
    : implementation_(std::make_unique<Implementation>(settings)) {}

ControlRole::~ControlRole() = default;

std::vector<Listener> ControlRole::listeners() const {
  return implementation_->listeners;
}

void ControlRole::Stop(std::function<void()> done) {
  asio::post(implementation_->loop.context(),
             [this, done = std::move(done)]() mutable {
               implementation_->server.Stop(implementation_->stop_timeout,
                                            std::move(done));
             });
}

}  // namespace juniperway::daemon
