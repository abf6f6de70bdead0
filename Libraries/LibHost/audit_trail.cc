#include "Libraries/LibHost/audit_trail.h"

#include <nlohmann/json.hpp>

#include "Libraries/LibCore/json_log.h"
#include "Libraries/LibHost/wall_clock.h"

namespace pimentopin {
void AuditTrail::Record(const Configuration* before,
                        const Configuration& after,
                        const ConfigurationDocument& document) {
  AuditEntry entry{.from_revision = before == nullptr ? 0 : before->revision,
                   .to_revision = document.revision,
                   .change_id = document.change_id,
                   .author = document.author,
                   .committed_at_ms = document.committed_at_ms,
                   .adopted_at_ms = WallClockMs()};
  if (before != nullptr) {
    entry.difference = CompareConfigurations(*before, after);
  }
  Log(LogLevel::kInfo, "configuration_adopted",
      {{"from_revision", entry.from_revision},
       {"to_revision", entry.to_revision},
       {"change_id", entry.change_id},
       {"author", entry.author},
       {"committed_at_ms", entry.committed_at_ms},
       {"differences", entry.difference.size()}});
  this->recorded.push_back(std::move(entry));
  if (this->recorded.size() > kMaxEntries) {
    this->recorded.pop_front();
  }
}

}  // namespace pimentopin
