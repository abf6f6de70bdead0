#pragma once

#include <variant>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibProtocol/membership_messages.h"
#include "Libraries/LibProtocol/quota_messages.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin {

using Message = std::variant<SlotRequest,
                             SlotCancel,
                             SlotGrant,
                             SlotRefusal,
                             SlotClaim,
                             SlotRelease,
                             HostReport,
                             ServiceView,
                             Notices,
                             StoreDigest,
                             RowRelay,
                             RowRelayRequest,
                             ConfigurationOffer,
                             ConfigurationRequest,
                             ConfigurationDocument,
                             ProbeReport,
                             CompressedConfigurationDocument,
                             RetryUsage,
                             QuotaRequest,
                             QuotaReply>;

// A message with its sender's host and failure domain.
struct Envelope {
  HostId sender{};
  DomainId sender_domain{};
  Message message;

  friend bool operator==(const Envelope&, const Envelope&) = default;
};

// Action: send a message to a host. A message to this host itself is delivered
// locally by the code that executes the action.
struct SendToHost {
  HostId host{};
  Message message;

  friend bool operator==(const SendToHost&, const SendToHost&) = default;
};

}  // namespace pimentopin
