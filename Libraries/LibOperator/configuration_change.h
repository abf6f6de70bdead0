#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "Libraries/LibConfig/configuration_difference.h"
#include "Libraries/LibCore/findings.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibOperator/admin_session.h"

namespace pimentopin {

// A configuration document to be committed on top of a revision.
struct ConfigurationChange {
  std::uint64_t base_revision = 0;
  // Unique per change; a repeat with the same id is the same change.
  std::string change_id;
  std::string author;
  // JSON text of the document.
  std::string content;

  friend bool operator==(const ConfigurationChange&, const ConfigurationChange&) = default;
};

enum class ChangeOutcome {
  kCommitted,
  // Not committed: another change came first.
  kConflict,
  // Not committed: the host found faults.
  kInvalid,
  // Not committed: no host could be reached or could commit.
  kNotRun,
  // May have been committed, or may still be.
  kUnknown,
  // Not committed: the host did not accept the request.
  kRejected,
};

struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kNotRun;
  // With kCommitted, the revision of this change.
  std::uint64_t revision = 0;
  // With kConflict, what is in force. Author and id may be empty.
  std::uint64_t current_revision = 0;
  std::string current_author;
  std::string current_change_id;
  ConfigurationDifference difference;
  Findings findings;
  // Why a host gave no usable answer.
  std::string reason;
};

enum class ChangeState { kCommitted, kNotCommitted, kUnknown };

// What the history says about a change.
struct ChangeRecord {
  ChangeState state = ChangeState::kUnknown;
  // Revision of the change, or the one in force if it is not committed.
  std::uint64_t revision = 0;
  // The JSON object of the host.
  std::string body;
  std::string reason;

  friend bool operator==(const ChangeRecord&, const ChangeRecord&) = default;
};

// True for [A-Za-z0-9._-]{1,64}; the id is part of an object key and of a URL.
bool IsChangeId(std::string_view text);

// Asks the hosts whether the change is committed.
ChangeRecord FindChange(AdminSession& session, const std::string& change_id);

// Commits the change through one of the hosts. After a lost answer it asks
// again with the same id, up to kChangeRounds times over all hosts with `wait`
// in between, and then consults the history.
inline constexpr int kChangeRounds = 3;
inline constexpr Duration kChangeRoundPause = std::chrono::milliseconds(500);
ChangeResult CommitChange(AdminSession& session,
                          const ConfigurationChange& change,
                          const std::function<void(Duration)>& wait);

}  // namespace pimentopin
