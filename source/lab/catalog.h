// What the lab knows of each service's data: its records and the index versions
// that were ever published. Shared by the threads of one experiment.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "common/resources/resource.h"
#include "lab/dataset.h"

namespace juniperway::lab {

class Catalog {
 public:
  void AddService(const std::string& service, std::uint32_t record_count);
  // Must be called before control hears of the version.
  void Publish(const std::string& service,
               resources::IndexVersion index_version);

  // The service must have been added.
  Dataset DatasetOf(const std::string& service) const;
  std::set<resources::IndexVersion> Published(const std::string& service) const;

 private:
  struct Entry {
    std::uint32_t record_count = 0;
    std::set<resources::IndexVersion> published;
  };

  mutable std::mutex mutex_;
  std::map<std::string, Entry> services_;
};

}  // namespace juniperway::lab
