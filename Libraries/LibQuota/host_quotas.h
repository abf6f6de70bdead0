#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Libraries/LibCore/store_clock.h"
#include "Libraries/LibPlatform/table_store.h"
#include "Libraries/LibProtocol/envelope.h"
#include "Libraries/LibQuota/quota_client.h"
#include "Libraries/LibQuota/quota_holders.h"
#include "Libraries/LibQuota/quota_limit.h"
#include "Libraries/LibQuota/quota_part.h"
#include "Libraries/LibQuota/quota_part_lease.h"

namespace pimentopin {

// Action: list the rows of all parts and pass them to OnRows().
struct ReadQuotaParts {
  friend bool operator==(const ReadQuotaParts&, const ReadQuotaParts&) = default;
};

// Action: write the row of the part if it has the expected version, and pass the result to
// OnWritten().
struct WriteQuotaPartRow {
  std::size_t part = 0;
  WriteQuotaPart write;

  friend bool operator==(const WriteQuotaPartRow&, const WriteQuotaPartRow&) = default;
};

// Action: log that this host begins or ceases to hold a part.
struct QuotaPartChange {
  std::size_t part = 0;
  QuotaPartEvent event = QuotaPartEvent::kAcquired;

  friend bool operator==(const QuotaPartChange&, const QuotaPartChange&) = default;
};

using HostQuotaAction =
    std::variant<SendToHost, QuotaVerdict, ReadQuotaParts, WriteQuotaPartRow, QuotaPartChange>;
using HostQuotaActions = std::vector<HostQuotaAction>;

// Quotas of organisations at one host: admits its own requests, and grants tokens to all hosts from
// the parts that it holds. Without limits it acts on nothing.
class HostQuotas {
 public:
  struct Settings {
    HostId self{};
    std::string host_name;
    DomainId domain{};
    // Start of this process.
    std::uint64_t incarnation = 0;
    // The whole fleet starts for the first time.
    bool starts_fleet = false;
  };
  using Rows = std::array<TableRow, kQuotaParts>;

  // Bounds of the store's time are renewed at this interval, as clocks may drift.
  static constexpr Duration kClockRefreshInterval = std::chrono::seconds(30);

  explicit HostQuotas(Settings settings);
  // Parts refer to this object.
  HostQuotas(const HostQuotas&) = delete;
  HostQuotas& operator=(const HostQuotas&) = delete;

  HostQuotaActions Configure(BootTimePoint now, const QuotaLimits& limits);
  HostQuotaActions SetCandidates(BootTimePoint now, const std::vector<QuotaCandidate>& candidates);
  // To be called with the era of the store before its first response in that era is handled.
  HostQuotaActions OnStoreEra(BootTimePoint now, StoreEra era);
  // Releases the parts of this host and acquires no others.
  HostQuotaActions SetLeaving(BootTimePoint now);

  bool IsLimited(OrganisationId organisation) const { return this->client.IsLimited(organisation); }
  // The verdict follows at once or in a later call, after `max_wait` at most.
  HostQuotaActions Admit(BootTimePoint now,
                         RequestId request,
                         OrganisationId organisation,
                         Duration max_wait);
  HostQuotaActions OnRequest(BootTimePoint now, HostId sender, const QuotaRequest& request);
  HostQuotaActions OnReply(BootTimePoint now, HostId sender, const QuotaReply& reply);
  // Empty rows if the read, which was sent at `sent_at`, failed. Absent rows have version 0.
  // `store_time` is the store's time in the response, if it stated one.
  HostQuotaActions OnRows(BootTimePoint now,
                          BootTimePoint sent_at,
                          const std::optional<Rows>& rows,
                          std::optional<StoreTimePoint> store_time);
  // Empty if it is not known whether the write has taken, or will take, effect.
  HostQuotaActions OnWritten(BootTimePoint now,
                             std::size_t part,
                             const std::optional<WriteResult>& result);
  HostQuotaActions Tick(BootTimePoint now);
  // When Tick() is due.
  BootTimePoint NextDeadline(BootTimePoint now) const;

  std::size_t parts_held(BootTimePoint now) const;

 private:
  struct Part {
    QuotaPartLease lease;
    // Set while this host holds the part.
    std::optional<QuotaPart> tokens;
    bool waits_for_read = false;
  };

  bool IsCandidate(HostId host) const;
  void UpdateLeases(BootTimePoint now, HostQuotaActions& actions);
  void Take(BootTimePoint now,
            std::size_t part,
            const std::vector<LeaseAction>& lease_actions,
            HostQuotaActions& actions);
  void Read(HostQuotaActions& actions);
  // When the bounds of the store's time are read again.
  BootTimePoint ClockRefreshDue() const;
  static void Append(std::vector<QuotaAction> from, HostQuotaActions& actions);

  const Settings settings;
  QuotaLimits limits;
  std::vector<QuotaCandidate> candidates;
  // The hosts that may acquire the parts.
  std::vector<QuotaCandidate> holders;
  bool leaving = false;
  // The parts that an earlier process of this host holds are, or will be, released.
  bool released_former = false;
  StoreClock clock;
  BootTimePoint clock_observed_at;
  bool reading = false;
  std::vector<Part> parts;
  QuotaClient client;
};

}  // namespace pimentopin
