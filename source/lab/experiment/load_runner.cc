#include "lab/experiment/load_runner.h"

#include <asio/post.hpp>
#include <utility>

namespace juniperway::lab {

LoadRunner::LoadRunner(const LoadSettings& settings, const Catalog& catalog)
    : load_(context_, settings, catalog) {
  load_.Start([this](LoadResult result) {
    result_ = std::move(result);
    context_.stop();
  });
  thread_ = std::thread([this] {
    const auto work = asio::make_work_guard(context_);
    context_.run();
  });
}

LoadRunner::~LoadRunner() {
  if (thread_.joinable()) {
    Stop();
  }
}

LoadResult LoadRunner::Stop() {
  asio::post(context_, [this] { load_.Stop(); });
  thread_.join();
  return std::move(result_);
}

}  // namespace juniperway::lab
