// What lies around the fleet in a soak: back ends, each behind a link of the
// fault proxy, and the discovery list that names the links. All on one thread
// of their own; every method may be called from another one.
#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "common/net/http_server.h"
#include "lab/proxy/link.h"
#include "lab/soak/recorder.h"

namespace juniperway::lab {

// How a back end answers.
enum class SoakAnswering {
  kWell,
  kSlowly,     // after kSoakSlowAnswer
  kSheds,      // 503, and says that it did not run the request
  kFails,      // 500, signed
  kForeignId,  // as for another request
  kSilent,     // runs it, and its answer is lost
};

class SoakBackend {
 public:
  SoakBackend(asio::io_context& context, SoakRecorder& recorder,
              ProxyState& proxy, std::string id, std::string service,
              std::string zone);

  // As the discovery list has it; its address is the link's.
  std::string Describe() const;

  SoakAnswering answering = SoakAnswering::kWell;
  bool draining = false;
  Link& link() { return link_; }
  const std::string& id() const { return id_; }

 private:
  void Handle(const net::HttpRequest& request,
              const std::shared_ptr<net::HttpResponder>& responder);
  net::HttpResponse Answer(const std::string& request_id) const;
  void AnswerAfter(Duration delay, const std::string& request_id,
                   const std::shared_ptr<net::HttpResponder>& responder);

  asio::io_context& context_;
  SoakRecorder& recorder_;
  std::string id_;
  std::string service_;
  std::string zone_;
  net::HttpServer server_;
  Link link_;
};

class SoakStandIns {
 public:
  // @param services each get `replicas` back ends, one a zone.
  SoakStandIns(SoakRecorder& recorder, const std::vector<std::string>& services,
               const std::vector<std::string>& zones, std::uint64_t seed);
  ~SoakStandIns();
  SoakStandIns(const SoakStandIns&) = delete;
  SoakStandIns& operator=(const SoakStandIns&) = delete;

  std::size_t backends() const { return backends_.size(); }
  // Runs on the stand-ins' thread.
  void Change(std::size_t backend,
              const std::function<void(SoakBackend& backend)>& change);
  // The path to the back end's machine; see Topology::SetFaults.
  void SetFaults(const std::string& faults_json);
  // The list is answered by 503.
  void SetListFailing(bool failing);

  std::string list_url() const;

 private:
  net::HttpResponse List() const;

  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  ProxyState proxy_;
  bool list_failing_ = false;
  std::vector<std::unique_ptr<SoakBackend>> backends_;
  std::unique_ptr<net::HttpServer> list_;
  std::thread thread_;
};

}  // namespace juniperway::lab
