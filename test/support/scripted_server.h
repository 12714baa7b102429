// An HTTP server that writes given bytes as answers, whole messages or not.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace juniperway::test {

// What the server does with one request.
struct ScriptedAnswer {
  enum class Ending { kKeep, kClose, kReset };

  std::string bytes;
  // What becomes of the connection after them.
  Ending ending = Ending::kKeep;
  // Written on the same connection when the next request has arrived on any,
  // before that is answered.
  std::string late{};
};

// Answers each request that has a head and no body. Runs on the io_context's
// thread, which must outlive it.
class ScriptedServer {
 public:
  // Called with the head of each request.
  using Script = std::function<ScriptedAnswer(const std::string& head)>;

  ScriptedServer(asio::io_context& context, Script script);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  asio::ip::tcp::endpoint endpoint() const;
  // Number of requests that arrived.
  int requests() const;
  // Writes bytes on each open connection without a request.
  void WriteUnasked(const std::string& bytes);

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

// Returns the value of a field in the head of a request; empty without one.
std::string FieldOf(const std::string& head, const std::string& name);

}  // namespace juniperway::test
