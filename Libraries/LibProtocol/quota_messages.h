#pragma once

#include <cstdint>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Identifies a QuotaRequest at its sender.
enum class QuotaRequestId : std::uint64_t {};

// Asks the holder of a part of the quotas for tokens of an organisation. One token admits one
// request.
struct QuotaRequest {
  QuotaRequestId request{};
  OrganisationId organisation{};
  std::uint8_t part = 0;
  std::uint16_t wanted = 0;

  friend bool operator==(const QuotaRequest&, const QuotaRequest&) = default;
};

struct QuotaReply {
  QuotaRequestId request{};
  OrganisationId organisation{};
  std::uint8_t part = 0;
  // False if the sender doesn't hold the part; nothing is granted then.
  bool holds = false;
  std::uint16_t granted = 0;
  // Time until the holder expects to have a token again, if it granted less than was wanted.
  Duration retry_after{};
  // Who held the part when the sender last read its row; zero if unknown.
  HostId holder{};

  friend bool operator==(const QuotaReply&, const QuotaReply&) = default;
};

}  // namespace pimentopin
