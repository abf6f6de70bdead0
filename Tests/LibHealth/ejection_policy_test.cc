#include "Libraries/LibHealth/ejection_policy.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace pimentopin {
namespace {

using Candidates = std::vector<EjectionCandidate>;

std::uint32_t TotalUsableSlots(const Candidates& candidates) {
  std::uint32_t total = 0;
  for (const EjectionCandidate& candidate : candidates) {
    total += candidate.usable_slots;
  }
  return total;
}

Candidates Apply(Candidates candidates, const std::vector<EjectionDecision>& decisions) {
  for (const EjectionDecision& decision : decisions) {
    EjectionCandidate& candidate = candidates[decision.index];
    const bool eject = decision.change == EjectionChange::kEject;
    candidate.ejected = eject;
    candidate.usable_slots = eject ? 0 : candidate.slots;
  }
  return candidates;
}

rc::Gen<EjectionCandidate> AnyCandidate() {
  return rc::gen::map(rc::gen::tuple(rc::gen::inRange(1, 5), rc::gen::inRange(0, 5),
                                     rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 600)),
                      [](const std::tuple<int, int, bool, int>& drawn) {
                        const auto [slots, usable, suspect, severity] = drawn;
                        EjectionCandidate candidate;
                        candidate.slots = static_cast<std::uint32_t>(slots);
                        candidate.usable_slots =
                            static_cast<std::uint32_t>(std::min(slots, usable));
                        candidate.ejected = candidate.usable_slots == 0;
                        candidate.suspect = suspect;
                        candidate.severity = severity / 100.0;
                        return candidate;
                      });
}

class EjectionPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EjectionPolicyTest);
  CPPUNIT_TEST(TestNeverEjectsBelowFloor);
  CPPUNIT_TEST(TestLeastSevereTargetsStayInService);
  CPPUNIT_TEST(TestDecisionsAreStable);
  CPPUNIT_TEST(TestTargetOnProbationReplacesMoreSevereTarget);
  CPPUNIT_TEST(TestKeepsOneSlotWithoutFloor);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Property P1: for any input, the usable slots end at or above the floor, unless all
  // targets together have fewer.
  void TestNeverEjectsBelowFloor() {
    CPPUNIT_ASSERT(rc::check("usable slots stay at the floor", [] {
      const auto candidates = *rc::gen::container<Candidates>(AnyCandidate());
      const auto floor = static_cast<std::uint32_t>(*rc::gen::inRange(0, 30));
      const Candidates after = Apply(candidates, EjectionPolicy(floor).Decide(candidates));
      std::uint32_t slots = 0;
      for (const EjectionCandidate& candidate : candidates) {
        slots += candidate.slots;
      }
      RC_ASSERT(TotalUsableSlots(after) >= std::min(slots, floor));
    }));
  }

  // Guards against a worse target staying in service while a less severe one of the
  // same size stays ejected.
  void TestLeastSevereTargetsStayInService() {
    CPPUNIT_ASSERT(rc::check("least severe targets stay in service", [] {
      auto candidates = *rc::gen::container<Candidates>(AnyCandidate());
      for (EjectionCandidate& candidate : candidates) {
        candidate.slots = 2;
        candidate.usable_slots = candidate.ejected ? 0 : 2;
      }
      const auto floor = static_cast<std::uint32_t>(*rc::gen::inRange(0, 20));
      // Two rounds, because one round does not eject what it has reinstated.
      Candidates after = Apply(candidates, EjectionPolicy(floor).Decide(candidates));
      after = Apply(after, EjectionPolicy(floor).Decide(after));
      for (const EjectionCandidate& kept : after) {
        for (const EjectionCandidate& ejected : after) {
          if (!kept.ejected && kept.suspect && ejected.ejected) {
            RC_ASSERT(kept.severity <= ejected.severity + EjectionPolicy::kSwapSeverityMargin);
          }
        }
      }
    }));
  }

  // Guards against endless swaps between two suspects at the floor.
  void TestDecisionsAreStable() {
    CPPUNIT_ASSERT(rc::check("decisions become stable", [] {
      Candidates candidates = *rc::gen::container<Candidates>(AnyCandidate());
      const auto floor = static_cast<std::uint32_t>(*rc::gen::inRange(0, 30));
      const EjectionPolicy policy(floor);
      for (std::size_t round = 0; round <= 2 * candidates.size() + 2; ++round) {
        candidates = Apply(candidates, policy.Decide(candidates));
      }
      RC_ASSERT(policy.Decide(candidates).empty());
    }));
  }

  // Guards against a failing target that keeps its slots because the floor counts only the
  // one slot of a less severe target on probation.
  void TestTargetOnProbationReplacesMoreSevereTarget() {
    const EjectionCandidate healthy{3, 3, false, false, 0.0};
    const EjectionCandidate on_probation{3, 1, false, false, 0.5};
    const EjectionCandidate failing{3, 3, false, true, 4.5};
    const std::vector<EjectionDecision> expected = {{1, EjectionChange::kReinstate},
                                                    {2, EjectionChange::kEject}};
    CPPUNIT_ASSERT(EjectionPolicy(6).Decide({healthy, on_probation, failing}) == expected);
  }

  // Guards against a service without a configured floor losing all of its targets.
  void TestKeepsOneSlotWithoutFloor() {
    const EjectionCandidate suspect{3, 3, false, true, 2.0};
    const auto decisions = EjectionPolicy(0).Decide({suspect, suspect, suspect});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decisions.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EjectionPolicyTest);

}  // namespace
}  // namespace pimentopin
