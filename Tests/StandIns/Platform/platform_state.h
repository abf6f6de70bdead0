#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace pimentopin {

// How one part of the platform behaves.
enum class PartMode { kUp, kDown, kSlow, kLoseAnswers };

// Table, object store and host list in memory. Callable from any thread.
class PlatformState {
 public:
  std::optional<nlohmann::json> ReadRow(const std::string& key) const;
  nlohmann::json Write(const nlohmann::json& writes);

  std::optional<std::string> GetObject(const std::string& key) const;
  // False if the object exists already.
  bool PutObjectIfAbsent(const std::string& key, const std::string& content);
  nlohmann::json ListObjects(const std::string& prefix) const;

  void RegisterHost(const std::string& name, const nlohmann::json& entry);
  // The list as it was hosts_lag_ms ago.
  nlohmann::json ListHosts();

  // Error text, or empty if the faults were set.
  std::string SetFaults(const nlohmann::json& faults);
  PartMode table_mode() const;
  PartMode objects_mode() const;
  std::chrono::milliseconds slow_delay() const;

 private:
  using Clock = std::chrono::steady_clock;

  struct Row {
    std::uint64_t version = 0;
    std::string value;
  };
  struct HostChange {
    Clock::time_point at;
    std::string name;
    nlohmann::json entry;
  };

  mutable std::mutex mutex;
  std::map<std::string, Row> rows;
  std::map<std::string, std::string> objects;
  std::map<std::string, nlohmann::json> visible_hosts;
  std::deque<HostChange> pending_hosts;
  PartMode table = PartMode::kUp;
  PartMode object_store = PartMode::kUp;
  std::chrono::milliseconds hosts_lag{0};
  std::chrono::milliseconds delay{1500};
};

}  // namespace pimentopin
