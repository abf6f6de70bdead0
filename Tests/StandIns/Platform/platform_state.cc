#include "Tests/StandIns/Platform/platform_state.h"

namespace pimentopin {
namespace {

using nlohmann::json;

std::optional<PartMode> ParseMode(const json& value) {
  if (value == "up") {
    return PartMode::kUp;
  }
  if (value == "down") {
    return PartMode::kDown;
  }
  if (value == "slow") {
    return PartMode::kSlow;
  }
  return value == "lose-answers" ? std::optional(PartMode::kLoseAnswers) : std::nullopt;
}

}  // namespace

std::optional<json> PlatformState::ReadRow(const std::string& key) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->rows.find(key);
  if (found == this->rows.end()) {
    return std::nullopt;
  }
  return json{{"version", found->second.version}, {"value", found->second.value}};
}

json PlatformState::Write(const json& writes) {
  const std::lock_guard lock(this->mutex);
  json results = json::array();
  for (const json& write : writes) {
    const auto key = write.at("key").get<std::string>();
    const auto found = this->rows.find(key);
    const std::uint64_t version = found == this->rows.end() ? 0 : found->second.version;
    const bool applied = version == write.at("expected_version").get<std::uint64_t>();
    if (applied) {
      this->rows[key] = {version + 1, write.at("value").get<std::string>()};
    }
    results.push_back({{"applied", applied}, {"version", applied ? version + 1 : version}});
  }
  return {{"results", std::move(results)}};
}

std::optional<std::string> PlatformState::GetObject(const std::string& key) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->objects.find(key);
  return found == this->objects.end() ? std::nullopt : std::optional(found->second);
}

bool PlatformState::PutObjectIfAbsent(const std::string& key, const std::string& content) {
  const std::lock_guard lock(this->mutex);
  return this->objects.emplace(key, content).second;
}

json PlatformState::ListObjects(const std::string& prefix) const {
  const std::lock_guard lock(this->mutex);
  json keys = json::array();
  for (const auto& [key, content] : this->objects) {
    if (key.starts_with(prefix)) {
      keys.push_back(key);
    }
  }
  return {{"keys", std::move(keys)}};
}

void PlatformState::RegisterHost(const std::string& name, const json& entry) {
  const std::lock_guard lock(this->mutex);
  this->pending_hosts.push_back({Clock::now(), name, entry});
}

json PlatformState::ListHosts() {
  const std::lock_guard lock(this->mutex);
  const Clock::time_point visible_until = Clock::now() - this->hosts_lag;
  while (!this->pending_hosts.empty() && this->pending_hosts.front().at <= visible_until) {
    this->visible_hosts[this->pending_hosts.front().name] = this->pending_hosts.front().entry;
    this->pending_hosts.pop_front();
  }
  json list = json::array();
  for (const auto& [name, entry] : this->visible_hosts) {
    list.push_back(entry);
  }
  return list;
}

std::string PlatformState::SetFaults(const json& faults) {
  if (!faults.is_object()) {
    return "not a JSON object";
  }
  const auto table_mode = ParseMode(faults.value("table", json("up")));
  const auto objects_mode = ParseMode(faults.value("objects", json("up")));
  if (!table_mode || !objects_mode) {
    return "modes are up, down, slow and lose-answers";
  }
  const std::lock_guard lock(this->mutex);
  this->table = *table_mode;
  this->object_store = *objects_mode;
  this->hosts_lag = std::chrono::milliseconds(faults.value("hosts_lag_ms", 0));
  this->delay = std::chrono::milliseconds(faults.value("slow_ms", 1500));
  return "";
}

PartMode PlatformState::table_mode() const {
  const std::lock_guard lock(this->mutex);
  return this->table;
}

PartMode PlatformState::objects_mode() const {
  const std::lock_guard lock(this->mutex);
  return this->object_store;
}

std::chrono::milliseconds PlatformState::slow_delay() const {
  const std::lock_guard lock(this->mutex);
  return this->delay;
}

}  // namespace pimentopin
