#include "Libraries/LibDispatch/retry_usage_exchange.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "Libraries/LibCore/contains.h"
#include "Libraries/LibCore/rendezvous.h"

namespace pimentopin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ServiceId kService{7};
constexpr RetryLimits kLimits{.fraction = 0.2, .extra = 20, .minimum_per_second = 0};

// Hosts whose messages arrive after a delay. Each has a clock of its own.
class RetryUsageExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryUsageExchangeTest);
  CPPUNIT_TEST(TestNewBrokerRepeatsSpentRetries);
  CPPUNIT_TEST(TestRestartedBrokerRepeatsSpentRetries);
  CPPUNIT_TEST(TestKilledBrokerTakesItsCountsAlong);
  CPPUNIT_TEST(TestChangingBrokersCountTwice);
  CPPUNIT_TEST(TestBrokersOfDifferentViewsSpendTwice);
  CPPUNIT_TEST(TestRemovedServiceSpendsTwice);
  CPPUNIT_TEST(TestUnknownServiceLosesCounts);
  CPPUNIT_TEST(TestNewBrokerHasNoExtraAlthoughTheUseIsKnown);
  CPPUNIT_TEST(TestFormerCandidateTrustsOldCounts);
  CPPUNIT_TEST(TestMessagesWithoutRetries);
  CPPUNIT_TEST(TestCountsOfManyProcessesAreKept);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->now = TimePoint(seconds(1000));
    this->hosts.clear();
    this->in_flight.clear();
    this->messages_sent = 0;
    this->limits = kLimits;
    for (std::uint64_t id = 1; id <= 4; ++id) {
      this->StartHost(HostId{id}, id);
    }
    this->ranking = RendezvousRank(RawId(kService), {HostId{1}, HostId{2}, HostId{3}, HostId{4}});
    this->SetMembers(this->ranking);
  }

  // Guards against a planned stop of the broker after which its successor allows the
  // retries of the last window again: 264 retries where 218 were allowed.
  void TestNewBrokerRepeatsSpentRetries() {
    this->Serve(this->ranking[0], seconds(12));
    const int spent = this->SpendAll(this->ranking[0]);
    CPPUNIT_ASSERT(spent > 0);
    this->SetMembers({this->ranking[1], this->ranking[2], this->ranking[3]});
    this->Advance(milliseconds(20));
    this->AssertNothingLeft(this->ranking[1]);
    // They are available again when the window has passed.
    this->Serve(this->ranking[1], seconds(12));
    const int again = this->SpendAll(this->ranking[1]);
    // Clocks divide the time differently.
    CPPUNIT_ASSERT(again >= spent - 2 && again <= spent + 2);
  }

  // Guards against a restarted host, first in the ranking, that starts with an empty window, also
  // for hosts that know it earlier than its predecessor does.
  void TestRestartedBrokerRepeatsSpentRetries() {
    this->SetMembers({this->ranking[1], this->ranking[2], this->ranking[3]});
    this->Serve(this->ranking[1], seconds(12));
    CPPUNIT_ASSERT(this->SpendAll(this->ranking[1]) > 0);
    this->StartHost(this->ranking[0], 99);
    this->SetMembersOf(this->ranking[0], this->ranking);
    this->Budget(this->ranking[0]);
    this->Advance(milliseconds(20));
    this->AssertNothingLeft(this->ranking[0]);
    this->SetMembers(this->ranking);
    this->Advance(milliseconds(20));
    this->AssertNothingLeft(this->ranking[0]);
  }

  // Guards against a broker that is killed and has told nobody what it allowed.
  void TestKilledBrokerTakesItsCountsAlong() {
    this->Serve(this->ranking[0], seconds(12));
    CPPUNIT_ASSERT(this->SpendAll(this->ranking[0]) > 0);
    this->Advance(RetryUsageExchange::kReportInterval + milliseconds(20));
    this->hosts.erase(this->ranking[0]);
    this->SetMembers({this->ranking[1], this->ranking[2], this->ranking[3]});
    this->AssertNothingLeft(this->ranking[1]);
  }

  // Guards against counts that are added again each time the broker changes, so that no retry is
  // allowed.
  void TestChangingBrokersCountTwice() {
    this->Serve(this->ranking[0], seconds(12));
    int spent = 0;
    for (int round = 0; round < 5; ++round) {
      const bool back = round % 2 == 1;
      for (int count = 0; count < 4; ++count) {
        spent +=
            this->Budget(this->ranking[back ? 1 : 0]).TryRetry(this->Clock(back ? 1 : 0)) ? 1 : 0;
      }
      this->Advance(milliseconds(300));
      this->SetMembers(
          back ? this->ranking
               : std::vector<HostId>{this->ranking[1], this->ranking[2], this->ranking[3]});
      this->Advance(milliseconds(300));
    }
    CPPUNIT_ASSERT_EQUAL(20, spent);
    // 20 of the extra, and a fifth of 100 first attempts a second for the last 7 s or more.
    const int left = this->SpendAll(this->ranking[1]);
    CPPUNIT_ASSERT(left >= 130 && left <= 190);
    CPPUNIT_ASSERT_EQUAL(0, this->SpendAll(this->ranking[1]));
  }

  // Guards against two hosts, each the broker for a part of the fleet, that allow the whole budget
  // each.
  void TestBrokersOfDifferentViewsSpendTwice() {
    this->limits = {.fraction = 0, .extra = 200, .minimum_per_second = 0};
    this->StartHost(this->ranking[0], 98);
    this->StartHost(this->ranking[1], 99);
    this->SetMembersOf(this->ranking[0], this->ranking);
    this->SetMembersOf(this->ranking[1], {this->ranking[1], this->ranking[2], this->ranking[3]});
    this->Serve(this->ranking[0], milliseconds(10));
    this->Serve(this->ranking[1], seconds(12));
    int allowed = 0;
    for (int step = 0; step < 500; ++step) {
      for (const std::size_t rank : {0, 1}) {
        allowed += this->Budget(this->ranking[rank]).TryRetry(this->Clock(rank)) ? 1 : 0;
      }
      this->Advance(milliseconds(10));
    }
    // Beyond 200, each allows what it has not learned from the other within the last interval.
    CPPUNIT_ASSERT(allowed >= 200 && allowed <= 260);
  }

  // Guards against a window that is lost with the broker of a service that a configuration removes
  // and the next one restores.
  void TestRemovedServiceSpendsTwice() {
    this->Serve(this->ranking[0], seconds(12));
    CPPUNIT_ASSERT(this->SpendAll(this->ranking[0]) > 0);
    this->hosts.at(this->ranking[0]).budget.reset();
    this->Advance(seconds(1));
    this->AssertNothingLeft(this->ranking[0]);
  }

  // Guards against counts that are lost because they arrive before the configuration of their
  // service.
  void TestUnknownServiceLosesCounts() {
    this->Serve(this->ranking[0], seconds(12));
    this->SpendAll(this->ranking[0]);
    this->Advance(seconds(1));
    CPPUNIT_ASSERT(!this->hosts.at(this->ranking[1]).budget);
    this->AssertNothingLeft(this->ranking[1]);
  }

  // Guards against a planned stop after which a rarely used service cannot retry for seconds.
  void TestNewBrokerHasNoExtraAlthoughTheUseIsKnown() {
    this->Serve(this->ranking[0], seconds(12));
    CPPUNIT_ASSERT(this->Budget(this->ranking[0]).TryRetry(this->Clock(0)));
    this->SetMembers({this->ranking[1], this->ranking[2], this->ranking[3]});
    this->Advance(milliseconds(20));
    const int left = this->SpendAll(this->ranking[1]);
    CPPUNIT_ASSERT(left >= 210 && left <= 220);
  }

  // Guards against a host that takes part again, knows nothing of the last window and
  // allows the whole extra at once.
  void TestFormerCandidateTrustsOldCounts() {
    this->Serve(this->ranking[0], seconds(12));
    this->SetMembersOf(this->ranking[0], {this->ranking[1], this->ranking[2]});
    this->Advance(seconds(11));
    this->SetMembersOf(this->ranking[0], this->ranking);
    CPPUNIT_ASSERT_EQUAL(0, this->SpendAll(this->ranking[0]));
  }

  // Guards against messages while nothing is retried, and against one for each retry.
  void TestMessagesWithoutRetries() {
    this->Serve(this->ranking[0], seconds(2));
    // The question of the new broker to the other candidate, which knows nothing.
    CPPUNIT_ASSERT_EQUAL(1, this->messages_sent);
    this->messages_sent = 0;
    this->Serve(this->ranking[0], seconds(10));
    CPPUNIT_ASSERT_EQUAL(0, this->messages_sent);
    for (int step = 0; step < 100; ++step) {
      this->Budget(this->ranking[0]).TryRetry(this->Clock(0));
      this->Advance(milliseconds(10));
    }
    CPPUNIT_ASSERT(this->messages_sent >= 3 && this->messages_sent <= 4);
    this->Advance(seconds(1));
    this->messages_sent = 0;
    this->Advance(seconds(20));
    CPPUNIT_ASSERT_EQUAL(0, this->messages_sent);
  }

  // Guards against counters of ended processes that take the place of new ones, and against any
  // number of them.
  void TestCountsOfManyProcessesAreKept() {
    RetryBudget budget(kLimits, RetryCounterId{1});
    for (std::uint64_t id = 2; id < 100; ++id) {
      budget.Merge(this->now, {.known_for = seconds(1),
                               .counters = {{.counter = RetryCounterId{id},
                                             .first_interval = id,
                                             .intervals = {{.first_attempts = 100}}}}});
      this->now += milliseconds(10);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, budget.Usage(this->now).counters.size());
    this->now += seconds(11);
    CPPUNIT_ASSERT(!budget.HasUsage(this->now));
    budget.Merge(this->now, {.known_for = seconds(1),
                             .counters = {{.counter = RetryCounterId{200},
                                           .first_interval = 5,
                                           .intervals = {{.retries = 3}}}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, budget.Usage(this->now).counters.size());
  }

 private:
  struct Host {
    std::unique_ptr<RetryUsageExchange> exchange;
    std::shared_ptr<RetryBudget> budget;
    Duration clock_offset{};
  };
  struct Delivery {
    TimePoint when;
    HostId sender{};
    SendToHost message;
  };

  void StartHost(HostId host, std::uint64_t process) {
    Host& started = this->hosts[host];
    started.exchange =
        std::make_unique<RetryUsageExchange>(host, RetryCounterId{process}, this->limits);
    started.budget.reset();
    started.clock_offset = milliseconds(123'457 * process);
  }
  TimePoint ClockOf(HostId host) const { return this->now + this->hosts.at(host).clock_offset; }
  TimePoint Clock(std::size_t rank) const { return this->ClockOf(this->ranking[rank]); }

  RetryBudget& Budget(HostId host) {
    Host& state = this->hosts.at(host);
    if (!state.budget) {
      std::vector<SendToHost> messages;
      state.budget = state.exchange->Open(this->ClockOf(host), kService, messages);
      this->Send(host, messages);
    }
    return *state.budget;
  }

  void Send(HostId sender, const std::vector<SendToHost>& messages) {
    for (const SendToHost& message : messages) {
      ++this->messages_sent;
      this->in_flight.push_back({this->now + milliseconds(3), sender, message});
    }
  }

  void SetMembersOf(HostId host, const std::vector<HostId>& members) {
    this->Send(host, this->hosts.at(host).exchange->SetMembers(this->ClockOf(host), members));
  }
  void SetMembers(const std::vector<HostId>& members) {
    for (const auto& [host, state] : this->hosts) {
      this->SetMembersOf(host, members);
    }
  }

  void Advance(Duration duration) {
    for (const TimePoint end = this->now + duration; this->now < end;) {
      this->now += milliseconds(1);
      for (std::size_t index = 0; index < this->in_flight.size();) {
        if (this->in_flight[index].when > this->now) {
          ++index;
          continue;
        }
        const Delivery delivery = this->in_flight[index];
        this->in_flight.erase(this->in_flight.begin() + static_cast<std::ptrdiff_t>(index));
        const auto host = this->hosts.find(delivery.message.host);
        if (host != this->hosts.end()) {
          this->Send(host->first, host->second.exchange->OnUsage(
                                      this->ClockOf(host->first), delivery.sender,
                                      std::get<RetryUsage>(delivery.message.message)));
        }
      }
      for (auto& [host, state] : this->hosts) {
        if (state.exchange->NextDeadline(this->ClockOf(host)) <= this->ClockOf(host)) {
          this->Send(host, state.exchange->Tick(this->ClockOf(host)));
        }
      }
    }
  }

  // 100 first attempts a second.
  void Serve(HostId host, Duration duration) {
    for (const TimePoint end = this->now + duration; this->now < end;) {
      this->Budget(host).RecordFirstAttempt(this->ClockOf(host));
      this->Advance(milliseconds(10));
    }
  }

  // Another 2 s of requests at the host add nothing to a window that is used up.
  void AssertNothingLeft(HostId host) {
    this->Serve(host, seconds(2));
    CPPUNIT_ASSERT(this->SpendAll(host) <= 2);
  }

  int SpendAll(HostId host) {
    int spent = 0;
    while (this->Budget(host).TryRetry(this->ClockOf(host))) {
      ++spent;
    }
    return spent;
  }

  TimePoint now;
  RetryLimits limits;
  std::vector<HostId> ranking;
  std::map<HostId, Host> hosts;
  std::vector<Delivery> in_flight;
  int messages_sent = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryUsageExchangeTest);

}  // namespace
}  // namespace pimentopin
