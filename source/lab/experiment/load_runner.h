// Runs a load on a thread of its own, beside the scenario's script.
#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <thread>

#include "lab/caller/load.h"
#include "lab/catalog.h"

namespace juniperway::lab {

class LoadRunner {
 public:
  // Starts the load. @param catalog must outlive the runner.
  LoadRunner(const LoadSettings& settings, const Catalog& catalog);
  // Stops the load if Stop() was not called.
  ~LoadRunner();
  LoadRunner(const LoadRunner&) = delete;
  LoadRunner& operator=(const LoadRunner&) = delete;

  // No query is due from now on. Waits until the last one has finished.
  LoadResult Stop();

 private:
  asio::io_context context_{1};
  Load load_;
  LoadResult result_;
  std::thread thread_;
};

}  // namespace juniperway::lab
