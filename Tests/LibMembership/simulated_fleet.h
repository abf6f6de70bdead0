#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibMembership/configuration_tracker.h"
#include "Libraries/LibMembership/leaving_targets.h"
#include "Libraries/LibMembership/membership.h"

namespace pimentopin {

// Hosts with their membership decisions in virtual time, connected by a bus
// that delays and drops messages. The table holds one document.
class SimulatedFleet {
 public:
  struct Host {
    Host(MemberRecord record, std::uint64_t seed)
        : random(seed), membership(record, random), tracker(record.host, record.domain, random) {}

    RandomSource random;
    Membership membership;
    ConfigurationTracker tracker;
    LeavingTargets leaving;
    // Revisions put in force, in order.
    std::vector<std::uint64_t> adopted;
    bool paused = false;
    // What arrives during a pause is handled after it.
    std::vector<std::function<void()>> held;
    std::uint64_t bytes_sent = 0;
    std::uint64_t polls = 0;
  };

  explicit SimulatedFleet(std::uint64_t seed);

  // Starts hosts 0 to count - 1, seeded with three of each other.
  void StartMany(std::size_t count);
  // A later start under the same name is a restart with a new address.
  HostId Start(const std::string& name, std::uint64_t incarnation);
  void Stop(HostId host);
  void Pause(HostId host);
  void Resume(HostId host);

  void RunFor(Duration duration);
  // Runs until the condition holds; returns the time that it took, or nothing
  // if that is more than `limit`.
  std::optional<Duration> RunUntil(const std::function<bool()>& condition, Duration limit);

  // The own commit of a host: the document is in the table if it is up.
  void Commit(HostId host, std::uint64_t revision);
  bool InForce(HostId host, std::uint64_t revision) const;
  bool InForceEverywhere(std::uint64_t revision) const;
  // A delayed copy of a document arrives at a host.
  void DeliverDocument(HostId host, std::uint64_t revision);
  static ConfigurationDocument Document(std::uint64_t revision, std::size_t size);

  Host& At(HostId host) { return *this->hosts.at(host); }
  std::vector<HostId> Running() const;
  bool Sees(HostId observer, HostId subject) const;
  MemberState StateOf(HostId observer, HostId subject) const;
  HostId RandomHost();

  TimePoint now{};
  RandomSource random;
  double loss = 0.0;
  Duration max_latency = std::chrono::milliseconds(3);
  bool table_up = true;
  std::size_t document_size = 500;
  // Directed pairs that lose every message.
  std::set<std::pair<HostId, HostId>> cuts;
  // Encodes and decodes each message and counts its bytes.
  bool use_codec = false;
  // Set when a host put an older revision in force after a newer one.
  bool reverted = false;
  // Passed on only if it returns true.
  std::function<bool(HostId from, HostId to, const Message&)> filter;

 private:
  struct Event {
    TimePoint at{};
    std::uint64_t sequence = 0;
    std::function<void()> run;
  };
  struct Later {
    bool operator()(const Event& left, const Event& right) const {
      return std::pair(left.at, left.sequence) > std::pair(right.at, right.sequence);
    }
  };

  void At(TimePoint at, std::function<void()> run);
  bool Step(TimePoint limit);
  // Runs at the host unless it was stopped or replaced; held during a pause.
  void RunAt(const std::weak_ptr<Host>& host, const std::function<void()>& run);
  void Tick(const std::weak_ptr<Host>& weak);
  void Send(Host& from, HostId to, Message message);
  void Deliver(Host& host, HostId sender, const Message& message);
  void Perform(Host& host, const std::vector<ConfigurationAction>& actions);
  void Poll(Host& host);

  std::map<HostId, std::shared_ptr<Host>> hosts;
  std::priority_queue<Event, std::vector<Event>, Later> events;
  std::uint64_t sequence = 0;
  std::uint64_t starts = 0;
  std::optional<ConfigurationDocument> table_row;
};

}  // namespace pimentopin
