#include "Tests/StandIns/Platform/platform.h"

#include <asio/steady_timer.hpp>

#include <array>
#include <string_view>

#include "Libraries/LibPlatform/platform_encoding.h"

namespace pimentopin {
namespace {

using nlohmann::json;

constexpr std::array<std::pair<PartState, std::string_view>, 4> kStateNames{
    {{PartState::kUp, "up"},
     {PartState::kDown, "down"},
     {PartState::kSlow, "slow"},
     {PartState::kLoseAnswers, "lose-answers"}}};

std::string_view StateName(PartState state) {
  for (const auto& [value, name] : kStateNames) {
    if (value == state) {
      return name;
    }
  }
  return "";
}

// False if the member is present and names no state.
bool ReadState(const json& document, const char* member, PartState& state) {
  if (!document.contains(member)) {
    return true;
  }
  for (const auto& [value, name] : kStateNames) {
    if (document[member] == name) {
      state = value;
      return true;
    }
  }
  return false;
}

std::string Dump(const json& document) {
  return document.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

// Decoded rest of the path after the prefix.
std::optional<std::string> KeyAfter(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix) || path.size() == prefix.size()) {
    return std::nullopt;
  }
  return DecodeUrlPart(path.substr(prefix.size()));
}

bool IsUnder(std::string_view path, std::string_view root) {
  return path == root || (path.starts_with(root) && path[root.size()] == '/');
}

}  // namespace

void Platform::Handle(HttpServerRequest request, std::shared_ptr<HttpResponder> responder) {
  const std::string path = request.path;
  if (IsUnder(path, "/table")) {
    this->Serve(this->faults.table, std::move(responder),
                [this, request = std::move(request)] { return this->Table(request); });
  } else if (IsUnder(path, "/objects")) {
    this->Serve(this->faults.objects, std::move(responder),
                [this, request = std::move(request)] { return this->Objects(request); });
  } else if (IsUnder(path, "/hosts")) {
    this->Serve(this->faults.hosts, std::move(responder),
                [this, request = std::move(request)] { return this->Hosts(request); });
  } else if (path == "/faults") {
    this->Serve(PartState::kUp, std::move(responder),
                [this, request = std::move(request)] { return this->Faults(request); });
  } else {
    responder->Respond(404, {}, "no such path\n");
  }
}

void Platform::Serve(PartState state, std::shared_ptr<HttpResponder> responder, Action action) {
  if (state == PartState::kDown) {
    responder->Respond(503, {{std::string(kPlatformOutcomeHeader), std::string(kNotApplied)}},
                       "down\n");
    return;
  }
  if (state == PartState::kSlow) {
    auto timer = std::make_shared<asio::steady_timer>(this->context, this->faults.slow);
    timer->async_wait([this, timer, responder = std::move(responder),
                       action = std::move(action)](const asio::error_code& error) {
      if (!error) {
        this->Serve(PartState::kUp, responder, action);
      }
    });
    return;
  }
  const Answer answer = action();
  if (state == PartState::kLoseAnswers) {
    responder->Abort();
    return;
  }
  responder->Respond(answer.status, {}, answer.body);
}

Platform::Answer Platform::Table(const HttpServerRequest& request) {
  if (request.method == "POST" && request.path == "/table") {
    return this->WriteTable(request.body);
  }
  const auto key = KeyAfter(request.path, "/table/");
  if (request.method != "GET" || !key) {
    return {400, "expected GET /table/<key> or POST /table\n"};
  }
  const auto found = this->rows.find(*key);
  if (found == this->rows.end()) {
    return {404, "no such row\n"};
  }
  return {200, Dump({{"version", found->second.version}, {"value", found->second.value}})};
}

Platform::Answer Platform::WriteTable(const std::string& body) {
  // Read whole before anything is applied, so that 400 means that nothing was.
  std::vector<std::pair<std::string, Row>> writes;
  try {
    const json document = json::parse(body);
    for (const json& write : document.at("writes")) {
      writes.emplace_back(write.at("key").get<std::string>(),
                          Row{.version = write.at("expected_version").get<std::uint64_t>(),
                              .value = write.at("value")});
    }
  } catch (const json::exception& exception) {
    return {400, std::string(exception.what()) + "\n"};
  }
  json results = json::array();
  for (const auto& [key, write] : writes) {
    const auto found = this->rows.find(key);
    std::uint64_t version = found == this->rows.end() ? 0 : found->second.version;
    const bool applied = version == write.version;
    if (applied) {
      this->rows[key] = {.version = ++version, .value = write.value};
    }
    results.push_back({{"applied", applied}, {"version", version}});
  }
  return {200, Dump(results)};
}

Platform::Answer Platform::Objects(const HttpServerRequest& request) {
  if (request.path == "/objects" && request.method == "GET") {
    constexpr std::string_view kPrefix = "prefix=";
    const std::string_view query = request.query;
    const auto prefix =
        DecodeUrlPart(query.starts_with(kPrefix) ? query.substr(kPrefix.size()) : "");
    json keys = json::array();
    for (auto entry = this->objects.lower_bound(prefix.value_or(""));
         entry != this->objects.end() && entry->first.starts_with(prefix.value_or("")); ++entry) {
      keys.push_back(entry->first);
    }
    return {200, Dump(keys)};
  }
  const auto key = KeyAfter(request.path, "/objects/");
  if (!key) {
    return {400, "expected /objects/<key>\n"};
  }
  const auto found = this->objects.find(*key);
  if (request.method == "GET") {
    return found == this->objects.end() ? Answer{404, "no such object\n"}
                                        : Answer{200, found->second};
  }
  if (request.method != "PUT") {
    return {400, "expected GET or PUT\n"};
  }
  if (found != this->objects.end() && FindHeader(request.headers, "If-None-Match") == "*") {
    return {412, "the object exists\n"};
  }
  this->objects[*key] = request.body;
  return {201, ""};
}

Platform::Answer Platform::Hosts(const HttpServerRequest& request) {
  if (request.path == "/hosts" && request.method == "GET") {
    return this->ListHosts();
  }
  const auto name = KeyAfter(request.path, "/hosts/");
  if (!name || (request.method != "PUT" && request.method != "DELETE")) {
    return {400, "expected GET /hosts, PUT /hosts/<name> or DELETE /hosts/<name>\n"};
  }
  HostChange change{.at = SteadyNow(), .name = *name};
  if (request.method == "PUT") {
    try {
      const json document = json::parse(request.body);
      change.entry = json{{"name", *name},
                          {"address", document.at("address").get<std::string>()},
                          {"state", document.value("state", "live")},
                          {"kind", document.value("kind", "host")}};
    } catch (const json::exception& exception) {
      return {400, std::string(exception.what()) + "\n"};
    }
  }
  this->host_changes.push_back(std::move(change));
  return {200, ""};
}

Platform::Answer Platform::ListHosts() const {
  const TimePoint shown = SteadyNow() - this->faults.hosts_lag;
  std::map<std::string, json> hosts;
  for (const HostChange& change : this->host_changes) {
    if (change.at > shown) {
      break;
    }
    if (change.entry) {
      hosts[change.name] = *change.entry;
    } else {
      hosts.erase(change.name);
    }
  }
  json list = json::array();
  for (const auto& [name, entry] : hosts) {
    list.push_back(entry);
  }
  return {200, Dump(list)};
}

Platform::Answer Platform::Faults(const HttpServerRequest& request) {
  if (request.method == "POST") {
    PlatformFaults changed = this->faults;
    try {
      const json document = json::parse(request.body);
      if (!ReadState(document, "table", changed.table) ||
          !ReadState(document, "objects", changed.objects) ||
          !ReadState(document, "hosts", changed.hosts)) {
        return {400, "a state must be up, down, slow or lose-answers\n"};
      }
      const auto milliseconds = [&](const char* member, Duration& value) {
        if (document.contains(member)) {
          value = std::chrono::milliseconds(document[member].get<std::uint32_t>());
        }
      };
      milliseconds("hosts_lag_ms", changed.hosts_lag);
      milliseconds("slow_ms", changed.slow);
    } catch (const json::exception& exception) {
      return {400, std::string(exception.what()) + "\n"};
    }
    this->faults = changed;
  }
  return {200, Dump({{"table", StateName(this->faults.table)},
                     {"objects", StateName(this->faults.objects)},
                     {"hosts", StateName(this->faults.hosts)},
                     {"hosts_lag_ms", this->faults.hosts_lag / std::chrono::milliseconds(1)},
                     {"slow_ms", this->faults.slow / std::chrono::milliseconds(1)}})};
}

}  // namespace pimentopin
