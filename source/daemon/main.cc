// juniperwayd: one machine of the fleet, as gateway, control machine or both.
#include <glog/logging.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <filesystem>
#include <iostream>
#include <memory>
#include <optional>

#include "common/logging/event_log.h"
#include "common/net/address.h"
#include "common/net/tls.h"
#include "daemon/command_line.h"
#include "daemon/control_role.h"
#include "daemon/events.h"
#include "daemon/gateway_role.h"
#include "daemon/settings.h"

namespace juniperway::daemon {
namespace {

enum ExitStatus { kExitDone = 0, kExitFault = 1, kExitSettings = 2 };

void SetUpLog(const Settings& settings) {
  if (settings.log_folder.empty()) {
    return;  // main has sent it to standard error
  }
  std::filesystem::create_directories(settings.log_folder);
  FLAGS_logtostderr = false;
  FLAGS_log_dir = settings.log_folder.string();
  FLAGS_logbufsecs = 0;
}

void PrintListeners(const std::vector<Listener>& listeners) {
  for (const Listener& listener : listeners) {
    std::cout << "listening " << listener.name << ' '
              << net::FormatEndpoint(listener.endpoint) << '\n';
  }
}

// The roles of this process, from start to end.
class Daemon {
 public:
  explicit Daemon(const Settings& settings)
      : signals_(context_, SIGTERM, SIGINT) {
    if (settings.control) {
      control_.emplace(settings);
      PrintListeners(control_->listeners());
    }
    if (settings.gateway) {
      gateway_.emplace(settings);
      PrintListeners(gateway_->listeners());
    }
    logging::LogEvent(kDaemonStarted, {{"name", settings.name},
                                       {"gateway", gateway_.has_value()},
                                       {"control", control_.has_value()}});
    std::cout << "ready" << std::endl;
  }

  // Until a planned stop is over, or a second signal ends it at once.
  int Run() {
    signals_.async_wait([this](const asio::error_code& error, int signal) {
      if (!error) {
        OnFirstSignal(signal);
      }
    });
    context_.run();
    return status_;
  }

 private:
  void OnFirstSignal(int signal) {
    logging::LogEvent(kStopRequested, {{"signal", signal}});
    signals_.async_wait([this](const asio::error_code& error, int) {
      if (!error) {
        status_ = kExitFault;
        context_.stop();
      }
    });
    StopGateway();
  }

  // Gateway first: its leave goes through control, maybe this very machine.
  void StopGateway() {
    if (!gateway_) {
      StopControl();
      return;
    }
    gateway_->Stop([this] { asio::post(context_, [this] { StopControl(); }); });
  }

  void StopControl() {
    if (!control_) {
      context_.stop();
      return;
    }
    control_->Stop(
        [this] { asio::post(context_, [this] { context_.stop(); }); });
  }

  asio::io_context context_{1};
  asio::signal_set signals_;
  std::optional<ControlRole> control_;
  std::optional<GatewayRole> gateway_;
  int status_ = kExitDone;
};

int Main(int argc, const char** argv) {
  const auto line = ParseCommandLine(argc, argv);
  if (!line) {
    std::cerr << "juniperwayd: " << FormatError(line.error()) << '\n';
    return kExitSettings;
  }
  const auto settings = LoadSettings(line->settings_file, line->overrides);
  if (!settings) {
    for (const SettingsFault& fault : settings.error()) {
      std::cerr << "juniperwayd: " << FormatFault(fault) << '\n';
    }
    return kExitSettings;
  }
  SetUpLog(*settings);
  if (settings->source_address) {
    net::SetSourceAddress(*settings->source_address);
  }
  if (settings->tls) {
    net::SetInternalTls(std::make_shared<asio::ssl::context>(
        net::MakeTlsContext(*settings->tls)));
  }
  int status = kExitDone;
  {
    Daemon daemon(*settings);
    status = daemon.Run();
  }
  logging::LogEvent(kDaemonStopped, {{"status", status}});
  return status;
}

}  // namespace
}  // namespace juniperway::daemon

int main(int argc, const char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  try {
    return juniperway::daemon::Main(argc, argv);
  } catch (const std::exception& fault) {
    juniperway::logging::LogEvent(juniperway::daemon::kDaemonFailed,
                                  {{"reason", fault.what()}});
    std::cerr << "juniperwayd: " << fault.what() << '\n';
    return juniperway::daemon::kExitFault;
  }
}
