#include "common/resources/resource_json.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "common/base/json_reader.h"
#include "common/net/address.h"
#include "common/resources/validation.h"

namespace juniperway::resources {
namespace {

constexpr std::size_t kMaximumNameLength = 253;
constexpr std::size_t kMaximumItems = 10'000;
constexpr UnsignedLimits kDeadlineMs{1, 3'600'000};
constexpr UnsignedLimits kSlowStartMs{0, 3'600'000};
constexpr UnsignedLimits kExpiryMs{1'000, 86'400'000};
constexpr UnsignedLimits kSlots{1, 1'024};
constexpr UnsignedLimits kWeight{1, 1'000};
constexpr UnsignedLimits kConnections{1, 65'535};
constexpr UnsignedLimits kHolders{1, 64};
constexpr UnsignedLimits kQueueLimit{0, 100'000};
constexpr UnsignedLimits kRows{1, 10'000'000};
constexpr UnsignedLimits kIndexVersion{1, (std::uint64_t{1} << 53) - 1};
constexpr UnsignedLimits kKey{0, kKeySpaceEnd};
constexpr UnsignedLimits kAnyRevision{};
constexpr FractionLimits kShare{0, 1};
// A quantile of 1 would never hedge; hedging off says that more plainly.
constexpr FractionLimits kQuantile{0.5, 0.9999};

constexpr Kind kKinds[] = {Kind::kService, Kind::kBackend, Kind::kIndexSnapshot,
                           Kind::kMachine};

constexpr char kLatencyPolicy[] = "latency";
constexpr char kCoveragePolicy[] = "coverage";
constexpr char kNameRule[] =
    "must be 1 to 253 of a-z, 0-9, '.' and '-', first and last a letter or "
    "digit";

bool IsNameCharacter(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= '0' && character <= '9') || character == '.' ||
         character == '-';
}

bool IsAlphanumeric(char character) {
  return IsNameCharacter(character) && character != '.' && character != '-';
}

// ---- One list of fields for each kind, visited to read and to write. --------

// Fills a specification from JSON.
class FieldReader {
 public:
  FieldReader(const nlohmann::json& json, std::string path)
      : reader_(json, std::move(path)) {}

  void Name(const char* field, std::string& value, Presence presence) {
    reader_.Text(field, &value, presence);
    const bool given = presence == Presence::kRequired || !value.empty();
    if (given && !IsValidName(value)) {
      reader_.Fail(field, kNameRule);
    }
  }
  void Address(const char* field, std::string& value, Presence presence) {
    reader_.Text(field, &value, presence);
    const bool given = presence == Presence::kRequired || !value.empty();
    if (!given) {
      return;
    }
    const auto endpoint =
        net::ParseRemoteEndpoint(value, reader_.PathOf(field));
    if (!endpoint) {
      reader_.Fail(endpoint.error());
    } else {
      // One spelling for one endpoint: addresses are compared as text.
      value = net::FormatEndpoint(*endpoint);
    }
  }
  void Boolean(const char* field, bool& value) {
    reader_.Boolean(field, &value, Presence::kOptional);
  }
  template <typename Integer>
  void Unsigned(const char* field, Integer& value, UnsignedLimits limits,
                Presence presence) {
    reader_.Unsigned(field, &value, limits, presence);
  }
  void Fraction(const char* field, double& value, FractionLimits limits) {
    reader_.Fraction(field, &value, limits, Presence::kOptional);
  }
  void Milliseconds(const char* field, Duration& value, UnsignedLimits limits) {
    reader_.Milliseconds(field, &value, limits, Presence::kOptional);
  }
  void Policy(const char* field, AnswerPolicy& value) {
    std::string word;
    reader_.Text(field, &word, Presence::kOptional);
    if (word == kLatencyPolicy) {
      value = AnswerPolicy::kLatency;
    } else if (word == kCoveragePolicy) {
      value = AnswerPolicy::kCoverage;
    } else if (reader_.Field(field, Presence::kOptional) != nullptr) {
      reader_.Fail(field, "must be \"latency\" or \"coverage\"");
    }
  }
  void NameSet(const char* field, std::set<std::string>& names) {
    reader_.Array(
        field, Presence::kRequired,
        [&](const nlohmann::json& element, const std::string& path) {
          const std::string name =
              element.is_string() ? element.get<std::string>() : "";
          if (!IsValidName(name)) {
            reader_.Fail(Error{ErrorCode::kInvalidArgument, path, kNameRule});
          } else if (!names.insert(name).second) {
            reader_.Fail(
                Error{ErrorCode::kInvalidArgument, path, "is given twice"});
          }
        });
  }
  // @param visit visits the fields of one element.
  template <typename Element, typename Visit>
  void List(const char* field, std::vector<Element>& elements,
            Presence presence, Visit visit) {
    std::vector<Element> read;
    const bool given =
        reader_.Array(field, presence,
                      [&](const nlohmann::json& json, const std::string& path) {
                        FieldReader element_reader(json, path);
                        visit(element_reader, read.emplace_back());
                        if (const auto error = element_reader.Finish()) {
                          reader_.Fail(*error);
                        }
                      });
    if (given) {
      elements = std::move(read);
    }
  }

  std::optional<Error> Finish() { return reader_.Finish(); }

 private:
  JsonReader reader_;
};

// Writes a specification to JSON.
class FieldWriter {
 public:
  void Name(const char* field, const std::string& value, Presence) {
    json_[field] = value;
  }
  void Address(const char* field, const std::string& value, Presence) {
    json_[field] = value;
  }
  void Boolean(const char* field, bool value) { json_[field] = value; }
  template <typename Integer>
  void Unsigned(const char* field, Integer value, UnsignedLimits, Presence) {
    json_[field] = value;
  }
  void Fraction(const char* field, double value, FractionLimits) {
    json_[field] = value;
  }
  void Milliseconds(const char* field, Duration value, UnsignedLimits) {
    json_[field] = ToMilliseconds(value);
  }
  void Policy(const char* field, AnswerPolicy value) {
    json_[field] =
        value == AnswerPolicy::kLatency ? kLatencyPolicy : kCoveragePolicy;
  }
  void NameSet(const char* field, const std::set<std::string>& names) {
    json_[field] = names;
  }
  template <typename Element, typename Visit>
  void List(const char* field, const std::vector<Element>& elements, Presence,
            Visit visit) {
    nlohmann::json list = nlohmann::json::array();
    for (const Element& element : elements) {
      FieldWriter element_writer;
      visit(element_writer, element);
      list.push_back(std::move(element_writer.json_));
    }
    json_[field] = std::move(list);
  }

  nlohmann::json Take() { return std::move(json_); }

 private:
  nlohmann::json json_ = nlohmann::json::object();
};

// Each function below takes a FieldReader with a mutable specification or a
// FieldWriter with a constant one.

template <typename Visitor, typename ServiceType>
void VisitServiceTimes(Visitor& visitor, ServiceType& service) {
  visitor.Milliseconds("minimum_deadline_ms", service.minimum_deadline,
                       kDeadlineMs);
  visitor.Milliseconds("maximum_deadline_ms", service.maximum_deadline,
                       kDeadlineMs);
  visitor.Milliseconds("default_deadline_ms", service.default_deadline,
                       kDeadlineMs);
  visitor.Milliseconds("soft_deadline_ms", service.soft_deadline, kDeadlineMs);
  visitor.Milliseconds("maximum_expiry_ms", service.maximum_expiry, kExpiryMs);
}

template <typename Visitor, typename ServiceType>
void VisitFields(Visitor& visitor, ServiceType& service) requires
    std::is_same_v<std::remove_const_t<ServiceType>, Service> {
  VisitServiceTimes(visitor, service);
  visitor.List(
      "request_classes", service.request_classes, Presence::kOptional,
      [](auto& element_visitor, auto& request_class) {
        element_visitor.Name("name", request_class.name, Presence::kRequired);
        element_visitor.Boolean("repeatable", request_class.repeatable);
        element_visitor.Unsigned("weight", request_class.weight, kWeight,
                                 Presence::kOptional);
      });
  visitor.Policy("answer_policy", service.answer_policy);
  visitor.Fraction("minimum_coverage", service.minimum_coverage, kShare);
  visitor.Boolean("hedging", service.hedging);
  visitor.Fraction("hedge_quantile", service.hedge_quantile, kQuantile);
  visitor.Fraction("retry_budget", service.retry_budget, kShare);
  visitor.Fraction("maximum_ejected_share", service.maximum_ejected_share,
                   kShare);
  visitor.Unsigned("required_holders", service.required_holders, kHolders,
                   Presence::kOptional);
  visitor.Boolean("serve_unconfirmed", service.serve_unconfirmed);
  visitor.Unsigned("queue_limit", service.queue_limit, kQueueLimit,
                   Presence::kOptional);
  visitor.Unsigned("maximum_rows", service.maximum_rows, kRows,
                   Presence::kOptional);
}

template <typename Visitor, typename BackendType>
void VisitFields(Visitor& visitor, BackendType& backend) requires
    std::is_same_v<std::remove_const_t<BackendType>, Backend> {
  visitor.Name("service", backend.service, Presence::kRequired);
  visitor.Address("address", backend.address, Presence::kRequired);
  visitor.Name("zone", backend.zone, Presence::kRequired);
  visitor.Unsigned("slots", backend.slots, kSlots, Presence::kRequired);
  visitor.Unsigned("maximum_connections", backend.maximum_connections,
                   kConnections, Presence::kRequired);
  visitor.NameSet("shards", backend.shards);
  visitor.Boolean("drain", backend.drain);
  visitor.Milliseconds("slow_start_ms", backend.slow_start, kSlowStartMs);
}

template <typename Visitor, typename SnapshotType>
void VisitFields(Visitor& visitor, SnapshotType& snapshot) requires
    std::is_same_v<std::remove_const_t<SnapshotType>, IndexSnapshot> {
  visitor.Name("service", snapshot.service, Presence::kRequired);
  visitor.Unsigned("index_version", snapshot.index_version, kIndexVersion,
                   Presence::kRequired);
  visitor.List("partitions", snapshot.partitions, Presence::kRequired,
               [](auto& element_visitor, auto& partition) {
                 element_visitor.Unsigned("begin", partition.range.begin, kKey,
                                          Presence::kRequired);
                 element_visitor.Unsigned("end", partition.range.end, kKey,
                                          Presence::kRequired);
                 element_visitor.Name("shard", partition.shard,
                                      Presence::kRequired);
               });
}

template <typename Visitor, typename MachineType>
void VisitFields(Visitor& visitor, MachineType& machine) requires
    std::is_same_v<std::remove_const_t<MachineType>, Machine> {
  visitor.Name("zone", machine.zone, Presence::kRequired);
  visitor.Name("region", machine.region, Presence::kOptional);
  visitor.Address("address", machine.address, Presence::kOptional);
  visitor.Boolean("leaving", machine.leaving);
}

Specification EmptySpecification(Kind kind) {
  switch (kind) {
    case Kind::kService:
      return Service{};
    case Kind::kBackend:
      return Backend{};
    case Kind::kIndexSnapshot:
      return IndexSnapshot{};
    case Kind::kMachine:
      return Machine{};
  }
  return Service{};
}

Result<void> CheckSpecification(const Specification& specification) {
  if (const auto* service = std::get_if<Service>(&specification)) {
    return CheckService(*service);
  }
  if (const auto* snapshot = std::get_if<IndexSnapshot>(&specification)) {
    return CheckPartitions(*snapshot);
  }
  return {};
}

Result<Specification> ParseSpecification(Kind kind,
                                         const nlohmann::json& json) {
  Specification specification = EmptySpecification(kind);
  FieldReader reader(json, "spec");
  std::visit([&reader](auto& fields) { VisitFields(reader, fields); },
             specification);
  if (const auto error = reader.Finish()) {
    return tl::unexpected<Error>(*error);
  }
  if (const auto checked = CheckSpecification(specification); !checked) {
    return tl::unexpected<Error>(checked.error());
  }
  return specification;
}

}  // namespace

std::optional<Kind> ParseKind(std::string_view name) {
  for (const Kind kind : kKinds) {
    if (KindName(kind) == name) {
      return kind;
    }
  }
  return std::nullopt;
}

bool IsValidName(std::string_view name) {
  return !name.empty() && name.size() <= kMaximumNameLength &&
         IsAlphanumeric(name.front()) && IsAlphanumeric(name.back()) &&
         std::all_of(name.begin(), name.end(), IsNameCharacter);
}

Result<Resource> ParseResource(const nlohmann::json& json) {
  Resource resource;
  JsonReader reader(json, "");
  std::string kind_name;
  reader.Text("kind", &kind_name, Presence::kRequired);
  const std::optional<Kind> kind = ParseKind(kind_name);
  if (!kind) {
    reader.Fail("kind", "must be Service, Backend, IndexSnapshot or Machine");
  }
  reader.Text("name", &resource.id.name, Presence::kRequired);
  if (!IsValidName(resource.id.name)) {
    reader.Fail("name", kNameRule);
  }
  reader.Unsigned("version", &resource.version, kAnyRevision,
                  Presence::kOptional);
  const nlohmann::json* spec = reader.Field("spec", Presence::kRequired);
  if (const auto error = reader.Finish()) {
    return tl::unexpected<Error>(*error);
  }
  resource.id.kind = *kind;
  auto specification = ParseSpecification(*kind, *spec);
  if (!specification) {
    return tl::unexpected<Error>(specification.error());
  }
  resource.specification = std::move(*specification);
  return resource;
}

Result<std::vector<Resource>> ParseResources(std::string_view text) {
  const Result<nlohmann::json> json = ParseJson(text);
  if (!json) {
    return tl::unexpected<Error>(json.error());
  }
  std::vector<Resource> resources;
  if (!json->is_object() || !json->contains("items")) {
    auto resource = ParseResource(*json);
    if (!resource) {
      return tl::unexpected<Error>(resource.error());
    }
    resources.push_back(std::move(*resource));
    return resources;
  }
  JsonReader reader(*json, "");
  reader.Array("items", Presence::kRequired,
               [&](const nlohmann::json& element, const std::string& path) {
                 auto resource = ParseResource(element);
                 if (resource) {
                   resources.push_back(std::move(*resource));
                   return;
                 }
                 Error error = resource.error();
                 error.field =
                     path + (error.field.empty() ? "" : ".") + error.field;
                 reader.Fail(error);
               });
  if (resources.size() > kMaximumItems) {
    reader.Fail("items", "must hold at most " + std::to_string(kMaximumItems));
  }
  if (const auto error = reader.Finish()) {
    return tl::unexpected<Error>(*error);
  }
  return resources;
}

nlohmann::json ResourceToJson(const Resource& resource) {
  FieldWriter writer;
  std::visit([&writer](const auto& fields) { VisitFields(writer, fields); },
             resource.specification);
  return {{"kind", KindName(resource.id.kind)},
          {"name", resource.id.name},
          {"version", resource.version},
          {"spec", writer.Take()}};
}

}  // namespace juniperway::resources
