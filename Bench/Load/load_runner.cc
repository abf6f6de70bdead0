#include "Bench/Load/load_runner.h"

#include <algorithm>
#include <cmath>
#include <thread>
#include <utility>

#include "Bench/Load/body_check.h"

namespace pimentopin {
namespace {

constexpr std::size_t kConnectionsPerHost = 256;
// Time beyond the deadline of a request for which the load generator waits, so that
// the response of the host to a missed deadline can arrive.
constexpr Duration kResponseGracePeriod = std::chrono::seconds(2);
constexpr double kMaxDuplicateDelayMs = 20;

}  // namespace

struct LoadRunner::PendingRequest {
  LoadRecord record;
  TimePoint intended_start;
  std::size_t pattern_size = 0;
  std::string body;
  // Prefix of the request id that the response must have.
  std::string id_prefix;
};

LoadRunner::LoadRunner(LoadSettings settings)
    : settings(std::move(settings)),
      random(this->settings.seed),
      client(HttpClient::Create({.max_connections_per_address = kConnectionsPerHost})) {}

std::vector<LoadRunner::PlannedRequest> LoadRunner::Plan() {
  std::vector<PlannedRequest> planned;
  for (const LoadStream& stream : this->settings.plan.streams) {
    Duration start_offset{};
    const double rate = stream.rate_per_s * this->settings.rate_factor;
    for (std::uint64_t request_index = 0;; ++request_index) {
      start_offset += FromSeconds(-std::log(1.0 - this->random.Unit()) / rate);
      if (start_offset >= this->settings.duration) {
        break;
      }
      planned.push_back({start_offset, &stream, request_index, 0});
      if (stream.sends_idempotency_key && this->random.Unit() < stream.duplicate_share) {
        const Duration delay = FromSeconds(this->random.Unit() * kMaxDuplicateDelayMs / 1e3);
        planned.push_back({start_offset + delay, &stream, request_index, 1});
      }
    }
  }
  std::sort(planned.begin(), planned.end(),
            [](const auto& left, const auto& right) { return right > left; });
  return planned;
}

std::vector<LoadRecord> LoadRunner::Run() {
  const std::vector<PlannedRequest> planned = this->Plan();
  const TimePoint start = SteadyNow();
  for (const PlannedRequest& request : planned) {
    const TimePoint intended_start = start + request.start_offset;
    std::this_thread::sleep_for(intended_start - SteadyNow());
    this->Send(request, intended_start);
  }
  std::unique_lock lock(this->mutex);
  this->all_finished.wait(lock, [this] { return this->in_flight == 0; });
  return std::move(this->records);
}

std::string LoadRunner::CreateUrl(const PlannedRequest& planned,
                                  const std::string& request_id,
                                  bool direct) {
  const LoadStream& stream = *planned.stream;
  std::string path = stream.path;
  if (stream.distinct_paths > 0) {
    path += "/" + std::to_string(planned.request_index % stream.distinct_paths);
  }
  path += "?size=" + std::to_string(stream.pattern_size) + "&id=" + request_id;
  if (stream.is_long) {
    path += "&long=1";
  }
  if (direct) {
    const auto& addresses = this->settings.direct.at(stream.service);
    return "http://" + addresses[this->random.Below(addresses.size())] + path;
  }
  const auto& hosts = this->settings.hosts;
  return "http://" + hosts[this->random.Below(hosts.size())] + "/" + stream.service + path;
}

void LoadRunner::Send(const PlannedRequest& planned, TimePoint intended_start) {
  const LoadStream& stream = *planned.stream;
  const bool has_direct_targets = this->settings.direct.contains(stream.service);
  const bool direct =
      has_direct_targets && (this->settings.hosts.empty() || planned.request_index % 2 == 1);
  const std::string shared_id = std::to_string(this->settings.seed) + "-" + stream.name + "-" +
                                std::to_string(planned.request_index);

  auto pending = std::make_shared<PendingRequest>();
  pending->intended_start = intended_start;
  pending->pattern_size = stream.pattern_size;
  LoadRecord& record = pending->record;
  record.request_id = shared_id + "-" + std::to_string(planned.duplicate_index);
  record.idempotency_key = stream.sends_idempotency_key ? "key-" + shared_id : "";
  pending->id_prefix = stream.sends_idempotency_key ? shared_id + "-" : record.request_id;
  record.stream = stream.name;
  record.service = stream.service;
  record.direct = direct;

  HttpClientRequest request;
  request.method = stream.method;
  // A request and its duplicate differ only in the request id header, so the URL
  // contains the part of the id that they share.
  request.url = this->CreateUrl(planned, shared_id, direct);
  request.timeout = std::chrono::milliseconds(stream.deadline_ms) + kResponseGracePeriod;
  request.headers = {
      {"Pimentopin-Caller", stream.callers[planned.request_index % stream.callers.size()]},
      {"Pimentopin-Request-Id", record.request_id},
      {"Pimentopin-Deadline-Ms", std::to_string(stream.deadline_ms)}};
  if (stream.sends_idempotency_key) {
    request.headers.push_back({"Idempotency-Key", record.idempotency_key});
  }
  if (stream.method == "POST" || stream.method == "PUT") {
    request.body = "{\"for\": \"" + shared_id + "\"}";
  }

  TransferCallbacks callbacks;
  callbacks.on_headers = [pending](int status, const HttpHeaders& headers) {
    pending->record.status = status;
    pending->record.outcome = FindHeader(headers, "Pimentopin-Outcome");
    pending->record.reason = FindHeader(headers, "Pimentopin-Reason");
    pending->record.replayed = FindHeader(headers, "Pimentopin-Replayed") == "true";
    return true;
  };
  callbacks.on_body = [pending](std::string bytes) { pending->body += bytes; };
  callbacks.on_end = [this, pending](const TransferResult& result) {
    this->Finish(pending, result);
  };
  {
    const std::lock_guard lock(this->mutex);
    ++this->in_flight;
  }
  this->client->Start(std::move(request), std::move(callbacks));
}

void LoadRunner::Finish(const std::shared_ptr<PendingRequest>& pending,
                        const TransferResult& result) {
  LoadRecord& record = pending->record;
  record.error = result.error;
  record.complete = result.error == TransferError::kNone;
  record.latency = SteadyNow() - pending->intended_start;
  if (record.complete && record.status == 200) {
    record.body_matches = IsExpectedBody(pending->body, {.service = record.service,
                                                         .id_prefix = pending->id_prefix,
                                                         .pattern_size = pending->pattern_size});
  }
  const std::lock_guard lock(this->mutex);
  this->records.push_back(std::move(record));
  if (--this->in_flight == 0) {
    this->all_finished.notify_all();
  }
}

}  // namespace pimentopin
