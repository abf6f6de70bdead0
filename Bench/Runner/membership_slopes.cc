#include "Bench/Runner/membership_slopes.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <utility>

#include "Libraries/LibMembership/configuration_tracker.h"
#include "Libraries/LibMembership/host_directory.h"
#include "Libraries/LibMembership/store_relay.h"
#include "Libraries/LibProtocol/codec.h"

namespace pimentopin::bench {
namespace {

constexpr std::size_t kHostCounts[] = {32, 128, 512};
constexpr std::size_t kPropagationHostCounts[] = {32, 128, 512, 2048};
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kLinkDelay = Duration(1500);
constexpr Duration kMeasuredTime = std::chrono::seconds(10);
constexpr TimePoint kStart{std::chrono::seconds(1000)};
constexpr std::uint64_t kDomainCount = 8;
constexpr Duration kPropagationTimeLimit = std::chrono::seconds(15);

HostId HostIdAt(std::size_t index) {
  return IdFromName<HostId>(fmt::format("host-{}", index));
}

MemberRecord MemberRecordAt(std::size_t index) {
  return {.host = HostIdAt(index),
          .name = fmt::format("host-{}", index),
          .address = fmt::format("10.{}.{}.1:7000", index / 250, index % 250),
          .domain = DomainId{index % kDomainCount},
          .incarnation = 1765000000000};
}

double FrameBytes(const Message& message) {
  return static_cast<double>(EncodeFrame({HostId{1}, DomainId{1}, message}).size());
}

struct DirectoryCost {
  // Digests sent by the host that reads the store for its failure domain.
  double reader_bytes_per_s = 0;
  double heap_bytes_per_host = 0;
};

// Measures the directory of one host and the digests that the reader of one failure
// domain sends.
DirectoryCost MeasureDirectory(std::size_t hosts) {
  std::vector<FeedRow> rows;
  std::map<DomainId, std::vector<MemberRecord>> members;
  for (std::size_t index = 0; index < hosts; ++index) {
    const MemberRecord record = MemberRecordAt(index);
    rows.push_back({record.name, index + 1, EncodeHostRow(record), false});
    members[record.domain].push_back(record);
  }
  const double heap_before = HeapBytes();
  HostDirectory directory(MemberRecordAt(0));
  std::vector<std::string> findings;
  directory.Apply(rows, findings);
  DirectoryCost cost{.heap_bytes_per_host =
                         (HeapBytes() - heap_before) / static_cast<double>(hosts)};

  const DomainId domain = MemberRecordAt(0).domain;
  std::map<DomainId, std::vector<HostId>> ranked_hosts;
  for (const auto& [member_domain, domain_members] : members) {
    ranked_hosts[member_domain] = RankMembers(domain_members);
  }
  const HostId reader = ranked_hosts[domain].front();
  StoreRelay relay(reader, MemberRecordAt(0).address, {{.name = "hosts", .polled = true}}, true);
  relay.SetHosts(domain, ranked_hosts);
  double bytes = 0;
  for (TimePoint now = kStart; now < kStart + kMeasuredTime; now += kTickInterval) {
    for (const RelayAction& action : relay.Tick(now)) {
      if (const auto* send = std::get_if<SendToHost>(&action)) {
        bytes += FrameBytes(send->message);
      } else if (std::holds_alternative<ListTable>(action) ||
                 std::holds_alternative<ReadChanges>(action)) {
        relay.OnRows(now, "hosts", FeedBatch{}, {});
      }
    }
  }
  cost.reader_bytes_per_s = bytes / std::chrono::duration<double>(kMeasuredTime).count();
  return cost;
}

struct PropagationCost {
  double seconds = 0;
  double documents_per_host = 0;
  double other_messages_per_host = 0;
};

// Simulates the propagation of a configuration document from one host, and counts
// time and messages until all hosts have adopted it.
class PropagationRun {
 public:
  explicit PropagationRun(std::size_t hosts) {
    std::vector<MemberRecord> records;
    for (std::size_t index = 0; index < hosts; ++index) {
      records.push_back(MemberRecordAt(index));
      this->host_indexes[records.back().host] = index;
    }
    for (const MemberRecord& record : records) {
      this->trackers.push_back(std::make_unique<ConfigurationTracker>(record.host, record.domain));
      this->trackers.back()->SetMembers(records);
    }
  }

  PropagationCost Run() {
    const auto hosts = static_cast<double>(this->trackers.size());
    const ConfigurationDocument document{.revision = 1, .change_id = "change", .content = "{}"};
    TimePoint now = kStart;
    this->Execute(now, 0, this->trackers[0]->OnDocument(now, document, DocumentSource::kStore));
    TimePoint next_tick = now + kTickInterval;
    while (this->adopted_count < this->trackers.size() && now < kStart + kPropagationTimeLimit) {
      if (!this->in_flight.empty() && this->in_flight.front().at <= next_tick) {
        const Delivery delivery = this->in_flight.front();
        this->in_flight.pop_front();
        now = delivery.at;
        this->Deliver(now, delivery);
        continue;
      }
      now = next_tick;
      next_tick += kTickInterval;
      for (std::size_t index = 0; index < this->trackers.size(); ++index) {
        this->Execute(now, index, this->trackers[index]->Tick(now));
      }
    }
    return {.seconds = std::chrono::duration<double>(now - kStart).count(),
            .documents_per_host = this->documents / hosts,
            .other_messages_per_host = this->other_messages / hosts};
  }

 private:
  // Message on a link. All links have the same delay, so messages arrive in the order
  // in which they were sent.
  struct Delivery {
    TimePoint at;
    std::size_t from = 0;
    std::size_t to = 0;
    Message message;
  };

  void Execute(TimePoint now, std::size_t index, const std::vector<ConfigurationAction>& actions) {
    for (const ConfigurationAction& action : actions) {
      if (std::holds_alternative<AdoptConfiguration>(action)) {
        ++this->adopted_count;
      } else if (const auto* send = std::get_if<SendToHost>(&action)) {
        const bool is_document = std::holds_alternative<ConfigurationDocument>(send->message);
        (is_document ? this->documents : this->other_messages) += 1;
        this->in_flight.push_back(
            {now + kLinkDelay, index, this->host_indexes.at(send->host), send->message});
      }
    }
  }

  void Deliver(TimePoint now, const Delivery& delivery) {
    ConfigurationTracker& tracker = *this->trackers[delivery.to];
    const HostId sender = HostIdAt(delivery.from);
    if (const auto* document = std::get_if<ConfigurationDocument>(&delivery.message)) {
      this->Execute(now, delivery.to, tracker.OnDocument(now, *document, DocumentSource::kPeer));
    } else if (const auto* offer = std::get_if<ConfigurationOffer>(&delivery.message)) {
      this->Execute(now, delivery.to, tracker.OnRevisionSeen(now, sender, offer->revision));
    } else if (const auto* request = std::get_if<ConfigurationRequest>(&delivery.message)) {
      this->Execute(now, delivery.to, tracker.OnRequest(sender, *request));
    }
  }

  std::map<HostId, std::size_t> host_indexes;
  std::vector<std::unique_ptr<ConfigurationTracker>> trackers;
  std::deque<Delivery> in_flight;
  std::size_t adopted_count = 0;
  double documents = 0;
  double other_messages = 0;
};

}  // namespace

std::vector<Slope> MeasureMembershipSlopes() {
  std::vector<SlopePoint> bytes;
  std::vector<SlopePoint> heap;
  for (const std::size_t hosts : kHostCounts) {
    const DirectoryCost cost = MeasureDirectory(hosts);
    const auto axis_value = static_cast<double>(hosts);
    bytes.push_back({axis_value, cost.reader_bytes_per_s});
    heap.push_back({axis_value, cost.heap_bytes_per_host});
  }
  std::vector<SlopePoint> seconds;
  std::vector<SlopePoint> documents;
  std::vector<SlopePoint> other_messages;
  for (const std::size_t hosts : kPropagationHostCounts) {
    const PropagationCost cost = PropagationRun(hosts).Run();
    const auto axis_value = std::log2(static_cast<double>(hosts));
    seconds.push_back({axis_value, cost.seconds});
    documents.push_back({axis_value, cost.documents_per_host});
    other_messages.push_back({axis_value, cost.other_messages_per_host});
  }
  return {FitSlope("digests sent by a reader", "host", "bytes/s", std::move(bytes)),
          FitSlope("host directory of a host", "host", "bytes", std::move(heap)),
          FitSlope("change in force everywhere", "doubling of hosts", "s", std::move(seconds)),
          FitSlope("documents sent per host and change", "doubling of hosts", "messages",
                   std::move(documents)),
          FitSlope("offers and requests per host and change", "doubling of hosts", "messages",
                   std::move(other_messages))};
}

}  // namespace pimentopin::bench
