#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/envelope.h"

namespace pimentopin {

// Member table of one host, kept by gossip. It serves broker choice, spreading
// and display; no guarantee depends on it.
//
// Suspicion and death are judgements of the own host and are not gossiped: a
// record that no host sees advancing ages everywhere. Most gossip repeats only
// the heartbeat of a record; an empty name or address and a zero domain mean
// "as before". A record that is older than the receiver's asks for the newer
// one, which the receiver sends back with its next gossip.
class Membership {
 public:
  static constexpr Duration kGossipInterval = std::chrono::milliseconds(500);
  static constexpr std::size_t kGossipFanout = 3;
  // Records in a gossip besides the sender's. Eight take 1.9 KB/s.
  static constexpr std::size_t kMaxRelayedRecords = 8;
  // Least times without an advance; see Membership::SuspectAfter.
  static constexpr Duration kSuspectAfter = std::chrono::seconds(3);
  static constexpr Duration kForgetAfter = std::chrono::seconds(60);

  // `self` carries name, address, domain and incarnation of this host.
  Membership(MemberRecord self, RandomSource& random);

  // Merges a gossip; returns true if the set of usable members changed.
  bool OnGossip(TimePoint now, const Gossip& gossip);
  // Adds hosts known only by name and address (settings, host list). They count
  // as suspect until they are heard of.
  void AddSeeds(TimePoint now, const std::vector<MemberRecord>& seeds);
  void SetLeaving();
  void SetConfigurationRevision(std::uint64_t revision);
  // Call every 100 ms. Due gossip goes out with empty leaving_targets and
  // fingerprints; the caller fills them in. May change the usable members.
  std::vector<SendToHost> Tick(TimePoint now);

  const MemberRecord& self() const { return this->own; }
  // All known members, the own one first.
  std::vector<MemberRecord> Members() const;
  // Hosts that are alive and not leaving, the own one included unless leaving.
  std::vector<HostId> UsableHosts() const;
  // True if a gossip arrived within `window`, or no other member is known.
  bool HeardPeerWithin(TimePoint now, Duration window) const;

 private:
  struct Member {
    // The state is what the member said of itself: alive or leaving.
    MemberRecord record;
    // Incarnation that name, address and domain belong to.
    std::uint64_t detail_incarnation = 0;
    // When the record last advanced.
    TimePoint advanced_at{};
    // Start of the present silence, without the time for which the own host
    // was paused.
    TimePoint silent_since{};
    // When the incarnation became known.
    TimePoint appeared_at{};
    // When a newer record was last asked for.
    TimePoint asked_at{};
    // Gossips that carried the record since it advanced.
    std::uint32_t relays = 0;
    MemberState judgement = MemberState::kSuspect;

    bool heard() const { return this->record.incarnation != 0; }
    bool usable() const {
      return !this->record.address.empty() && this->judgement == MemberState::kAlive &&
             this->record.state == MemberState::kAlive;
    }
  };
  // A record that a peer is behind on.
  struct Answer {
    HostId subject{};
    bool with_details = false;
  };
  struct OwedAnswers {
    // When the first of them was asked for.
    TimePoint since{};
    std::vector<Answer> list;
  };

  void OnOwnRecord(const MemberRecord& record);
  // Returns true if a peer that sent `record` is behind.
  bool Merge(TimePoint now, const MemberRecord& record);
  void OweAnswer(TimePoint now, HostId peer, HostId subject, bool with_details);
  // Grows with the number of members, because the traffic does not.
  Duration SuspectAfter() const;
  void Judge(TimePoint now);
  void SkipPause(TimePoint now);
  std::vector<HostId> ChooseReceivers(TimePoint now);
  HostId NextInRotation();
  SendToHost GossipTo(TimePoint now, HostId receiver);
  void AddQuestions(TimePoint now, Gossip& gossip);
  std::size_t AddAnswers(TimePoint now, HostId receiver, Gossip& gossip);
  void AddNewest(TimePoint now, std::size_t max_details, Gossip& gossip);
  MemberRecord WithoutDetails(MemberRecord record) const;

  MemberRecord own;
  RandomSource& random;
  std::map<HostId, Member> members;
  std::map<HostId, OwedAnswers> answers;
  // Members in random order, each contacted once before the next shuffle.
  std::vector<HostId> rotation;
  std::optional<TimePoint> last_tick;
  std::optional<TimePoint> last_heard;
  TimePoint next_gossip{};
  std::uint64_t gossips_sent = 0;
  // Every gossip carries the own details up to this heartbeat.
  std::uint64_t announce_until = 10;
};

}  // namespace pimentopin
