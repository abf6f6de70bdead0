#include "Tests/LibQuota/quota_fleet.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace pimentopin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDomains = 4;
constexpr Duration kMaxWait = milliseconds(200);
constexpr Duration kStoreTimeout = seconds(1);

std::string HostName(std::size_t host) {
  return "host-" + std::to_string(host);
}

}  // namespace

QuotaFleet::QuotaFleet(std::size_t count, std::uint64_t seed) : random(seed), hosts(count) {
  for (std::size_t host = 0; host < count; ++host) {
    this->host_by_id[IdFromName<HostId>(HostName(host))] = host;
    this->hosts[host].clock_offset = milliseconds(this->random.Below(100'000));
  }
  for (std::size_t host = 0; host < count; ++host) {
    this->Start(host);
  }
}

void QuotaFleet::At(Duration at, std::function<void()> task) {
  this->events.push({std::max(at, this->time), this->next_sequence++, std::move(task)});
}

void QuotaFleet::Run(Duration duration) {
  const Duration end = this->time + duration;
  while (!this->events.empty() && this->events.top().at <= end) {
    const Event event = this->events.top();
    this->events.pop();
    this->time = event.at;
    event.task();
  }
  this->time = end;
}

BootTimePoint QuotaFleet::HostTime(std::size_t host) const {
  return BootTimePoint(this->time + this->hosts[host].clock_offset);
}

StoreTimePoint QuotaFleet::StoreTime() const {
  return StoreTimePoint(this->time + seconds(5000));
}

Duration QuotaFleet::LinkDelay() {
  const std::uint64_t range = this->random.Unit() < this->faults.message_delay ? 400'000 : 1'500;
  return Duration(300 + static_cast<std::int64_t>(this->random.Below(range)));
}

void QuotaFleet::AtHost(std::size_t host, Duration at, Task task) {
  const std::uint64_t process = this->hosts[host].process;
  this->At(at,
           [this, host, process, task = std::move(task)] { this->RunAtHost(host, process, task); });
}

void QuotaFleet::RunAtHost(std::size_t index, std::uint64_t process, const Task& task) {
  Host& host = this->hosts[index];
  if (!host.quotas || host.process != process) {
    return;
  }
  if (this->time < host.paused_until || !host.delayed.empty()) {
    host.delayed.push_back(task);
    if (host.delayed.size() == 1) {
      this->Resume(index, process);
    }
    return;
  }
  this->RunNow(index, task);
}

void QuotaFleet::Resume(std::size_t index, std::uint64_t process) {
  this->At(this->hosts[index].paused_until, [this, index, process] {
    Host& host = this->hosts[index];
    if (!host.quotas || host.process != process) {
      return;
    }
    if (this->time < host.paused_until) {
      this->Resume(index, process);
      return;
    }
    const auto delayed = std::exchange(host.delayed, {});
    for (const Task& task : delayed) {
      this->RunNow(index, task);
    }
  });
}

void QuotaFleet::RunNow(std::size_t index, const Task& task) {
  Host& host = this->hosts[index];
  this->Execute(index, task(*host.quotas));
  const BootTimePoint deadline = host.quotas->NextDeadline(this->HostTime(index));
  if (deadline == BootTimePoint::max()) {
    return;
  }
  const Duration wake_at =
      std::max(deadline.time_since_epoch() - host.clock_offset, this->time + milliseconds(1));
  if (wake_at < host.wake_at) {
    host.wake_at = wake_at;
    this->AtHost(index, wake_at, [this, index](HostQuotas& quotas) {
      this->hosts[index].wake_at = Duration::max();
      return quotas.Tick(this->HostTime(index));
    });
  }
}

void QuotaFleet::Execute(std::size_t index, const HostQuotaActions& actions) {
  Host& host = this->hosts[index];
  for (const HostQuotaAction& action : actions) {
    if (const auto* message = std::get_if<SendToHost>(&action)) {
      this->Deliver(index, *message);
    } else if (const auto* verdict = std::get_if<QuotaVerdict>(&action)) {
      auto waiting = host.waiting.extract(verdict->request);
      Result result = waiting.mapped();
      result.waited = this->time - result.at;
      result.at = this->time;
      result.decision = verdict->decision;
      result.retry_after = verdict->retry_after;
      this->all_results.push_back(result);
    } else if (std::holds_alternative<ReadQuotaParts>(action)) {
      struct Response {
        HostQuotas::Rows rows;
        StoreTimePoint store_time;
      };
      const auto response = std::make_shared<Response>();
      const BootTimePoint sent_at = this->HostTime(index);
      this->CallStore(
          index,
          [this, response] {
            *response = {this->rows, this->StoreTime()};
          },
          [this, index, response, sent_at](HostQuotas& quotas, bool arrived) {
            return quotas.OnRows(this->HostTime(index), sent_at,
                                 arrived ? std::optional(response->rows) : std::nullopt,
                                 response->store_time);
          });
    } else if (const auto* row = std::get_if<WriteQuotaPartRow>(&action)) {
      const auto result = std::make_shared<WriteResult>();
      this->CallStore(
          index,
          [this, result, row = *row] {
            TableRow& stored = this->rows.at(row.part);
            result->applied = stored.version == row.write.expected_version;
            if (result->applied) {
              stored = {{this->next_sequence++ + 1, this->era}, row.write.value};
            }
            result->version = stored.version;
          },
          [this, index, result, part = row->part](HostQuotas& quotas, bool arrived) {
            return quotas.OnWritten(this->HostTime(index), part,
                                    arrived ? std::optional(*result) : std::nullopt);
          });
    }
  }
}

void QuotaFleet::Deliver(std::size_t from, const SendToHost& action) {
  const std::size_t to = this->host_by_id.at(action.host);
  if (to != from) {
    ++this->message_count;
    if (this->hosts[from].cut_from_hosts || this->hosts[to].cut_from_hosts ||
        this->random.Unit() < this->faults.message_loss) {
      return;
    }
  }
  const HostId sender = IdFromName<HostId>(HostName(from));
  const Duration delay = to == from ? Duration::zero() : this->LinkDelay();
  this->AtHost(
      to, this->time + delay, [this, to, sender, message = action.message](HostQuotas& quotas) {
        const BootTimePoint now = this->HostTime(to);
        const auto* request = std::get_if<QuotaRequest>(&message);
        return request != nullptr ? quotas.OnRequest(now, sender, *request)
                                  : quotas.OnReply(now, sender, std::get<QuotaReply>(message));
      });
}

void QuotaFleet::CallStore(std::size_t host,
                           std::function<void()> operation,
                           std::function<HostQuotaActions(HostQuotas&, bool)> done) {
  ++this->store_call_count;
  const auto fail = [done](HostQuotas& quotas) { return done(quotas, false); };
  if (this->hosts[host].cut_from_store || this->faults.store_down) {
    this->AtHost(host, this->time + kStoreTimeout, fail);
    return;
  }
  const bool late = this->random.Unit() < this->faults.late_calls;
  const bool lost = this->random.Unit() < this->faults.response_loss;
  const Duration arrival = this->time + milliseconds(1 + this->random.Below(late ? 3000 : 10));
  // The store states its era in the response.
  const auto stated = std::make_shared<StoreEra>();
  this->At(arrival, [this, operation, stated] {
    operation();
    *stated = this->era;
  });
  if (late || lost) {
    this->AtHost(host, this->time + kStoreTimeout, fail);
  } else {
    this->AtHost(host, arrival + milliseconds(1 + this->random.Below(10)),
                 [this, host, stated, done](HostQuotas& quotas) {
                   StoreEra& known = this->hosts[host].known_era;
                   const bool is_current = *stated >= known;
                   known = std::max(known, *stated);
                   HostQuotaActions actions = quotas.OnStoreEra(this->HostTime(host), known);
                   const HostQuotaActions more = done(quotas, is_current);
                   actions.insert(actions.end(), more.begin(), more.end());
                   return actions;
                 });
  }
}

void QuotaFleet::ReturnFromStoreCopy() {
  ++this->era;
  this->rows = this->copy;
  for (TableRow& row : this->rows) {
    if (!row.version.is_zero()) {
      row.version.era = this->era;
    }
  }
}

void QuotaFleet::Start(std::size_t index) {
  Host& host = this->hosts[index];
  host.known_era = 0;
  ++host.process;
  host.leaving = false;
  host.paused_until = this->time;
  host.delayed.clear();
  host.wake_at = Duration::max();
  host.waiting.clear();
  host.quotas = std::make_unique<HostQuotas>(
      HostQuotas::Settings{.self = IdFromName<HostId>(HostName(index)),
                           .host_name = HostName(index),
                           .domain = DomainId{index % kDomains},
                           .incarnation = host.process,
                           .starts_fleet = this->time == Duration::zero()});
  this->RunAtHost(index, host.process, [this, index](HostQuotas& quotas) {
    return quotas.Configure(this->HostTime(index), this->limits);
  });
  this->UpdateCandidates(index);
}

void QuotaFleet::UpdateCandidates(std::size_t index) {
  this->AtHost(index, this->time, [this, index](HostQuotas& quotas) {
    std::vector<QuotaCandidate> candidates;
    for (std::size_t other = 0; other < this->hosts.size(); ++other) {
      const bool usable = this->IsUp(other) && !this->hosts[other].leaving;
      const bool reachable =
          !this->hosts[index].cut_from_hosts && !this->hosts[other].cut_from_hosts;
      const bool seen = reachable && this->random.Unit() >= this->faults.unseen_candidate;
      if (usable && (other == index || seen)) {
        candidates.push_back({IdFromName<HostId>(HostName(other)), DomainId{other % kDomains}});
      }
    }
    return quotas.SetCandidates(this->HostTime(index), candidates);
  });
  const std::uint64_t process = this->hosts[index].process;
  this->At(this->time + milliseconds(300 + this->random.Below(1000)), [this, index, process] {
    if (this->IsUp(index) && this->hosts[index].process == process) {
      this->UpdateCandidates(index);
    }
  });
}

void QuotaFleet::Kill(std::size_t host) {
  this->hosts[host].quotas.reset();
}

void QuotaFleet::Stop(std::size_t index) {
  this->hosts[index].leaving = true;
  this->AtHost(index, this->time, [this, index](HostQuotas& quotas) {
    return quotas.SetLeaving(this->HostTime(index));
  });
  const std::uint64_t process = this->hosts[index].process;
  this->At(this->time + seconds(1), [this, index, process] {
    if (this->hosts[index].process == process) {
      this->Kill(index);
    }
  });
}

void QuotaFleet::Pause(std::size_t host, Duration duration) {
  Duration& paused_until = this->hosts[host].paused_until;
  paused_until = std::max(paused_until, this->time + duration);
}

void QuotaFleet::SetCutFromStore(std::size_t host, bool cut) {
  this->hosts[host].cut_from_store = cut;
}

void QuotaFleet::SetCutFromHosts(std::size_t host, bool cut) {
  this->hosts[host].cut_from_hosts = cut;
}

std::size_t QuotaFleet::PartsHeld(std::size_t host) const {
  return this->IsUp(host) ? this->hosts[host].quotas->parts_held(this->HostTime(host)) : 0;
}

void QuotaFleet::Configure(const QuotaLimits& next, Duration spread) {
  this->limits = next;
  for (std::size_t host = 0; host < this->hosts.size(); ++host) {
    const auto delay = Duration(this->random.Below(static_cast<std::uint64_t>(spread.count()) + 1));
    this->AtHost(host, this->time + delay, [this, host, next](HostQuotas& quotas) {
      return quotas.Configure(this->HostTime(host), next);
    });
  }
}

void QuotaFleet::Send(OrganisationId organisation) {
  std::vector<std::size_t> running;
  for (std::size_t host = 0; host < this->hosts.size(); ++host) {
    if (this->IsUp(host)) {
      running.push_back(host);
    }
  }
  if (running.empty()) {
    return;
  }
  const std::size_t index = running[this->random.Below(running.size())];
  this->AtHost(index, this->time, [this, index, organisation](HostQuotas& quotas) {
    const RequestId request{this->next_request++};
    this->hosts[index].waiting[request] = {.at = this->time, .organisation = organisation};
    return quotas.Admit(this->HostTime(index), request, organisation, kMaxWait);
  });
}

void QuotaFleet::SetDemand(OrganisationId organisation,
                           double per_second,
                           std::optional<QuotaLimit> within) {
  Demand& demand = this->demands[organisation];
  demand = {.per_second = per_second,
            .within = within,
            .level = within ? within->burst : 0,
            .level_at = this->time,
            .generation = demand.generation + 1};
  this->NextDemand(organisation, demand.generation);
}

bool QuotaFleet::IsWithin(Demand& demand, Duration now) {
  if (!demand.within) {
    return true;
  }
  const double elapsed = std::chrono::duration<double>(now - demand.level_at).count();
  demand.level =
      std::min(demand.within->burst, demand.level + demand.within->requests_per_second * elapsed);
  demand.level_at = now;
  const bool is_within = demand.level >= 1;
  demand.level -= is_within ? 1 : 0;
  return is_within;
}

void QuotaFleet::NextDemand(OrganisationId organisation, std::uint64_t generation) {
  const double rate = this->demands.at(organisation).per_second;
  if (rate <= 0) {
    return;
  }
  const double wait = -std::log(1 - this->random.Unit()) / rate;
  const auto delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
  this->At(this->time + delay, [this, organisation, generation] {
    Demand& demand = this->demands.at(organisation);
    if (demand.generation == generation) {
      if (IsWithin(demand, this->time)) {
        this->Send(organisation);
      }
      this->NextDemand(organisation, generation);
    }
  });
}

std::size_t QuotaFleet::Count(QuotaDecision decision,
                              OrganisationId organisation,
                              Duration since) const {
  return static_cast<std::size_t>(
      std::count_if(this->all_results.begin(), this->all_results.end(), [&](const Result& result) {
        return result.decision == decision && result.organisation == organisation &&
               result.at >= since;
      }));
}

double LargestExcess(const QuotaFleet& fleet,
                     OrganisationId organisation,
                     const QuotaLimit& limit,
                     Duration since) {
  const double bound = (limit.requests_per_second * 5 + limit.burst) * 1.1 + 20;
  std::queue<Duration> window;
  double largest = -bound;
  for (const QuotaFleet::Result& result : fleet.results()) {
    if (result.organisation != organisation || result.decision != QuotaDecision::kAdmitted ||
        result.at < since) {
      continue;
    }
    window.push(result.at);
    while (window.front() < result.at - seconds(5)) {
      window.pop();
    }
    largest = std::max(largest, static_cast<double>(window.size()) - bound);
  }
  return largest;
}

}  // namespace pimentopin
