#include "Bench/Load/load_runner.h"

#include <algorithm>
#include <cmath>
#include <thread>
#include <utility>

#include "Bench/Load/body_check.h"

namespace pimentopin {
namespace {

constexpr std::size_t kConnectionsPerHost = 256;
// The caller waits a little longer than the deadline it announces, so that the
// host's own answer can arrive.
constexpr Duration kPatience = std::chrono::seconds(2);
constexpr double kMaxResendDelayMs = 20;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

struct LoadRunner::Pending {
  LoadRecord record;
  TimePoint intended;
  std::size_t size = 0;
  std::string body;
  // Of the request ids that the answer may be for.
  std::string id_prefix;
};

LoadRunner::LoadRunner(LoadSettings settings)
    : settings(std::move(settings)),
      random(this->settings.seed),
      client(HttpClient::Create({.max_connections_per_address = kConnectionsPerHost})) {}

std::vector<LoadRunner::PlannedRequest> LoadRunner::Plan() {
  std::vector<PlannedRequest> planned;
  for (const LoadStream& stream : this->settings.plan.streams) {
    Duration at{};
    const double rate = stream.rate_per_s * this->settings.rate_factor;
    for (std::uint64_t number = 0;; ++number) {
      at += FromSeconds(-std::log(1.0 - this->random.Unit()) / rate);
      if (at >= this->settings.duration) {
        break;
      }
      planned.push_back({at, &stream, number, 0});
      if (stream.keyed && this->random.Unit() < stream.resend_share) {
        const Duration delay = FromSeconds(this->random.Unit() * kMaxResendDelayMs / 1e3);
        planned.push_back({at + delay, &stream, number, 1});
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
    const TimePoint intended = start + request.at;
    std::this_thread::sleep_for(intended - SteadyNow());
    this->Send(request, intended);
  }
  std::unique_lock lock(this->mutex);
  this->all_done.wait(lock, [this] { return this->in_flight == 0; });
  return std::move(this->records);
}

std::string LoadRunner::UrlOf(const PlannedRequest& planned,
                              const std::string& request_id,
                              bool direct) {
  const LoadStream& stream = *planned.stream;
  std::string path = stream.path;
  if (stream.documents > 0) {
    path += "/" + std::to_string(planned.number % stream.documents);
  }
  path += "?size=" + std::to_string(stream.size) + "&id=" + request_id;
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

void LoadRunner::Send(const PlannedRequest& planned, TimePoint intended) {
  const LoadStream& stream = *planned.stream;
  const bool may_be_direct = this->settings.direct.contains(stream.service);
  const bool direct = may_be_direct && (this->settings.hosts.empty() || planned.number % 2 == 1);
  const std::string base = std::to_string(this->settings.seed) + "-" + stream.name + "-" +
                           std::to_string(planned.number);

  auto pending = std::make_shared<Pending>();
  pending->intended = intended;
  pending->size = stream.size;
  LoadRecord& record = pending->record;
  record.request_id = base + "-" + std::to_string(planned.copy);
  record.idempotency_key = stream.keyed ? "key-" + base : "";
  pending->id_prefix = stream.keyed ? base + "-" : record.request_id;
  record.stream = stream.name;
  record.service = stream.service;
  record.direct = direct;

  HttpClientRequest request;
  request.method = stream.method;
  // Copies of one request are equal but for the request id, so the URL carries
  // the part that they share.
  request.url = this->UrlOf(planned, base, direct);
  request.timeout = std::chrono::milliseconds(stream.deadline_ms) + kPatience;
  request.headers = {{"Pimentopin-Caller", stream.callers[planned.number % stream.callers.size()]},
                     {"Pimentopin-Request-Id", record.request_id},
                     {"Pimentopin-Deadline-Ms", std::to_string(stream.deadline_ms)}};
  if (stream.keyed) {
    request.headers.push_back({"Idempotency-Key", record.idempotency_key});
  }
  if (stream.method == "POST" || stream.method == "PUT") {
    request.body = "{\"for\": \"" + base + "\"}";
  }

  TransferCallbacks hooks;
  hooks.on_headers = [pending](int status, const HttpHeaders& headers) {
    pending->record.status = status;
    pending->record.outcome = FindHeader(headers, "Pimentopin-Outcome");
    pending->record.reason = FindHeader(headers, "Pimentopin-Reason");
    pending->record.replayed = FindHeader(headers, "Pimentopin-Replayed") == "true";
  };
  hooks.on_body = [pending](std::string bytes) { pending->body += bytes; };
  hooks.on_end = [this, pending](const TransferResult& end) { this->Finish(pending, end); };
  {
    const std::lock_guard lock(this->mutex);
    ++this->in_flight;
  }
  this->client->Start(std::move(request), std::move(hooks));
}

void LoadRunner::Finish(const std::shared_ptr<Pending>& pending, const TransferResult& end) {
  LoadRecord& record = pending->record;
  record.error = end.error;
  record.whole = end.error == TransferError::kNone;
  record.latency = SteadyNow() - pending->intended;
  if (record.whole && record.status == 200) {
    record.own = IsExpectedBody(
        pending->body,
        {.service = record.service, .id_prefix = pending->id_prefix, .size = pending->size});
  }
  const std::lock_guard lock(this->mutex);
  this->records.push_back(std::move(record));
  if (--this->in_flight == 0) {
    this->all_done.notify_all();
  }
}

}  // namespace pimentopin
