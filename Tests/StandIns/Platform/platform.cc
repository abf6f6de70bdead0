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
  return PercentDecode(path.substr(prefix.size()));
}

std::uint64_t NumberIn(const std::map<std::string, std::string>& parameters,
                       const std::string& name,
                       std::uint64_t otherwise) {
  const auto found = parameters.find(name);
  if (found == parameters.end()) {
    return otherwise;
  }
  std::uint64_t number = 0;
  std::from_chars(found->second.data(), found->second.data() + found->second.size(), number);
  return number;
}

json RowJson(const std::pair<std::string, std::string>& name,
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

constexpr std::uint64_t kPageRows = 500;

}  // namespace

void Platform::Handle(HttpServerRequest request, std::shared_ptr<HttpResponder> responder) {
  const std::string path = request.path;
  const PartState table = this->faults.table;
  if (path == "/-/rows-tx") {
    this->Serve(table, std::move(responder),
                [this, request = std::move(request)] { return this->Transact(request.body); });
  } else if (path == "/-/rows-get") {
    this->Serve(table, std::move(responder), [this, request = std::move(request)] {
      return this->ListRows(ParseQuery(request.query));
    });
  } else if (path == "/-/rows-feed" && table == PartState::kUp) {
    this->Feed(ParseQuery(request.query), responder);
  } else if (path == "/-/rows-feed") {
    this->Serve(table, std::move(responder), [] { return Answer{503, ""}; });
  } else if (path.starts_with("/-/blob-")) {
    this->Serve(this->faults.objects, std::move(responder),
                [this, request = std::move(request)] { return this->Objects(request); });
  } else if (path == "/rows") {
    this->Serve(PartState::kUp, std::move(responder),
                [this, request = std::move(request)] { return this->WriteRow(request.body); });
  } else if (path == "/compact") {
    this->Serve(PartState::kUp, std::move(responder), [this] { return this->Compact(); });
  } else if (path == "/faults") {
    this->Serve(PartState::kUp, std::move(responder),
                [this, request = std::move(request)] { return this->Faults(request); });
  } else {
    responder->Respond(404, {}, "no such path\n");
  }
}

void Platform::Serve(PartState state, std::shared_ptr<HttpResponder> responder, Action action) {
  if (state == PartState::kDown) {
    responder->Respond(503, {}, "down\n");
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

Platform::Answer Platform::Transact(const std::string& body) {
  struct Change {
    RowName name;
    std::optional<std::string> value;
  };
  // Read whole before anything is applied, so that 400 means that nothing was.
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
  for (const auto& [name, wanted] : expected) {
    const auto found = this->rows.find(name);
    const bool exists = found != this->rows.end() && !found->second.removed;
    conflict = conflict || (exists ? found->second.version : 0) != wanted;
    if (exists) {
      current.push_back(RowJson(name, found->second.value, found->second.version, false));
    }
  }
  if (conflict) {
    return {412, Dump({{"rows", std::move(current)}, {"ver", this->version}, {"now-s", 0}})};
  }
  ++this->version;
  for (const Change& change : changes) {
    this->rows[change.name] = {this->version, change.value.value_or(""), !change.value};
  }
  this->AnswerWaiters();
  return {200, Dump({{"ver", this->version}, {"now-s", 0}})};
}

Platform::Answer Platform::ListRows(const Parameters& parameters) const {
  const auto table = parameters.find("table");
  if (table == parameters.end()) {
    return {400, "parameter table is missing\n"};
  }
  const auto from = parameters.find("from");
  const std::uint64_t limit = std::min(NumberIn(parameters, "limit", kPageRows), kPageRows);
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
    listed.push_back(RowJson(entry->first, entry->second.value, entry->second.version, false));
  }
  return {200, Dump({{"rows", std::move(listed)},
                     {"has-more", has_more},
                     {"ver", this->version},
                     {"now-s", 0}})};
}

std::optional<Platform::Answer> Platform::Changes(const std::string& table,
                                                  std::uint64_t after) const {
  if (after < this->compacted) {
    return Answer{410, "the history is gone\n"};
  }
  std::vector<std::pair<std::uint64_t, json>> changed;
  for (const auto& [name, row] : this->rows) {
    if (name.first == table && row.version > after) {
      changed.emplace_back(row.version, RowJson(name, row.value, row.version, row.removed));
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
  return Answer{200, Dump({{"rows", std::move(list)}, {"ver", this->version}, {"now-s", 0}})};
}

void Platform::Feed(const Parameters& parameters, const std::shared_ptr<HttpResponder>& responder) {
  const auto table = parameters.find("table");
  if (table == parameters.end()) {
    responder->Respond(400, {}, "parameter table is missing\n");
    return;
  }
  const std::uint64_t after = NumberIn(parameters, "after", 0);
  const auto wait = std::chrono::milliseconds(NumberIn(parameters, "wait-ms", 0));
  const Answer nothing{200, Dump({{"rows", json::array()}, {"ver", this->version}, {"now-s", 0}})};
  const auto changes = this->Changes(table->second, after);
  if (changes || wait.count() == 0) {
    const Answer& answer = changes ? *changes : nothing;
    responder->Respond(answer.status, {}, answer.body);
    return;
  }
  const auto waiter = this->waiters.insert(this->waiters.end(), {table->second, after, responder});
  auto timer = std::make_shared<asio::steady_timer>(this->context, wait);
  timer->async_wait([this, timer, waiter, responder](const asio::error_code& error) {
    // Answered already if its responder is gone from the list.
    const bool waits =
        std::any_of(this->waiters.begin(), this->waiters.end(),
                    [&responder](const Waiter& entry) { return entry.responder == responder; });
    if (!error && waits) {
      responder->Respond(200, {},
                         Dump({{"rows", json::array()}, {"ver", this->version}, {"now-s", 0}}));
      this->waiters.erase(waiter);
    }
  });
}

void Platform::AnswerWaiters() {
  for (auto waiter = this->waiters.begin(); waiter != this->waiters.end();) {
    const auto changes = this->Changes(waiter->table, waiter->after);
    if (!changes) {
      ++waiter;
      continue;
    }
    waiter->responder->Respond(changes->status, {}, changes->body);
    waiter = this->waiters.erase(waiter);
  }
}

Platform::Answer Platform::Objects(const HttpServerRequest& request) {
  if (request.path == "/-/blob-list" && request.method == "GET") {
    const Parameters parameters = ParseQuery(request.query);
    const auto prefix = parameters.find("prefix");
    const std::string start = prefix == parameters.end() ? "" : prefix->second;
    json names = json::array();
    for (auto entry = this->objects.lower_bound(start);
         entry != this->objects.end() && entry->first.starts_with(start); ++entry) {
      names.push_back(entry->first);
    }
    return {200, Dump({{"names", std::move(names)}, {"has-more", false}})};
  }
  if (const auto name = KeyAfter(request.path, "/-/blob-get/")) {
    const auto found = this->objects.find(*name);
    return found == this->objects.end() ? Answer{404, "no such object\n"}
                                        : Answer{200, found->second};
  }
  const auto name = KeyAfter(request.path, "/-/blob-put/");
  if (!name || request.method != "PUT") {
    return {400, "expected blob-put, blob-get or blob-list\n"};
  }
  if (this->objects.contains(*name) && FindHeader(request.headers, "If-None-Match") == "*") {
    return {412, "the object exists\n"};
  }
  this->objects[*name] = request.body;
  return {200, "{}\n"};
}

Platform::Answer Platform::WriteRow(const std::string& body) {
  const json document = json::parse(body, nullptr, false);
  const auto is_text = [&document](const char* member) {
    return document.is_object() && document.contains(member) && document[member].is_string();
  };
  if (!is_text("table") || !is_text("key")) {
    return {400, "expected table, key and a value\n"};
  }
  const RowName name(document["table"].get<std::string>(), document["key"].get<std::string>());
  const bool removed = !is_text("value");
  ++this->version;
  this->rows[name] = {this->version,
                      removed ? "" : platform::EncodeBase64(document["value"].get<std::string>()),
                      removed};
  this->AnswerWaiters();
  return {200, Dump({{"ver", this->version}})};
}

Platform::Answer Platform::Compact() {
  this->compacted = this->version;
  std::erase_if(this->rows, [](const auto& entry) { return entry.second.removed; });
  return {200, "{}\n"};
}

Platform::Answer Platform::Faults(const HttpServerRequest& request) {
  if (request.method == "POST") {
    PlatformFaults changed = this->faults;
    try {
      const json document = json::parse(request.body);
      if (!ReadState(document, "table", changed.table) ||
          !ReadState(document, "objects", changed.objects)) {
        return {400, "a state must be up, down, slow or lose-answers\n"};
      }
      if (document.contains("slow_ms")) {
        changed.slow = std::chrono::milliseconds(document["slow_ms"].get<std::uint32_t>());
      }
    } catch (const json::exception& exception) {
      return {400, std::string(exception.what()) + "\n"};
    }
    this->faults = changed;
    // Calls that wait are lost with the table.
    if (changed.table != PartState::kUp) {
      for (const Waiter& waiter : std::exchange(this->waiters, {})) {
        waiter.responder->Abort();
      }
    }
  }
  return {200, Dump({{"table", StateName(this->faults.table)},
                     {"objects", StateName(this->faults.objects)},
                     {"slow_ms", this->faults.slow / std::chrono::milliseconds(1)}})};
}

}  // namespace pimentopin
