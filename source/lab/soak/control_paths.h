// The fault proxy in front of the control machines' peer listeners: what
// control machines and daemons say to each other goes through it. On a thread
// of its own; every method may be called from another one.
#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "lab/proxy/link.h"

namespace juniperway::lab {

// A process by the address that its connections come from.
struct SoakMachine {
  std::string name;
  std::string address;
  std::string zone;
};

struct SoakControlPath {
  // The control machine's name.
  std::string machine;
  // What others dial, and where the machine listens.
  asio::ip::tcp::endpoint listen;
  asio::ip::tcp::endpoint target;
};

class SoakControlPaths {
 public:
  // Throws std::system_error (set-up fault) when an address cannot be bound.
  SoakControlPaths(const std::vector<SoakMachine>& machines,
                   const std::vector<SoakControlPath>& paths,
                   std::uint64_t seed);
  ~SoakControlPaths();
  SoakControlPaths(const SoakControlPaths&) = delete;
  SoakControlPaths& operator=(const SoakControlPaths&) = delete;

  // Replaces the faults there were; see Topology::SetFaults.
  void SetFaults(const std::string& faults_json);
  // Resets every connection to this control machine.
  void Reset(std::size_t path);

 private:
  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  ProxyState proxy_;
  std::vector<std::unique_ptr<Link>> links_;
  std::thread thread_;
};

}  // namespace juniperway::lab
