#include "Tests/StandIns/Platform/platform.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

#include "Libraries/LibHost/query_parameters.h"
#include "Libraries/LibPlatform/url_encoding.h"
#include "platform/base64.h"

namespace pimentopin {
namespace {

using nlohmann::json;

constexpr std::array<std::pair<StoreState, std::string_view>, 5> kStoreStateNames{
    {{StoreState::kUp, "up"},
     {StoreState::kDown, "down"},
     {StoreState::kSlow, "slow"},
     {StoreState::kDropResponses, "lose-answers"},
     {StoreState::kSilent, "silent"}}};

std::string_view StoreStateName(StoreState state) {
  for (const auto& [value, name] : kStoreStateNames) {
    if (value == state) {
      return name;
    }
  }
  return "";
}

// Returns false if the member is present but is not the name of a state.
bool ReadStoreState(const json& document, const char* member, StoreState& state) {
  if (!document.contains(member)) {
    return true;
  }
  for (const auto& [value, name] : kStoreStateNames) {
    if (document[member] == name) {
      state = value;
      return true;
    }
  }
  return false;
}

// A request without a known member would change nothing, and its check would pass without a fault.
bool HasOnlyFaults(const json& document) {
  constexpr std::array<std::string_view, 3> kMembers = {"table", "objects", "slow_ms"};
  if (!document.is_object() || document.empty()) {
    return false;
  }
  for (const auto& item : document.items()) {
    if (std::find(kMembers.begin(), kMembers.end(), item.key()) == kMembers.end()) {
      return false;
    }
  }
  return true;
}

std::string SerializeJson(const json& document) {
  return document.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

// Returns the URL-decoded part of the path after the prefix.
std::optional<std::string> DecodeKey(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix) || path.size() == prefix.size()) {
    return std::nullopt;
  }
  return PercentDecode(path.substr(prefix.size()));
}

std::uint64_t NumberParameter(const std::map<std::string, std::string>& parameters,
                              const std::string& name,
                              std::uint64_t default_value) {
  const auto found = parameters.find(name);
  if (found == parameters.end()) {
    return default_value;
  }
  std::uint64_t number = 0;
  std::from_chars(found->second.data(), found->second.data() + found->second.size(), number);
  return number;
}

// The steady clock of the store.
double NowSeconds() {
  return std::chrono::duration<double>(SteadyNow().time_since_epoch()).count();
}

json RowToJson(const std::pair<std::string, std::string>& name,
               const std::string& value,
               std::uint64_t version,
               bool removed) {
  json row = {{"table", name.first}, {"part", ""}, {"key", name.second}, {"ver", version}};
  if (removed) {
    row["tombstone"] = true;
  } else {
    row["value"] = value;
  }
  return row;
}

constexpr std::uint64_t kMaxPageRows = 500;

}  // namespace

void Platform::Handle(HttpServerRequest request, std::shared_ptr<HttpResponder> responder) {
  const std::string path = request.path;
  const StoreState table = this->faults.table;
  if (path == "/-/rows-tx") {
    this->RespondInState(table, std::move(responder), [this, request = std::move(request)] {
      return this->ApplyTransaction(request.body.text());
    });
  } else if (path == "/-/rows-get") {
    this->RespondInState(table, std::move(responder), [this, request = std::move(request)] {
      return this->ListRows(ParseQuery(request.query));
    });
  } else if (path == "/-/rows-feed" && table == StoreState::kUp) {
    this->HandleFeed(ParseQuery(request.query), responder);
  } else if (path == "/-/rows-feed") {
    this->RespondInState(table, std::move(responder), [] { return Response{503, ""}; });
  } else if (path.starts_with("/-/blob-")) {
    this->RespondInState(
        this->faults.objects, std::move(responder),
        [this, request = std::move(request)] { return this->HandleObjects(request); });
  } else if (path == "/rows") {
    this->RespondInState(
        StoreState::kUp, std::move(responder),
        [this, request = std::move(request)] { return this->WriteRow(request.body.text()); });
  } else if (path == "/compact") {
    this->RespondInState(StoreState::kUp, std::move(responder), [this] { return this->Compact(); });
  } else if (path == "/copy") {
    this->RespondInState(StoreState::kUp, std::move(responder), [this] { return this->Copy(); });
  } else if (path == "/return") {
    this->RespondInState(StoreState::kUp, std::move(responder), [this] { return this->Return(); });
  } else if (path == "/faults") {
    this->RespondInState(
        StoreState::kUp, std::move(responder),
        [this, request = std::move(request)] { return this->HandleFaults(request); });
  } else {
    responder->Respond(404, {}, "no such path\n");
  }
}

void Platform::RespondInState(StoreState state,
                              std::shared_ptr<HttpResponder> responder,
                              Operation operation) {
  if (state == StoreState::kDown) {
    responder->Respond(503, this->Headers(), "down\n");
    return;
  }
  if (state == StoreState::kSilent) {
    this->silent_requests.push_back(std::move(responder));
    return;
  }
  if (state == StoreState::kSlow) {
    auto timer = std::make_shared<asio::steady_timer>(this->context, this->faults.slow_delay);
    timer->async_wait([this, timer, responder = std::move(responder),
                       operation = std::move(operation)](const asio::error_code& error) {
      if (!error) {
        this->RespondInState(StoreState::kUp, responder, operation);
      }
    });
    return;
  }
  const Response response = operation();
  if (state == StoreState::kDropResponses) {
    responder->Abort();
    return;
  }
  responder->Respond(response.status, this->Headers(), response.body);
}

Platform::Response Platform::ApplyTransaction(const std::string& body) {
  struct Change {
    RowName name;
    std::optional<std::string> value;
  };
  // The document is parsed completely before any change, so that status 400 implies
  // that nothing was applied.
  std::vector<std::pair<RowName, std::uint64_t>> expected;
  std::vector<Change> changes;
  const auto name_of = [](const json& entry) {
    return RowName(entry.at("table").get<std::string>(), entry.at("key").get<std::string>());
  };
  try {
    const json document = json::parse(body);
    for (const json& entry : document.value("expected-rev", json::array())) {
      expected.emplace_back(name_of(entry), entry.at("ver").get<std::uint64_t>());
    }
    for (const json& entry : document.value("put", json::array())) {
      changes.push_back({name_of(entry), entry.at("value").get<std::string>()});
    }
    for (const json& entry : document.value("remove", json::array())) {
      changes.push_back({name_of(entry), std::nullopt});
    }
  } catch (const json::exception& exception) {
    return {400, std::string(exception.what()) + "\n"};
  }
  json current = json::array();
  bool conflict = false;
  for (const auto& [name, expected_version] : expected) {
    const auto found = this->rows.find(name);
    const bool exists = found != this->rows.end() && !found->second.removed;
    conflict = conflict || (exists ? found->second.version : 0) != expected_version;
    if (exists) {
      current.push_back(RowToJson(name, found->second.value, found->second.version, false));
    }
  }
  if (conflict) {
    return {412,
            SerializeJson(
                {{"rows", std::move(current)}, {"ver", this->version}, {"now-s", NowSeconds()}})};
  }
  ++this->version;
  for (const Change& change : changes) {
    this->rows[change.name] = {this->version, change.value.value_or(""), !change.value};
  }
  this->NotifyWaiters();
  return {200, SerializeJson({{"ver", this->version}, {"now-s", NowSeconds()}})};
}

Platform::Response Platform::ListRows(const Parameters& parameters) const {
  const auto table = parameters.find("table");
  if (table == parameters.end()) {
    return {400, "parameter table is missing\n"};
  }
  const auto from = parameters.find("from");
  const std::uint64_t limit =
      std::min(NumberParameter(parameters, "limit", kMaxPageRows), kMaxPageRows);
  json listed = json::array();
  bool has_more = false;
  for (auto entry =
           this->rows.lower_bound({table->second, from == parameters.end() ? "" : from->second});
       entry != this->rows.end() && entry->first.first == table->second; ++entry) {
    if (entry->second.removed) {
      continue;
    }
    if (listed.size() == limit) {
      has_more = true;
      break;
    }
    listed.push_back(RowToJson(entry->first, entry->second.value, entry->second.version, false));
  }
  return {200, SerializeJson({{"rows", std::move(listed)},
                              {"has-more", has_more},
                              {"ver", this->version},
                              {"now-s", NowSeconds()}})};
}

std::optional<Platform::Response> Platform::ChangesSince(const std::string& table,
                                                         std::uint64_t after) const {
  if (after < this->compacted_version || after > this->version) {
    return Response{410, "the history of changes has been discarded\n"};
  }
  std::vector<std::pair<std::uint64_t, json>> changed;
  for (const auto& [name, row] : this->rows) {
    if (name.first == table && row.version > after) {
      changed.emplace_back(row.version, RowToJson(name, row.value, row.version, row.removed));
    }
  }
  if (changed.empty()) {
    return std::nullopt;
  }
  std::sort(changed.begin(), changed.end(),
            [](const auto& left, const auto& right) { return left.first < right.first; });
  json list = json::array();
  for (auto& [row_version, row] : changed) {
    list.push_back(std::move(row));
  }
  return Response{
      200,
      SerializeJson({{"rows", std::move(list)}, {"ver", this->version}, {"now-s", NowSeconds()}})};
}

void Platform::HandleFeed(const Parameters& parameters,
                          const std::shared_ptr<HttpResponder>& responder) {
  const auto table = parameters.find("table");
  if (table == parameters.end()) {
    responder->Respond(400, {}, "parameter table is missing\n");
    return;
  }
  const std::uint64_t after = NumberParameter(parameters, "after", 0);
  const auto wait = std::chrono::milliseconds(NumberParameter(parameters, "wait-ms", 0));
  const Response no_changes{
      200,
      SerializeJson({{"rows", json::array()}, {"ver", this->version}, {"now-s", NowSeconds()}})};
  const auto changes = this->ChangesSince(table->second, after);
  if (changes || wait.count() == 0) {
    const Response& response = changes ? *changes : no_changes;
    responder->Respond(response.status, this->Headers(), response.body);
    return;
  }
  const auto waiter = this->waiters.insert(this->waiters.end(), {table->second, after, responder});
  auto timer = std::make_shared<asio::steady_timer>(this->context, wait);
  timer->async_wait([this, timer, waiter, responder](const asio::error_code& error) {
    // A waiter that has received its response is no longer in the list.
    const bool still_waiting =
        std::any_of(this->waiters.begin(), this->waiters.end(),
                    [&responder](const Waiter& entry) { return entry.responder == responder; });
    if (!error && still_waiting) {
      responder->Respond(
          200, this->Headers(),
          SerializeJson(
              {{"rows", json::array()}, {"ver", this->version}, {"now-s", NowSeconds()}}));
      this->waiters.erase(waiter);
    }
  });
}

void Platform::NotifyWaiters() {
  for (auto waiter = this->waiters.begin(); waiter != this->waiters.end();) {
    const auto changes = this->ChangesSince(waiter->table, waiter->after);
    if (!changes) {
      ++waiter;
      continue;
    }
    waiter->responder->Respond(changes->status, this->Headers(), changes->body);
    waiter = this->waiters.erase(waiter);
  }
}

void Platform::AbortSilentRequests() {
  for (const auto& responder : std::exchange(this->silent_requests, {})) {
    responder->Abort();
  }
}

Platform::Response Platform::HandleObjects(const HttpServerRequest& request) {
  if (request.path == "/-/blob-list" && request.method == "GET") {
    const Parameters parameters = ParseQuery(request.query);
    const auto prefix = parameters.find("prefix");
    const std::string start = prefix == parameters.end() ? "" : prefix->second;
    json names = json::array();
    for (auto entry = this->objects.lower_bound(start);
         entry != this->objects.end() && entry->first.starts_with(start); ++entry) {
      names.push_back(entry->first);
    }
    return {200, SerializeJson({{"names", std::move(names)}, {"has-more", false}})};
  }
  if (const auto name = DecodeKey(request.path, "/-/blob-get/")) {
    const auto found = this->objects.find(*name);
    return found == this->objects.end() ? Response{404, "no such object\n"}
                                        : Response{200, found->second};
  }
  const auto name = DecodeKey(request.path, "/-/blob-put/");
  if (!name || request.method != "PUT") {
    return {400, "expected blob-put, blob-get or blob-list\n"};
  }
  if (this->objects.contains(*name) && FindHeader(request.headers, "If-None-Match") == "*") {
    return {412, "the object exists already\n"};
  }
  this->objects[*name] = request.body.text();
  return {200, "{}\n"};
}

Platform::Response Platform::WriteRow(const std::string& body) {
  const json document = json::parse(body, nullptr, false);
  const auto is_text = [&document](const char* member) {
    return document.is_object() && document.contains(member) && document[member].is_string();
  };
  if (!is_text("table") || !is_text("key")) {
    return {400, "table and key must be strings\n"};
  }
  const RowName name(document["table"].get<std::string>(), document["key"].get<std::string>());
  const bool removed = !is_text("value");
  ++this->version;
  this->rows[name] = {this->version,
                      removed ? "" : platform::EncodeBase64(document["value"].get<std::string>()),
                      removed};
  this->NotifyWaiters();
  return {200, SerializeJson({{"ver", this->version}})};
}

Platform::Response Platform::Compact() {
  this->compacted_version = this->version;
  std::erase_if(this->rows, [](const auto& entry) { return entry.second.removed; });
  return {200, "{}\n"};
}

Platform::Response Platform::Copy() {
  this->copy = {.rows = this->rows,
                .version = this->version,
                .compacted_version = this->compacted_version,
                .objects = this->objects};
  return {200, SerializeJson({{"ver", this->version}})};
}

Platform::Response Platform::Return() {
  if (!this->copy) {
    return {409, "no copy has been taken\n"};
  }
  this->rows = this->copy->rows;
  this->version = this->copy->version;
  this->compacted_version = this->copy->compacted_version;
  this->objects = this->copy->objects;
  ++this->era;
  for (const Waiter& waiter : std::exchange(this->waiters, {})) {
    waiter.responder->Abort();
  }
  this->AbortSilentRequests();
  return {200, SerializeJson({{"ver", this->version}, {"era", this->era}})};
}

HttpHeaders Platform::Headers() const {
  return {{"Store-Era", std::to_string(this->era)}};
}

Platform::Response Platform::HandleFaults(const HttpServerRequest& request) {
  if (request.method == "POST") {
    PlatformFaults changed = this->faults;
    try {
      const json document = json::parse(request.body.text());
      if (!HasOnlyFaults(document)) {
        return {400, "the body must be an object with table, objects or slow_ms\n"};
      }
      if (!ReadStoreState(document, "table", changed.table) ||
          !ReadStoreState(document, "objects", changed.objects)) {
        return {400, "the state must be up, down, slow, lose-answers or silent\n"};
      }
      if (document.contains("slow_ms")) {
        changed.slow_delay = std::chrono::milliseconds(document["slow_ms"].get<std::uint32_t>());
      }
    } catch (const json::exception& exception) {
      return {400, std::string(exception.what()) + "\n"};
    }
    if (changed != this->faults) {
      this->AbortSilentRequests();
    }
    this->faults = changed;
    // Waiting feed requests fail when the table store does; a silent one leaves them waiting.
    if (changed.table == StoreState::kSilent) {
      for (Waiter& waiter : std::exchange(this->waiters, {})) {
        this->silent_requests.push_back(std::move(waiter.responder));
      }
    } else if (changed.table != StoreState::kUp) {
      for (const Waiter& waiter : std::exchange(this->waiters, {})) {
        waiter.responder->Abort();
      }
    }
  }
  return {200,
          SerializeJson({{"table", StoreStateName(this->faults.table)},
                         {"objects", StoreStateName(this->faults.objects)},
                         {"slow_ms", this->faults.slow_delay / std::chrono::milliseconds(1)}})};
}

}  // namespace pimentopin
