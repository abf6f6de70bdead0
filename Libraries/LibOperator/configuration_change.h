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

// A configuration document to commit as the revision after `base_revision`.
struct ConfigurationChange {
  std::uint64_t base_revision = 0;
  // Unique per change; a retry uses the same id, so that it is committed once.
  std::string change_id;
  std::string author;
  // JSON text of the document.
  std::string content;

  friend bool operator==(const ConfigurationChange&, const ConfigurationChange&) = default;
};

enum class ChangeOutcome {
  kCommitted,
  // Not committed: the base revision is not the current one.
  kConflict,
  // Not committed: the document is invalid.
  kInvalid,
  // Not committed: each host was unreachable or stated that it did not commit.
  kNotRun,
  // May have been committed, or may still be committed by a delayed write.
  kUnknown,
  // Not committed: the host rejected the request with another 4xx status.
  kRejected,
};

struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kNotRun;
  // Revision of this change; set with kCommitted only.
  std::uint64_t revision = 0;
  // The current revision; set with kConflict only. Author and change id are
  // empty if the host did not report them.
  std::uint64_t current_revision = 0;
  std::string current_author;
  std::string current_change_id;
  ConfigurationDifference difference;
  Findings findings;
  // Why the hosts gave no usable response.
  std::string reason;
};

enum class ChangeState { kCommitted, kNotCommitted, kUnknown };

// State of a change according to the revision history of a host.
struct ChangeRecord {
  ChangeState state = ChangeState::kUnknown;
  // Revision of the change with kCommitted, the current revision of the
  // configuration with kNotCommitted, and 0 with kUnknown.
  std::uint64_t revision = 0;
  // JSON object in the response of the host; empty with kUnknown.
  std::string body;
  // Why the state is unknown.
  std::string reason;

  friend bool operator==(const ChangeRecord&, const ChangeRecord&) = default;
};

// Returns true for [A-Za-z0-9._-]{1,64}. The id is part of object keys and URLs
// and is not escaped there.
bool IsValidChangeId(std::string_view text);

// Looks up the change in the revision history of the first host that responds.
// The `revision` of the result is that of the change if it is committed, else the
// current one.
ChangeRecord FindChange(AdminSession& session, const std::string& change_id);

// Number of times that CommitChange tries all hosts, and the delay between them.
inline constexpr int kMaxCommitRounds = 3;
inline constexpr Duration kCommitRoundDelay = std::chrono::milliseconds(500);

// Commits the change through one of the hosts. If a response is lost, the
// request is retried with the same change id for up to kMaxCommitRounds rounds
// over all hosts, with a call of `sleep` between rounds. If the outcome is still
// unknown, it is looked up in the revision history.
ChangeResult CommitChange(AdminSession& session,
                          const ConfigurationChange& change,
                          const std::function<void(Duration)>& sleep);

}  // namespace pimentopin
