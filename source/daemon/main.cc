// juniperwayd: one machine of the fleet, as gateway, control machine or both.
#include <glog/logging.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <exception>
#include <filesystem>
#include <iostream>
#include <memory>
#include <optional>

#include "common/logging/event_log.h"
#include "common/logging/standard_output.h"
#include "common/net/address.h"
#include "common/net/tls.h"
#include "daemon/command_line.h"
#include "daemon/control_role.h"
#include "daemon/events.h"
#include "daemon/gateway_role.h"
#include "daemon/metrics_server.h"
#include "daemon/router_role.h"
#include "daemon/settings.h"
#include "daemon/settings_watch.h"

namespace juniperway::daemon {
namespace {

// How often the settings file is looked at.
constexpr Duration kReloadInterval = seconds(1);

enum ExitStatus { kExitDone = 0, kExitFault = 1, kExitSettings = 2 };

void SetUpLog(const Settings& settings) {
  logging::SetLogLimits(settings.log_limits);
  if (settings.log_folder.empty()) {
    logging::LogToStandardOutput();
    return;
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
  // @param watch reads the settings anew; see SettingsWatch.
  Daemon(const Settings& settings, SettingsWatch watch)
      : signals_(context_, SIGTERM, SIGINT),
        reload_signals_(context_, SIGHUP),
        reload_timer_(context_),
        watch_(std::move(watch)) {
    if (settings.control) {
      control_.emplace(settings, registry_);
      PrintListeners(control_->listeners());
    }
    if (settings.gateway) {
      gateway_.emplace(settings);
      PrintListeners(gateway_->listeners());
    }
    if (settings.router) {
      router_.emplace(settings, *registry_);
      PrintListeners(router_->listeners());
    }
    if (settings.metrics_listen) {
      metrics_.emplace(context_, *settings.metrics_listen, *registry_);
      PrintMetricsListener();
    }
    logging::LogEvent(kDaemonStarted, {{"name", settings.name},
                                       {"gateway", gateway_.has_value()},
                                       {"control", control_.has_value()},
                                       {"router", router_.has_value()}});
    std::cout << "ready" << std::endl;
  }

  // Until a planned stop is over, or a second signal ends it at once.
  int Run() {
    signals_.async_wait([this](const asio::error_code& error, int signal) {
      if (!error) {
        OnFirstSignal(signal);
      }
    });
    AwaitReloadSignal();
    ArmReloadTimer();
    context_.run();
    return status_;
  }

 private:
  void PrintMetricsListener() const {
    if (const net::HttpServer* listener = metrics_->listener()) {
      PrintListeners({{"metrics", listener->local_endpoint()}});
    }
  }

  // --- Reload ----------------------------------------------------------------

  void AwaitReloadSignal() {
    reload_signals_.async_wait([this](const asio::error_code& error, int) {
      if (!error) {
        Reload();
        AwaitReloadSignal();
      }
    });
  }

  // The file may change without a signal.
  void ArmReloadTimer() {
    reload_timer_.expires_after(kReloadInterval);
    reload_timer_.async_wait([this](const asio::error_code& error) {
      if (!error) {
        logging::ReportDrops();
        Reload();
        ArmReloadTimer();
      }
    });
  }

  void Reload() {
    const auto settings = watch_.ReadChanged();
    if (!settings) {
      return;
    }
    if (control_) {
      control_->Reload(*settings);
    }
    if (router_) {
      router_->Reload(*settings);
    }
  }

  // --- Planned stop ----------------------------------------------------------

  void OnFirstSignal(int signal) {
    logging::LogEvent(kStopRequested, {{"signal", signal}});
    reload_signals_.cancel();
    reload_timer_.cancel();
    signals_.async_wait([this](const asio::error_code& error, int) {
      if (!error) {
        status_ = kExitFault;
        context_.stop();
      }
    });
    StopRouter();
  }

  void StopRouter() {
    if (!router_) {
      StopGateway();
      return;
    }
    router_->Stop([this] { asio::post(context_, [this] { StopGateway(); }); });
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
  asio::signal_set reload_signals_;
  asio::steady_timer reload_timer_;
  SettingsWatch watch_;
  // Written by the roles' threads.
  std::shared_ptr<prometheus::Registry> registry_ =
      std::make_shared<prometheus::Registry>();
  std::optional<MetricsServer> metrics_;
  std::optional<ControlRole> control_;
  std::optional<GatewayRole> gateway_;
  std::optional<RouterRole> router_;
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
    Daemon daemon(*settings,
                  SettingsWatch(line->settings_file, line->overrides));
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
