#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "Libraries/LibCore/store_clock.h"
#include "Libraries/LibProtocol/envelope.h"
#include "Libraries/LibQuota/quota_limit.h"

namespace pimentopin {

enum class QuotaDecision : std::uint8_t {
  kAdmitted,
  // The holders that answered had no token.
  kOverQuota,
  // No holder of a part could be reached.
  kUnknown,
};

// Action: start or refuse the request.
struct QuotaVerdict {
  RequestId request{};
  QuotaDecision decision = QuotaDecision::kAdmitted;
  // When a refused request may be sent again.
  Duration retry_after{};

  friend bool operator==(const QuotaVerdict&, const QuotaVerdict&) = default;
};

using QuotaAction = std::variant<SendToHost, QuotaVerdict>;

// Gets tokens for the requests of this host from the holders of the quota parts.
class QuotaClient {
 public:
  // Tokens are used within this time from when the request for them was sent, so that the fleet
  // admits hardly more in any span of time than the holders grant.
  static constexpr Duration kTokenLifetime = std::chrono::milliseconds(300);
  // A holder that takes longer is passed over for kSilencePause.
  static constexpr Duration kReplyTimeout = std::chrono::milliseconds(50);
  static constexpr Duration kSilencePause = std::chrono::milliseconds(200);
  // A host that doesn't hold its part is not asked again for so long.
  static constexpr Duration kNotHeldPause = std::chrono::milliseconds(100);
  // Limits of the time for which a holder without tokens is not asked again. The upper one is for
  // demand that ends sooner than the holder could know.
  static constexpr Duration kMinEmptyPause = std::chrono::milliseconds(50);
  static constexpr Duration kMaxEmptyPause = std::chrono::milliseconds(250);
  static constexpr Duration kUnknownRetryAfter = std::chrono::milliseconds(250);

  std::vector<QuotaAction> Configure(BootTimePoint now, QuotaLimits limits);
  // The host that should hold each part, and the order in which to ask them.
  void SetHolders(std::vector<HostId> holders, std::vector<std::size_t> order);

  bool IsLimited(OrganisationId organisation) const { return this->limits.contains(organisation); }
  // The verdict follows at once or in a later call, after `max_wait` at most.
  std::vector<QuotaAction> Admit(BootTimePoint now,
                                 RequestId request,
                                 OrganisationId organisation,
                                 Duration max_wait);
  std::vector<QuotaAction> OnReply(BootTimePoint now, HostId sender, const QuotaReply& reply);
  std::vector<QuotaAction> Tick(BootTimePoint now);
  // When Tick() is due.
  BootTimePoint NextDeadline() const;

 private:
  struct Holder {
    HostId expected{};
    // Whom to ask: the expected host or the one that it named.
    HostId host{};
    BootTimePoint paused_until;
  };
  struct Tokens {
    std::uint16_t count = 0;
    BootTimePoint valid_until;
  };
  struct WaitingRequest {
    RequestId request{};
    BootTimePoint give_up_at;
  };
  struct Ask {
    QuotaRequestId id{};
    std::size_t part = 0;
    HostId host{};
    std::uint16_t wanted = 0;
    BootTimePoint sent_at;
    bool overdue = false;
  };
  struct OrganisationState {
    std::deque<Tokens> tokens;
    std::deque<WaitingRequest> waiting;
    std::vector<Ask> asks;
    // Parts without tokens, until when they are not asked and when they expect to have one.
    std::array<BootTimePoint, kQuotaParts> empty_until{};
    std::array<BootTimePoint, kQuotaParts> token_at{};
    // When a paused holder was asked for want of another.
    BootTimePoint paused_asked_at;
    // Requests admitted in this and in the previous interval, for prefetching.
    std::uint32_t admitted = 0;
    std::uint32_t admitted_before = 0;
    BootTimePoint interval_start;
  };

  void Advance(BootTimePoint now,
               OrganisationId organisation,
               OrganisationState& state,
               std::vector<QuotaAction>& actions);
  // Drops what has expired and notes holders that are silent.
  void Expire(BootTimePoint now, OrganisationState& state);
  void UseTokens(BootTimePoint now, OrganisationState& state, std::vector<QuotaAction>& actions);
  std::optional<std::size_t> NextPart(BootTimePoint now, OrganisationState& state) const;
  void Send(BootTimePoint now,
            OrganisationId organisation,
            OrganisationState& state,
            std::size_t part,
            std::vector<QuotaAction>& actions);
  // Tokens to get beyond those of waiting requests.
  static std::uint32_t Prefetch(BootTimePoint now, OrganisationState& state);
  // Whether a holder that answered has no token.
  static bool AnyEmpty(BootTimePoint now, const OrganisationState& state);
  static QuotaVerdict Refusal(BootTimePoint now, const OrganisationState& state, RequestId request);
  void OnNotHeld(BootTimePoint now, HostId sender, const QuotaReply& reply);

  QuotaLimits limits;
  std::vector<Holder> holders;
  std::vector<std::size_t> order;
  std::map<OrganisationId, OrganisationState> organisations;
  std::uint64_t next_request = 1;
};

}  // namespace pimentopin
