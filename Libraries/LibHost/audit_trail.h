#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "Libraries/LibConfig/configuration_difference.h"
#include "Libraries/LibProtocol/membership_messages.h"

namespace pimentopin {

// A configuration change as adopted by this host.
struct AuditEntry {
  std::uint64_t from_revision = 0;
  std::uint64_t to_revision = 0;
  std::string change_id;
  std::string author;
  // Milliseconds since the Unix epoch.
  std::uint64_t committed_at_ms = 0;
  std::uint64_t adopted_at_ms = 0;
  ConfigurationDifference difference;

  friend bool operator==(const AuditEntry&, const AuditEntry&) = default;
};

// The most recent configuration changes that this host adopted, newest last. Each one is
// also logged as `configuration_adopted`.
class AuditTrail {
 public:
  static constexpr std::size_t kMaxEntries = 100;

  void Record(const Configuration* before,
              const Configuration& after,
              const ConfigurationDocument& document);
  const std::deque<AuditEntry>& entries() const { return this->recorded; }

 private:
  std::deque<AuditEntry> recorded;
};

}  // namespace pimentopin
