#include "Tests/StandIns/Target/target.h"

#include <asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

#include "Tests/StandIns/Target/response_body.h"

namespace pimentopin {
namespace {

using nlohmann::json;

std::uint64_t EpochMicroseconds() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size() && !text.empty()
             ? std::optional(number)
             : std::nullopt;
}

// Returns the value of a query parameter, or an empty string if it is absent.
std::string_view QueryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(pair.size() + 1, query.size()));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
      return pair.substr(equals + 1);
    }
  }
  return {};
}

json ToJson(const LedgerEntry& entry) {
  return {{"attempt_id", entry.attempt_id},
          {"request_id", entry.request_id},
          {"idempotency_key", entry.idempotency_key},
          {"method", entry.method},
          {"path", entry.path},
          {"started_at_us", entry.started_at_us},
          {"ended_at_us", entry.ended_at_us},
          {"completed", entry.completed}};
}

std::string SerializeJson(const json& document) {
  return document.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

bool Contains(const std::vector<std::string>& list, std::string_view value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

struct Target::Job {
  Job(asio::io_context& context,
      HttpServerRequest received,
      std::shared_ptr<HttpResponder> job_responder)
      : request(std::move(received)), responder(std::move(job_responder)), timer(context) {}

  std::string Header(std::string_view name) const {
    return std::string(FindHeader(this->request.headers, name));
  }

  HttpServerRequest request;
  std::shared_ptr<HttpResponder> responder;
  asio::steady_timer timer;
  std::optional<TimePoint> deadline;
  // Index in the ledger; empty until the request starts to run.
  std::optional<std::size_t> ledger_index;
  bool ended = false;
};

Target::Target(asio::io_context& context, TargetSettings settings)
    : context(context),
      settings(std::move(settings)),
      started_at(SteadyNow()),
      random(this->settings.seed) {}

void Target::Handle(HttpServerRequest request, std::shared_ptr<HttpResponder> responder) {
  if (request.path == "/control") {
    this->HandleControl(request, *responder);
  } else if (request.path == "/ledger") {
    this->HandleLedger(*responder);
  } else if (this->IsUnreachableFrom(request)) {
    if (this->mode.unreachable_mode == UnreachableMode::kRefuse) {
      responder->Abort();
      return;
    }
    // The callback keeps the responder alive until the caller closes the connection.
    HttpResponder& pending_responder = *responder;
    pending_responder.OnCallerDisconnect([responder] {});
  } else if (request.path == "/healthz") {
    this->HandleHealth(*responder);
  } else {
    this->HandleWork(std::move(request), std::move(responder));
  }
}

void Target::HandleControl(const HttpServerRequest& request, HttpResponder& responder) {
  if (request.method == "POST") {
    Error error;
    const auto changed = this->mode.WithChanges(request.body.text(), error);
    if (!changed) {
      responder.Respond(400, {}, error.message + "\n");
      return;
    }
    this->mode = *changed;
  }
  responder.Respond(200, {{"Content-Type", "application/json"}},
                    SerializeJson(this->mode.ToJson()));
}

void Target::HandleHealth(HttpResponder& responder) {
  HttpHeaders headers = this->StateHeaders();
  headers.push_back({"Content-Type", "application/json"});
  responder.Respond(200, headers,
                    SerializeJson({{"name", this->settings.name},
                                   {"state", this->mode.drain ? "draining" : "serving"}}));
}

void Target::HandleLedger(HttpResponder& responder) {
  json runs = json::array();
  for (const LedgerEntry& entry : this->ledger) {
    runs.push_back(ToJson(entry));
  }
  responder.Respond(200, {{"Content-Type", "application/json"}}, SerializeJson(runs));
}

bool Target::IsUnreachableFrom(const HttpServerRequest& request) const {
  return Contains(this->mode.unreachable_from_domains,
                  FindHeader(request.headers, "Pimentopin-Host-Domain")) ||
         Contains(this->mode.unreachable_from_hosts,
                  FindHeader(request.headers, "Pimentopin-Host"));
}

void Target::HandleWork(HttpServerRequest request, std::shared_ptr<HttpResponder> responder) {
  const auto job = std::make_shared<Job>(this->context, std::move(request), std::move(responder));
  const std::string expected_instance = job->Header("X-Pimentopin-Expect-Instance");
  if (this->settings.uses_platform_headers && !expected_instance.empty() &&
      expected_instance != this->settings.name) {
    job->responder->Respond(421, {{"X-Pimentopin-Instance-Id", this->settings.name}}, "");
    return;
  }
  if (const auto budget = ParseNumber(job->Header(this->settings.uses_platform_headers
                                                      ? "X-Pimentopin-Deadline-Ms"
                                                      : "Pimentopin-Deadline-Ms"))) {
    job->deadline = SteadyNow() + std::chrono::milliseconds(*budget);
  }
  const bool must_wait = this->running >= this->settings.slots;
  if (this->mode.shed || (must_wait && this->queue.size() >= this->settings.queue_limit)) {
    this->Shed(*job, this->mode.shed ? "shedding" : "queue-full");
    return;
  }
  job->responder->OnCallerDisconnect([this, weak = std::weak_ptr(job)] {
    asio::post(this->context, [this, weak] {
      if (const auto cancelled_job = weak.lock()) {
        this->Cancel(cancelled_job);
      }
    });
  });
  this->queue.push_back(job);
  this->StartJobs();
}

void Target::Shed(Job& job, const std::string& reason) {
  job.ended = true;
  HttpHeaders headers = this->StateHeaders();
  headers.push_back({"Pimentopin-Attempt-Id", job.Header("Pimentopin-Attempt-Id")});
  headers.push_back({"Target-Outcome", "not-run"});
  if (this->settings.uses_platform_headers) {
    headers.push_back({"X-Pimentopin-Not-Executed", "1"});
  }
  job.responder->Respond(503, headers, SerializeJson({{"reason", reason}}));
}

void Target::StartJobs() {
  while (this->running < this->settings.slots && !this->queue.empty()) {
    const std::shared_ptr<Job> job = this->queue.front();
    this->queue.pop_front();
    if (job->deadline && SteadyNow() >= *job->deadline) {
      this->Shed(*job, "deadline");
    } else {
      this->Run(job);
    }
  }
}

Duration Target::ServiceTime(const Job& job) {
  const bool is_long = QueryValue(job.request.query, "long") == "1";
  const Duration base_time =
      is_long ? this->settings.long_service_time : this->settings.service_time;
  double factor = this->mode.slow_factor;
  factor *= 1.0 + this->settings.jitter * (2.0 * this->random.Unit() - 1.0);
  const Duration uptime = SteadyNow() - this->started_at;
  if (uptime < this->settings.cold_start_period) {
    const double cold_fraction =
        1.0 - static_cast<double>(uptime.count()) /
                  static_cast<double>(this->settings.cold_start_period.count());
    factor *= 1.0 + (kColdStartFactor - 1.0) * cold_fraction;
  }
  return Duration(static_cast<Duration::rep>(static_cast<double>(base_time.count()) * factor));
}

void Target::Run(const std::shared_ptr<Job>& job) {
  ++this->running;
  job->ledger_index = this->ledger.size();
  this->ledger.push_back({.attempt_id = job->Header("Pimentopin-Attempt-Id"),
                          .request_id = this->RequestId(*job),
                          .idempotency_key = job->Header("Idempotency-Key"),
                          .method = job->request.method,
                          .path = job->request.path,
                          .started_at_us = EpochMicroseconds()});
  if (this->settings.print_runs) {
    // Flushed, so that the output is complete if the process is killed.
    nlohmann::json run = ToJson(this->ledger.back());
    if (this->settings.uses_platform_headers) {
      run["tenant"] = job->Header("X-Pimentopin-Tenant");
      run["credential"] = job->Header("X-Pimentopin-Credential");
    }
    std::cout << "run " << SerializeJson(run) << std::flush;
  }
  Duration duration = this->ServiceTime(*job);
  const bool crashes = !this->mode.crash_path.empty() &&
                       job->request.path.find(this->mode.crash_path) != std::string::npos;
  bool in_time = true;
  if (crashes) {
    duration /= 2;
  } else if (job->deadline && SteadyNow() + duration > *job->deadline) {
    duration = *job->deadline - SteadyNow();
    in_time = false;
  }
  job->timer.expires_after(duration);
  job->timer.async_wait([this, job, crashes, in_time](const asio::error_code& error) {
    if (error || job->ended) {
      return;
    }
    if (crashes) {
      std::_Exit(kCrashExitCode);
    }
    this->EndRun(job, in_time);
  });
}

void Target::EndRun(const std::shared_ptr<Job>& job, bool completed) {
  LedgerEntry& entry = this->ledger[*job->ledger_index];
  entry.ended_at_us = EpochMicroseconds();
  entry.completed = completed;
  job->ended = true;
  --this->running;
  if (completed) {
    this->SendResponse(*job);
  } else {
    HttpHeaders headers = this->StateHeaders();
    headers.push_back({"Pimentopin-Attempt-Id", job->Header("Pimentopin-Attempt-Id")});
    job->responder->Respond(504, headers, SerializeJson({{"reason", "deadline"}}));
  }
  this->StartJobs();
}

void Target::SendResponse(Job& job) {
  const auto occurs = [this](double rate) { return this->random.Unit() < rate; };
  const std::size_t pattern_size = ParseNumber(QueryValue(job.request.query, "size")).value_or(0);
  std::string body = MakeResponseBody(this->settings.service, job.request.path,
                                      this->RequestId(job), pattern_size);
  const bool is_error = occurs(this->mode.error_rate);
  const bool is_wrong = occurs(this->mode.wrong_rate);
  const bool wrong_id = is_wrong && this->random.Below(2) == 0;
  HttpHeaders headers = this->StateHeaders();
  headers.push_back({"Content-Type", "application/octet-stream"});
  headers.push_back(
      {"Pimentopin-Attempt-Id", job.Header("Pimentopin-Attempt-Id") + (wrong_id ? "0" : "")});
  headers.push_back({"Content-Digest", ContentDigest(is_wrong && !wrong_id ? "other" : body)});
  if (this->settings.uses_platform_headers) {
    headers.push_back({"X-Pimentopin-Attempt-Id", this->RequestId(job) + (is_wrong ? "0" : "")});
    headers.push_back({"X-Pimentopin-Response-Seal", "seal." + this->RequestId(job)});
  }
  if (occurs(this->mode.truncate_rate)) {
    const std::shared_ptr<HttpResponder> responder = job.responder;
    responder->Start(200, headers);
    // Aborts after the first half has been written, so that the caller receives a truncated body.
    responder->Write(body.substr(0, body.size() / 2), [responder] { responder->Abort(); });
    return;
  }
  job.responder->Respond(is_error ? 500 : 200, headers, std::move(body));
}

void Target::Cancel(const std::shared_ptr<Job>& job) {
  if (std::exchange(job->ended, true)) {
    return;
  }
  if (!job->ledger_index) {
    std::erase(this->queue, job);
    return;
  }
  job->timer.cancel();
  this->ledger[*job->ledger_index].ended_at_us = EpochMicroseconds();
  --this->running;
  this->StartJobs();
}

std::string Target::RequestId(const Job& job) const {
  // With platform headers, the attempt id of the platform serves as request id.
  return job.Header(this->settings.uses_platform_headers ? "X-Pimentopin-Attempt-Id"
                                                         : "Pimentopin-Request-Id");
}

HttpHeaders Target::StateHeaders() const {
  return {
      {"Target-Load", std::to_string(this->running) + "/" + std::to_string(this->settings.slots)},
      {"Target-State", this->mode.drain ? "draining" : "serving"}};
}

}  // namespace pimentopin
