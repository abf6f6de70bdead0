#include "Libraries/LibQuota/host_quotas.h"

#include <algorithm>
#include <utility>

namespace pimentopin {

HostQuotas::HostQuotas(Settings quota_settings) : settings(std::move(quota_settings)) {
  for (std::size_t part = 0; part < kQuotaParts; ++part) {
    this->parts.push_back({QuotaPartLease(
                               this->settings.host_name, this->settings.incarnation,
                               [this](const std::string& host) {
                                 return this->IsCandidate(IdFromName<HostId>(host));
                               },
                               this->settings.starts_fleet),
                           std::nullopt});
  }
}

HostQuotaActions HostQuotas::Configure(BootTimePoint now, const QuotaLimits& next) {
  HostQuotaActions actions;
  if (this->limits == next) {
    return actions;
  }
  this->limits = next;
  for (Part& part : this->parts) {
    if (part.tokens) {
      part.tokens->Configure(now, next);
    }
  }
  Append(this->client.Configure(now, next), actions);
  this->UpdateLeases(now, actions);
  return actions;
}

HostQuotaActions HostQuotas::SetCandidates(BootTimePoint now,
                                           const std::vector<QuotaCandidate>& next) {
  HostQuotaActions actions;
  if (this->candidates == next) {
    return actions;
  }
  this->candidates = next;
  this->holders = AssignQuotaParts(next);
  std::vector<HostId> hosts;
  for (const QuotaCandidate& holder : this->holders) {
    hosts.push_back(holder.host);
  }
  this->client.SetHolders(
      std::move(hosts), QuotaPartOrder(this->holders, this->settings.self, this->settings.domain));
  this->UpdateLeases(now, actions);
  for (std::size_t part = 0; part < this->parts.size(); ++part) {
    this->Take(now, part, this->parts[part].lease.OnHostsChanged(now, this->clock), actions);
  }
  return actions;
}

HostQuotaActions HostQuotas::OnStoreEra(BootTimePoint now, StoreEra era) {
  HostQuotaActions actions;
  for (std::size_t part = 0; part < this->parts.size(); ++part) {
    this->Take(now, part, this->parts[part].lease.OnEra(now, this->clock, era), actions);
  }
  return actions;
}

HostQuotaActions HostQuotas::SetLeaving(BootTimePoint now) {
  HostQuotaActions actions;
  this->leaving = true;
  this->UpdateLeases(now, actions);
  return actions;
}

HostQuotaActions HostQuotas::Admit(BootTimePoint now,
                                   RequestId request,
                                   OrganisationId organisation,
                                   Duration max_wait) {
  HostQuotaActions actions;
  Append(this->client.Admit(now, request, organisation, max_wait), actions);
  return actions;
}

HostQuotaActions HostQuotas::OnRequest(BootTimePoint now,
                                       HostId sender,
                                       const QuotaRequest& request) {
  QuotaReply reply{
      .request = request.request, .organisation = request.organisation, .part = request.part};
  if (request.part < this->parts.size()) {
    Part& part = this->parts[request.part];
    const std::string& known_holder = part.lease.known_holder();
    if (part.tokens && part.lease.HoldsAt(now, this->clock)) {
      reply = part.tokens->OnRequest(now, request);
    } else if (!known_holder.empty() && known_holder != this->settings.host_name) {
      reply.holder = IdFromName<HostId>(known_holder);
    }
  }
  return {SendToHost{sender, reply}};
}

HostQuotaActions HostQuotas::OnReply(BootTimePoint now, HostId sender, const QuotaReply& reply) {
  HostQuotaActions actions;
  Append(this->client.OnReply(now, sender, reply), actions);
  return actions;
}

HostQuotaActions HostQuotas::OnRows(BootTimePoint now,
                                    BootTimePoint sent_at,
                                    const std::optional<Rows>& rows,
                                    std::optional<StoreTimePoint> store_time) {
  HostQuotaActions actions;
  this->reading = false;
  this->clock_observed_at = now;
  if (rows && store_time && !this->clock.Observe(sent_at, now, *store_time)) {
    for (std::size_t part = 0; part < this->parts.size(); ++part) {
      this->Take(now, part, this->parts[part].lease.OnStoreClockJumped(now), actions);
    }
  }
  for (std::size_t index = 0; index < this->parts.size(); ++index) {
    Part& part = this->parts[index];
    if (std::exchange(part.waits_for_read, false)) {
      this->Take(
          now, index,
          part.lease.OnRead(now, this->clock, rows ? std::optional((*rows)[index]) : std::nullopt),
          actions);
    }
  }
  return actions;
}

HostQuotaActions HostQuotas::OnWritten(BootTimePoint now,
                                       std::size_t part,
                                       const std::optional<WriteResult>& result) {
  HostQuotaActions actions;
  this->Take(now, part, this->parts[part].lease.OnWritten(now, this->clock, result), actions);
  return actions;
}

HostQuotaActions HostQuotas::Tick(BootTimePoint now) {
  HostQuotaActions actions;
  for (std::size_t part = 0; part < this->parts.size(); ++part) {
    this->Take(now, part, this->parts[part].lease.Tick(now, this->clock), actions);
  }
  if (now >= this->ClockRefreshDue()) {
    this->Read(actions);
  }
  Append(this->client.Tick(now), actions);
  return actions;
}

BootTimePoint HostQuotas::NextDeadline(BootTimePoint now) const {
  BootTimePoint next = std::min(this->client.NextDeadline(), this->ClockRefreshDue());
  for (const Part& part : this->parts) {
    next = std::min(next, part.lease.NextDeadline(now, this->clock));
  }
  return next;
}

BootTimePoint HostQuotas::ClockRefreshDue() const {
  const bool holds_any = std::any_of(this->parts.begin(), this->parts.end(),
                                     [](const Part& part) { return part.tokens.has_value(); });
  return holds_any && !this->reading ? this->clock_observed_at + kClockRefreshInterval
                                     : BootTimePoint::max();
}

std::size_t HostQuotas::parts_held(BootTimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      this->parts.begin(), this->parts.end(),
      [&](const Part& part) { return part.tokens && part.lease.HoldsAt(now, this->clock); }));
}

bool HostQuotas::IsCandidate(HostId host) const {
  return std::any_of(this->candidates.begin(), this->candidates.end(),
                     [host](const QuotaCandidate& candidate) { return candidate.host == host; });
}

void HostQuotas::UpdateLeases(BootTimePoint now, HostQuotaActions& actions) {
  const bool takes_part =
      !this->limits.empty() && !this->leaving && this->IsCandidate(this->settings.self);
  const auto is_assigned = [&](std::size_t part) {
    return part < this->holders.size() && this->holders[part].host == this->settings.self;
  };
  bool keeps_other = true;
  for (std::size_t part = 0; part < this->parts.size(); ++part) {
    keeps_other = keeps_other && !(is_assigned(part) && this->parts[part].tokens);
  }
  for (std::size_t part = 0; part < this->parts.size(); ++part) {
    // A host that holds one part keeps it, although the loss of another host may assign it to a
    // third one; otherwise that loss would interrupt several parts.
    bool wanted = takes_part && is_assigned(part);
    if (takes_part && !wanted && this->parts[part].tokens) {
      wanted = std::exchange(keeps_other, false);
    }
    this->Take(now, part, this->parts[part].lease.SetWanted(now, this->clock, wanted), actions);
  }
  // Only candidates hold parts, so that only those can have held one before.
  if (takes_part && !std::exchange(this->released_former, true)) {
    for (std::size_t part = 0; part < this->parts.size(); ++part) {
      this->Take(now, part, this->parts[part].lease.ReleaseFormer(now, this->clock), actions);
    }
  }
}

void HostQuotas::Take(BootTimePoint now,
                      std::size_t part,
                      const std::vector<LeaseAction>& lease_actions,
                      HostQuotaActions& actions) {
  for (const LeaseAction& action : lease_actions) {
    if (const auto* write = std::get_if<WriteQuotaPart>(&action)) {
      actions.emplace_back(WriteQuotaPartRow{part, *write});
    } else if (const auto* event = std::get_if<QuotaPartEvent>(&action)) {
      if (*event == QuotaPartEvent::kAcquired) {
        this->parts[part].tokens.emplace(now, this->limits);
      } else if (*event == QuotaPartEvent::kLost || *event == QuotaPartEvent::kReleased) {
        this->parts[part].tokens.reset();
      }
      actions.emplace_back(QuotaPartChange{part, *event});
    } else {
      this->parts[part].waits_for_read = true;
      this->Read(actions);
    }
  }
}

void HostQuotas::Read(HostQuotaActions& actions) {
  if (!std::exchange(this->reading, true)) {
    actions.emplace_back(ReadQuotaParts{});
  }
}

void HostQuotas::Append(std::vector<QuotaAction> from, HostQuotaActions& actions) {
  for (QuotaAction& action : from) {
    std::visit([&actions](auto& concrete) { actions.emplace_back(std::move(concrete)); }, action);
  }
}

}  // namespace pimentopin
