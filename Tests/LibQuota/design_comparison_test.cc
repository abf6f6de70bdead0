#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <iomanip>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "Libraries/LibCore/random_source.h"

namespace pimentopin {
namespace {

// Compares ways to share a quota by what exceeds it and by what is refused below it. Policies only:
// links, messages and the store are delays. docs/design/quotas.md has the table of a run.

constexpr double kStep = 0.01;
constexpr double kWindow = 5;
constexpr double kEnd = 36;
constexpr std::size_t kHosts = 87;

struct Bucket {
  double rate = 0;
  double capacity = 0;
  double level = 0;

  void Refill(double seconds) {
    this->level = std::min(this->capacity, this->level + this->rate * seconds);
  }
  bool Take() {
    const bool taken = this->level >= 1;
    this->level -= taken ? 1 : 0;
    return taken;
  }
};

struct HostState {
  bool up = true;
  bool connected = true;
};

class Policy {
 public:
  virtual ~Policy() = default;
  // Called each step, before the requests of the step.
  virtual void Advance(double now, const std::vector<HostState>& hosts) = 0;
  virtual bool Admit(std::size_t host) = 0;
};

// `count` holders with a part each, under leases: a holder that is lost is replaced at the end of
// its lease or by its restart, with an empty bucket.
class Parts : public Policy {
 public:
  Parts(std::size_t count, double rate, double burst)
      : buckets(count,
                Bucket{rate / static_cast<double>(count), burst / static_cast<double>(count) + 3}),
        back_at(count, 0) {
    for (Bucket& bucket : this->buckets) {
      bucket.level = bucket.capacity;
    }
  }
  void Advance(double now, const std::vector<HostState>& state) override {
    this->hosts = state;
    this->time = now;
    for (std::size_t part = 0; part < this->buckets.size(); ++part) {
      if (!state[this->HolderOf(part)].up) {
        this->back_at[part] = now + 1;
        this->buckets[part].level = 0;
      } else if (now >= this->back_at[part]) {
        this->buckets[part].Refill(kStep);
      }
    }
  }
  bool Admit(std::size_t host) override {
    for (std::size_t step = 0; step < this->buckets.size(); ++step) {
      const std::size_t part = (host + step) % this->buckets.size();
      const std::size_t holder = this->HolderOf(part);
      const bool reachable =
          holder == host || (this->hosts[host].connected && this->hosts[holder].connected);
      if (reachable && this->hosts[holder].up && this->time >= this->back_at[part] &&
          this->buckets[part].Take()) {
        return true;
      }
    }
    return false;
  }

 private:
  // The hosts with the lowest numbers are killed or cut off, that of a single granter included.
  std::size_t HolderOf(std::size_t part) const { return part * kHosts / this->buckets.size(); }

  std::vector<Bucket> buckets;
  std::vector<double> back_at;
  std::vector<HostState> hosts;
  double time = 0;
};

// Each host has the whole bucket, and takes out of it what others report each 100 ms.
class ExchangedUsage : public Policy {
 public:
  ExchangedUsage(double rate, double burst)
      : buckets(kHosts, Bucket{rate, burst, burst}), used(kHosts, 0) {}
  void Advance(double now, const std::vector<HostState>& hosts) override {
    for (std::size_t host = 0; host < kHosts; ++host) {
      this->buckets[host].Refill(kStep);
      if (!hosts[host].up) {
        this->buckets[host].level = 0;
        this->used[host] = 0;
      }
    }
    if (now < this->next_exchange) {
      return;
    }
    this->next_exchange = now + 0.1;
    for (std::size_t from = 0; from < kHosts; ++from) {
      if (!hosts[from].connected) {
        continue;
      }
      for (std::size_t to = 0; to < kHosts; ++to) {
        if (to != from && hosts[to].connected) {
          this->buckets[to].level -= this->used[from];
        }
      }
      this->used[from] = 0;
    }
  }
  bool Admit(std::size_t host) override {
    const bool admitted = this->buckets[host].Take();
    this->used[host] += admitted ? 1 : 0;
    return admitted;
  }

 private:
  std::vector<Bucket> buckets;
  std::vector<double> used;
  double next_exchange = 0;
};

// Each host has a share by its demand, set each second; one that is cut off keeps its share for the
// 14 s of a lease, in which nobody else gets it.
class DemandShares : public Policy {
 public:
  DemandShares(double rate, double burst)
      : rate(rate), burst(burst), buckets(kHosts), demand(kHosts, 1), leased_until(kHosts, 0) {}
  void Advance(double now, const std::vector<HostState>& hosts) override {
    for (std::size_t host = 0; host < kHosts; ++host) {
      this->buckets[host].Refill(kStep);
      if (!hosts[host].up || (!hosts[host].connected && now > this->leased_until[host])) {
        this->buckets[host] = {};
      }
    }
    if (now < this->next_shares) {
      return;
    }
    this->next_shares = now + 1;
    double free = this->rate;
    double total = 0;
    const auto gets_share = [&](std::size_t host) {
      return hosts[host].up && hosts[host].connected;
    };
    for (std::size_t host = 0; host < kHosts; ++host) {
      if (gets_share(host)) {
        total += this->demand[host] + 0.1;
      } else if (now <= this->leased_until[host]) {
        free -= this->shares_of_absent(host);
      }
    }
    for (std::size_t host = 0; host < kHosts; ++host) {
      if (gets_share(host)) {
        const double share = std::max(free, 0.0) * (this->demand[host] + 0.1) / total;
        Bucket& bucket = this->buckets[host];
        bucket.rate = share;
        bucket.capacity = std::max(this->burst * share / this->rate, 1.0);
        bucket.level = std::min(bucket.level, bucket.capacity);
        this->leased_until[host] = now + 14;
        this->last_share.resize(kHosts, 0);
        this->last_share[host] = share;
      }
      this->demand[host] *= 0.5;
    }
  }
  bool Admit(std::size_t host) override {
    this->demand[host] += 0.5;
    return this->buckets[host].Take();
  }

 private:
  double shares_of_absent(std::size_t host) const {
    return host < this->last_share.size() ? this->last_share[host] : 0;
  }

  double rate;
  double burst;
  std::vector<Bucket> buckets;
  std::vector<double> demand;
  std::vector<double> leased_until;
  std::vector<double> last_share;
  double next_shares = 0;
};

struct Outcome {
  // Largest number admitted in a window, as a share of the bound of the rule.
  double peak = 0;
  // Share of what one undisturbed bucket with the quota admits from 20 s on that was not admitted.
  double lost = 0;
};

enum class Condition { kQuiet, kHot, kKilled, kCut, kCutAndHot };

Outcome Play(Policy& policy, double rate, double burst, Condition condition) {
  RandomSource random(1);
  Bucket ideal{rate, burst, burst};
  std::deque<double> admitted;
  Outcome outcome;
  double owed = 0;
  double served = 0;
  for (double now = 0; now < kEnd; now += kStep) {
    std::vector<HostState> hosts(kHosts);
    const bool disturbed = now >= 20 && now < 29;
    for (std::size_t host = 0; host < kHosts; ++host) {
      hosts[host].up =
          condition != Condition::kKilled || now < 20 || now >= 22 || host >= kHosts * 55 / 100;
      hosts[host].connected =
          (condition != Condition::kCut && condition != Condition::kCutAndHot) || !disturbed ||
          host >= kHosts * 35 / 100;
    }
    policy.Advance(now, hosts);
    ideal.Refill(kStep);
    const bool hot = (condition == Condition::kHot || condition == Condition::kCutAndHot) &&
                     now >= 20 && now < 26;
    const double per_step = rate / 1.6 * (hot ? 7.5 : 1) * kStep;
    const int requests = std::poisson_distribution<int>(per_step)(random.generator());
    for (int request = 0; request < requests; ++request) {
      const std::size_t host = random.Below(kHosts);
      if (!hosts[host].up) {
        continue;
      }
      const bool counts = now >= 20;
      const bool is_admitted = policy.Admit(host);
      owed += ideal.Take() && counts ? 1 : 0;
      served += is_admitted && counts ? 1 : 0;
      if (is_admitted) {
        admitted.push_back(now);
      }
    }
    while (!admitted.empty() && admitted.front() < now - kWindow) {
      admitted.pop_front();
    }
    const double bound = (rate * kWindow + burst) * 1.1 + 20;
    outcome.peak = std::max(outcome.peak, static_cast<double>(admitted.size()) / bound);
  }
  outcome.lost = owed > 0 ? std::max(owed - served, 0.0) / owed : 0;
  return outcome;
}

class DesignComparisonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DesignComparisonTest);
  CPPUNIT_TEST(TestChosenDesignExceedsTheQuotaOrLosesMoreThanOneGranter);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestChosenDesignExceedsTheQuotaOrLosesMoreThanOneGranter() {
    for (const double rate : {2.5, 20.0, 300.0}) {
      for (const auto& [condition, name] :
           {std::pair(Condition::kQuiet, "quiet"), std::pair(Condition::kHot, "hot"),
            std::pair(Condition::kKilled, "killed"), std::pair(Condition::kCut, "cut"),
            std::pair(Condition::kCutAndHot, "cut and hot")}) {
        const double burst = rate;
        Parts parts(4, rate, burst);
        Parts granter(1, rate, burst);
        ExchangedUsage exchanged(rate, burst);
        DemandShares shares(rate, burst);
        const Outcome chosen = Play(parts, rate, burst, condition);
        const Outcome one = Play(granter, rate, burst, condition);
        Print(rate, name, "leases of 4 parts", chosen);
        Print(rate, name, "one granter", one);
        Print(rate, name, "exchanged usage", Play(exchanged, rate, burst, condition));
        Print(rate, name, "shares by demand", Play(shares, rate, burst, condition));
        CPPUNIT_ASSERT(chosen.peak <= 1);
        CPPUNIT_ASSERT(chosen.lost <= one.lost + 0.001);
      }
    }
  }

 private:
  static void Print(double rate,
                    const char* condition,
                    const char* design,
                    const Outcome& outcome) {
    std::cout << std::fixed << std::setprecision(3) << "quota " << rate << "/s, " << condition
              << ", " << design << ": peak " << outcome.peak << " of the bound, lost "
              << outcome.lost << "\n";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DesignComparisonTest);

}  // namespace
}  // namespace pimentopin
