#include "Libraries/LibQuota/quota_client.h"

#include <algorithm>
#include <utility>

namespace pimentopin {
namespace {

constexpr std::uint32_t kMaxWanted = 256;
constexpr std::uint32_t kMaxPrefetch = 8;
// Tokens for the first half of such an interval are prefetched.
constexpr Duration kDemandInterval = std::chrono::milliseconds(200);
// Sooner, a caller would find the same state.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);

}  // namespace

std::vector<QuotaAction> QuotaClient::Configure(BootTimePoint now, QuotaLimits next) {
  std::vector<QuotaAction> actions;
  this->limits = std::move(next);
  for (auto entry = this->organisations.begin(); entry != this->organisations.end();) {
    if (this->limits.contains(entry->first)) {
      ++entry;
      continue;
    }
    for (const WaitingRequest& waiting : entry->second.waiting) {
      actions.emplace_back(QuotaVerdict{waiting.request, QuotaDecision::kAdmitted, {}});
    }
    entry = this->organisations.erase(entry);
  }
  // Parts that were empty may have more tokens under a new limit.
  for (auto& [organisation, state] : this->organisations) {
    state.empty_until = {};
    this->Advance(now, organisation, state, actions);
  }
  return actions;
}

void QuotaClient::SetHolders(std::vector<HostId> hosts, std::vector<std::size_t> next_order) {
  this->holders.resize(hosts.size());
  for (std::size_t part = 0; part < hosts.size(); ++part) {
    Holder& holder = this->holders[part];
    if (holder.expected == hosts[part]) {
      continue;
    }
    // The earlier holder is asked as long as it answers that it holds the part.
    const bool earlier_is_known = holder.expected != HostId{};
    holder.expected = hosts[part];
    if (!earlier_is_known) {
      holder.host = hosts[part];
    }
  }
  this->order = std::move(next_order);
}

std::vector<QuotaAction> QuotaClient::Admit(BootTimePoint now,
                                            RequestId request,
                                            OrganisationId organisation,
                                            Duration max_wait) {
  std::vector<QuotaAction> actions;
  if (!this->IsLimited(organisation)) {
    actions.emplace_back(QuotaVerdict{request, QuotaDecision::kAdmitted, {}});
    return actions;
  }
  OrganisationState& state = this->organisations[organisation];
  state.waiting.push_back({request, now + max_wait});
  this->Advance(now, organisation, state, actions);
  return actions;
}

std::vector<QuotaAction> QuotaClient::OnReply(BootTimePoint now,
                                              HostId sender,
                                              const QuotaReply& reply) {
  std::vector<QuotaAction> actions;
  const auto found = this->organisations.find(reply.organisation);
  if (found == this->organisations.end()) {
    return actions;
  }
  OrganisationState& state = found->second;
  const auto ask = std::find_if(state.asks.begin(), state.asks.end(), [&](const Ask& entry) {
    return entry.id == reply.request && entry.part == reply.part && entry.host == sender;
  });
  if (ask == state.asks.end()) {
    return actions;
  }
  const Ask answered = *ask;
  state.asks.erase(ask);
  if (reply.holds) {
    if (answered.part < this->holders.size()) {
      this->holders[answered.part].host = sender;
      this->holders[answered.part].paused_until = {};
    }
    const std::uint16_t granted = std::min(reply.granted, answered.wanted);
    if (granted > 0) {
      state.tokens.push_back({granted, answered.sent_at + kTokenLifetime});
    }
    if (granted < answered.wanted) {
      state.empty_until[answered.part] =
          now + std::clamp(reply.retry_after, kMinEmptyPause, kMaxEmptyPause);
      state.token_at[answered.part] = now + reply.retry_after;
    }
  } else {
    this->OnNotHeld(now, sender, reply);
  }
  this->Advance(now, found->first, state, actions);
  return actions;
}

void QuotaClient::OnNotHeld(BootTimePoint now, HostId sender, const QuotaReply& reply) {
  if (reply.part >= this->holders.size() || this->holders[reply.part].host != sender) {
    return;
  }
  Holder& holder = this->holders[reply.part];
  // Only the expected host is believed, so that two hosts can't name each other in turn.
  if (sender == holder.expected && reply.holder != HostId{} && reply.holder != sender) {
    holder.host = reply.holder;
    return;
  }
  if (sender != holder.expected) {
    holder.host = holder.expected;
  }
  holder.paused_until = now + kNotHeldPause;
}

std::vector<QuotaAction> QuotaClient::Tick(BootTimePoint now) {
  std::vector<QuotaAction> actions;
  for (auto& [organisation, state] : this->organisations) {
    if (!state.waiting.empty()) {
      this->Advance(now, organisation, state, actions);
    }
  }
  return actions;
}

BootTimePoint QuotaClient::NextDeadline() const {
  BootTimePoint next = BootTimePoint::max();
  for (const auto& [organisation, state] : this->organisations) {
    // Without a waiting request, nothing follows from an answer that does not come.
    if (state.waiting.empty()) {
      continue;
    }
    for (const WaitingRequest& waiting : state.waiting) {
      next = std::min(next, waiting.give_up_at);
    }
    for (const Ask& ask : state.asks) {
      next = std::min(next, ask.sent_at + (ask.overdue ? kTokenLifetime : kReplyTimeout));
    }
  }
  return next;
}

void QuotaClient::Advance(BootTimePoint now,
                          OrganisationId organisation,
                          OrganisationState& state,
                          std::vector<QuotaAction>& actions) {
  this->Expire(now, state);
  this->UseTokens(now, state, actions);
  const bool waits_for_reply = std::any_of(state.asks.begin(), state.asks.end(),
                                           [](const Ask& ask) { return !ask.overdue; });
  if (!state.waiting.empty() && !waits_for_reply) {
    if (const auto part = this->NextPart(now, state)) {
      this->Send(now, organisation, state, *part, actions);
    } else if (state.asks.empty() || AnyEmpty(now, state)) {
      // A holder that is silent may still answer, but those that did answer decide.
      for (const WaitingRequest& waiting : state.waiting) {
        actions.emplace_back(Refusal(now, state, waiting.request));
      }
      state.waiting.clear();
    }
  }
  std::erase_if(state.waiting, [&](const WaitingRequest& waiting) {
    const bool gives_up = waiting.give_up_at <= now;
    if (gives_up) {
      actions.emplace_back(Refusal(now, state, waiting.request));
    }
    return gives_up;
  });
}

void QuotaClient::Expire(BootTimePoint now, OrganisationState& state) {
  std::erase_if(state.tokens, [now](const Tokens& tokens) { return tokens.valid_until <= now; });
  std::erase_if(state.asks, [now](const Ask& ask) { return ask.sent_at + kTokenLifetime <= now; });
  for (Ask& ask : state.asks) {
    if (ask.overdue || now < ask.sent_at + kReplyTimeout) {
      continue;
    }
    ask.overdue = true;
    if (ask.part < this->holders.size() && this->holders[ask.part].host == ask.host) {
      this->holders[ask.part].host = this->holders[ask.part].expected;
      this->holders[ask.part].paused_until = now + kSilencePause;
    }
  }
}

void QuotaClient::UseTokens(BootTimePoint now,
                            OrganisationState& state,
                            std::vector<QuotaAction>& actions) {
  while (!state.waiting.empty() && !state.tokens.empty()) {
    actions.emplace_back(QuotaVerdict{state.waiting.front().request, QuotaDecision::kAdmitted, {}});
    state.waiting.pop_front();
    if (--state.tokens.front().count == 0) {
      state.tokens.pop_front();
    }
    if (now - state.interval_start >= kDemandInterval) {
      const bool follows = now - state.interval_start < 2 * kDemandInterval;
      state.admitted_before = follows ? state.admitted : 0;
      state.admitted = 0;
      state.interval_start = now;
    }
    ++state.admitted;
  }
}

std::optional<std::size_t> QuotaClient::NextPart(BootTimePoint now,
                                                 OrganisationState& state) const {
  std::optional<std::size_t> paused;
  for (const std::size_t part : this->order) {
    if (part >= this->holders.size()) {
      continue;
    }
    const bool asked = std::any_of(state.asks.begin(), state.asks.end(),
                                   [part](const Ask& ask) { return ask.part == part; });
    if (asked || state.empty_until[part] > now) {
      continue;
    }
    const Holder& holder = this->holders[part];
    if (holder.paused_until <= now) {
      return part;
    }
    if (!paused || holder.paused_until < this->holders[*paused].paused_until) {
      paused = part;
    }
  }
  // A request is not refused for want of an answer before anybody was asked for one.
  if (paused && !AnyEmpty(now, state) && state.asks.empty() &&
      now - state.paused_asked_at >= kReplyTimeout) {
    state.paused_asked_at = now;
    return paused;
  }
  return std::nullopt;
}

void QuotaClient::Send(BootTimePoint now,
                       OrganisationId organisation,
                       OrganisationState& state,
                       std::size_t part,
                       std::vector<QuotaAction>& actions) {
  const auto wanted = static_cast<std::uint16_t>(
      std::min<std::size_t>(state.waiting.size() + Prefetch(now, state), kMaxWanted));
  const QuotaRequestId id{this->next_request++};
  const HostId host = this->holders[part].host;
  state.asks.push_back({id, part, host, wanted, now});
  actions.emplace_back(
      SendToHost{host, QuotaRequest{id, organisation, static_cast<std::uint8_t>(part), wanted}});
}

std::uint32_t QuotaClient::Prefetch(BootTimePoint now, OrganisationState& state) {
  const bool recent = now - state.interval_start < 2 * kDemandInterval;
  return recent ? std::min(state.admitted_before / 2, kMaxPrefetch) : 0;
}

bool QuotaClient::AnyEmpty(BootTimePoint now, const OrganisationState& state) {
  return std::any_of(state.empty_until.begin(), state.empty_until.end(),
                     [now](BootTimePoint until) { return until > now; });
}

QuotaVerdict QuotaClient::Refusal(BootTimePoint now,
                                  const OrganisationState& state,
                                  RequestId request) {
  std::optional<Duration> shortest;
  for (std::size_t part = 0; part < kQuotaParts; ++part) {
    if (std::max(state.empty_until[part], state.token_at[part]) > now) {
      const Duration retry_after = std::max(state.token_at[part] - now, kMinRetryAfter);
      shortest = std::min(shortest.value_or(retry_after), retry_after);
    }
  }
  return shortest ? QuotaVerdict{request, QuotaDecision::kOverQuota, *shortest}
                  : QuotaVerdict{request, QuotaDecision::kUnknown, kUnknownRetryAfter};
}

}  // namespace pimentopin
