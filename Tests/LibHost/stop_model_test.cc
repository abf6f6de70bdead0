#include "Tests/LibHost/stop_model.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

#include "Libraries/LibHttp/http_client.h"
#include "Tests/property.h"

namespace pimentopin {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kGrace = seconds(6);
constexpr Duration kConnectTimeout = HttpClientSettings().connect_timeout;
// Requests of one model, few enough that the dispatcher looks for their next deadline.
constexpr std::size_t kBatch = 60;
constexpr std::array<Duration, 3> kCheckPhases = {milliseconds(0), milliseconds(10),
                                                  milliseconds(49)};

// Counts the faults of the orders of one test.
class Walk {
 public:
  explicit Walk(std::string walk_name) : name(std::move(walk_name)) {}

  void Run(const ModelOrder& order, const std::vector<ModelRequest>& requests) {
    for (std::size_t first = 0; first < requests.size(); first += kBatch) {
      const auto begin = requests.begin() + static_cast<std::ptrdiff_t>(first);
      const std::size_t size = std::min(kBatch, requests.size() - first);
      this->RunBatch(order, {begin, begin + static_cast<std::ptrdiff_t>(size)});
    }
  }

  // Returns whether there was no fault.
  bool RunBatch(const ModelOrder& order, const std::vector<ModelRequest>& requests) {
    const std::vector<ModelFault> found = StopModel(order, requests).Run();
    this->orders += found.size();
    for (std::size_t index = 0; index < found.size(); ++index) {
      if (found[index] == ModelFault::kNone) {
        continue;
      }
      Entry& entry = this->faults[found[index]];
      if (entry.count++ == 0) {
        std::ostringstream text;
        text << order << "; " << requests[index];
        entry.first = text.str();
      }
    }
    return std::ranges::all_of(found, [](ModelFault fault) { return fault == ModelFault::kNone; });
  }

  // Counts of the faults, and the first order that led to each.
  std::string Text() const {
    std::ostringstream text;
    text << this->name << ": " << this->orders << " orders";
    for (const auto& [fault, entry] : this->faults) {
      text << "; " << entry.count << " " << ModelFaultName(fault) << ", the first: " << entry.first;
    }
    return text.str();
  }

  // Fails if there are other faults than the expected ones, or if one of these is missing.
  void Check(const std::set<ModelFault>& expected) const {
    std::set<ModelFault> found;
    for (const auto& [fault, entry] : this->faults) {
      found.insert(fault);
    }
    std::cout << this->Text() << "\n";
    CPPUNIT_ASSERT_MESSAGE(this->Text(), found == expected);
  }

 private:
  struct Entry {
    std::size_t count = 0;
    std::string first;
  };

  const std::string name;
  std::size_t orders = 0;
  std::map<ModelFault, Entry> faults;
};

// What targets do with a request that is sent at `sent`, and when it gets a slot.
std::vector<ModelRequest> Shapes(Duration sent) {
  std::vector<ModelRequest> shapes;
  for (const int work_ms : {100, 760, 1900}) {
    shapes.push_back({.attempts = {{.work = milliseconds(work_ms)}}});
  }
  for (const int end_ms : {4600, 4990, 5200, 5600}) {
    if (milliseconds(end_ms) > sent) {
      shapes.push_back({.attempts = {{.work = milliseconds(end_ms) - sent}}});
    }
  }
  shapes.push_back({.attempts = {{.work = milliseconds(400), .body = seconds(4)}}});
  shapes.push_back(
      {.slot_free_at = sent + milliseconds(1500), .attempts = {{.work = milliseconds(300)}}});
  shapes.push_back({.slot_free_at = milliseconds(5350), .attempts = {{.work = milliseconds(300)}}});
  shapes.push_back({.slot_free_at = seconds(20), .attempts = {{.work = milliseconds(300)}}});
  for (const AttemptResult result :
       {AttemptResult::kShed, AttemptResult::kServerError, AttemptResult::kConnectFailure}) {
    shapes.push_back({.attempts = {{result, milliseconds(300)}, {.work = seconds(1)}}});
  }
  shapes.push_back({.attempts = {{AttemptResult::kConnectFailure, kConnectTimeout}}});
  for (ModelRequest& shape : shapes) {
    shape.sent = sent;
  }
  return shapes;
}

std::vector<ModelRequest> Requests(const std::vector<Duration>& sent_times) {
  std::vector<ModelRequest> requests;
  for (const Duration sent : sent_times) {
    for (const bool idempotent : {true, false}) {
      for (const Duration budget :
           {milliseconds(800), milliseconds(2000), milliseconds(4000), milliseconds(9000)}) {
        for (ModelRequest& shape : Shapes(sent)) {
          shape.idempotent = idempotent;
          shape.budget = budget;
          requests.push_back(std::move(shape));
        }
      }
    }
  }
  return requests;
}

const std::vector<ModelRequest>& AllRequests() {
  static const std::vector<ModelRequest> requests =
      Requests({-milliseconds(500), -milliseconds(1), milliseconds(1), milliseconds(1500),
                milliseconds(2990), milliseconds(3001), milliseconds(3100), milliseconds(3700),
                milliseconds(4700), milliseconds(5400), milliseconds(5900)});
  return requests;
}

// Orders with these pauses, of the process and of its control thread, in both orders of timers and
// messages.
std::vector<ModelOrder> Orders(const std::vector<std::vector<std::pair<Duration, Duration>>>& all) {
  std::vector<ModelOrder> orders;
  for (const auto& pauses : all) {
    for (const bool whole_process : {true, false}) {
      for (const bool timers_first : {true, false}) {
        ModelOrder order{.check_phase = kCheckPhases.at(orders.size() % kCheckPhases.size()),
                         .timers_first = timers_first};
        for (const auto& [begin, end] : pauses) {
          order.pauses.push_back({begin, end, whole_process});
        }
        orders.push_back(std::move(order));
      }
    }
  }
  return orders;
}

std::set<Duration> StepsOf(const ModelOrder& order, const ModelRequest& request) {
  StopModel model(order, {request});
  model.Run();
  return {model.steps().begin(), model.steps().end()};
}

class StopModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopModelTest);
  CPPUNIT_TEST(TestRequestIsLostWithoutPause);
  CPPUNIT_TEST(TestRequestIsLostIfThePausePreventsHandlingTheSignal);
  CPPUNIT_TEST(TestQueuedRequestIsLostAlthoughTheSignalWasSeen);
  CPPUNIT_TEST(TestRequestIsLostAfterAPauseOfTheStop);
  CPPUNIT_TEST(TestRequestIsLostBetweenRepeatedPauses);
  CPPUNIT_TEST(TestPauseUntilTheKillLosesMoreThanItMust);
  CPPUNIT_TEST(TestRequestIsLostIfAPauseBeginsAtAnyStep);
  CPPUNIT_TEST(TestRequestIsLostIfAStopIsAnnouncedTwice);
  CPPUNIT_TEST(TestRequestIsLostWhenAPauseIsForgotten);
  CPPUNIT_TEST(TestRequestIsLostAmongMany);
  CPPUNIT_TEST(TestRequestIsLostInARandomOrder);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that a host accepts or starts too late, or breaks off too soon.
  void TestRequestIsLostWithoutPause() {
    Walk walk("stops without pause");
    for (const Duration phase : kCheckPhases) {
      for (const bool brokered : {false, true}) {
        walk.Run({.check_phase = phase, .brokered = brokered}, AllRequests());
      }
    }
    walk.Check({});
  }

  // Guards against limits that count from when the host handles the signal, or that a host which
  // does not know when it was sent sets too early.
  void TestRequestIsLostIfThePausePreventsHandlingTheSignal() {
    std::vector<std::vector<std::pair<Duration, Duration>>> pauses;
    for (const int length_ms : {30, 120, 350, 800, 2000, 5000}) {
      const Duration length = milliseconds(length_ms);
      for (const Duration begin : {-length + milliseconds(1), -length / 2, Duration(-1), Duration(),
                                   Duration(microseconds(50))}) {
        pauses.push_back({{begin, begin + length}});
      }
    }
    Walk walk("pauses across the signal");
    for (const ModelOrder& order : Orders(pauses)) {
      walk.Run(order, AllRequests());
    }
    walk.Check({});
  }

  // Guards against requests that are cut in the queue of their target, because the thread that
  // handles the signal does not know when it was sent although others have seen it pending.
  void TestQueuedRequestIsLostAlthoughTheSignalWasSeen() {
    std::vector<ModelRequest> requests;
    for (const int sent_ms : {-500, -1, 1, 2000}) {
      for (const int queued_ms : {100, 3000, 20'000}) {
        requests.push_back({.sent = milliseconds(sent_ms),
                            .budget = seconds(9),
                            .attempts = {{.work = seconds(1), .queued = milliseconds(queued_ms)}}});
      }
    }
    Walk walk("queued requests");
    for (const int length_ms : {0, 800, 1500, 2000, 3500}) {
      for (const int begin_ms : {-1200, -400, -20}) {
        const Duration begin = milliseconds(begin_ms);
        const Duration end = begin + milliseconds(length_ms);
        walk.Run({.pauses = {{begin, end, false}}}, requests);
        // No thread sees the signal in a pause of the process. If it is longer than the last sixth
        // of the grace, which is the time in which work of targets may be ended, the host does not
        // know of any such time before it may be killed.
        if (milliseconds(length_ms) < kGrace / 6) {
          walk.Run({.pauses = {{begin, end, true}}}, requests);
        }
      }
    }
    walk.Check({});
  }

  // Guards against answers that are not given, or replace those of targets, after a pause within
  // the stop.
  void TestRequestIsLostAfterAPauseOfTheStop() {
    std::vector<std::vector<std::pair<Duration, Duration>>> pauses;
    for (const int length_ms : {60, 350, 1500}) {
      for (Duration begin = seconds(2); begin < kGrace; begin += milliseconds(350)) {
        if (begin + milliseconds(length_ms) < kGrace) {
          pauses.push_back({{begin, begin + milliseconds(length_ms)}});
        }
      }
    }
    Walk walk("pauses of the stop");
    for (const ModelOrder& order : Orders(pauses)) {
      walk.Run(order, AllRequests());
    }
    walk.Check({});
  }

  // Guards against requests that a host loses whose processor time is limited in each period.
  void TestRequestIsLostBetweenRepeatedPauses() {
    Walk walk("repeated pauses");
    for (const auto& [period_ms, runs_ms] :
         std::vector<std::pair<int, int>>{{100, 20}, {250, 50}, {400, 80}, {900, 300}}) {
      for (int offset = 0; offset < 5; ++offset) {
        std::vector<std::pair<Duration, Duration>> pauses;
        const Duration period = milliseconds(period_ms);
        for (Duration begin = -seconds(2) + offset * period / 5; begin < kGrace; begin += period) {
          const Duration end = begin + period - milliseconds(runs_ms);
          // A pause until the kill is another matter.
          if (end < kGrace) {
            pauses.emplace_back(begin, end);
          }
        }
        for (const ModelOrder& order : Orders({pauses})) {
          walk.Run(order, AllRequests());
        }
      }
    }
    walk.Check({});
  }

  // Guards against more losses than these of a host that does not run again before it is killed.
  // All are requests that it must accept: sent before the signal, or idempotent and sent in the
  // first half of the grace.
  // - Their target ends its work in the pause, before the last sixth of the grace.
  // - They are read when the pause begins, or later if only the control thread pauses. Another
  //   thread could refuse the latter.
  // - They wait for a slot or a connection when the pause begins, which is before such waits end.
  //   Shorter waits would refuse requests at each stop.
  void TestPauseUntilTheKillLosesMoreThanItMust() {
    std::vector<std::vector<std::pair<Duration, Duration>>> pauses;
    for (Duration begin = -milliseconds(500); begin < kGrace; begin += milliseconds(250)) {
      pauses.push_back({{begin, kGrace}});
    }
    Walk walk("pauses until the kill");
    for (const ModelOrder& order : Orders(pauses)) {
      walk.Run(order, AllRequests());
    }
    walk.Check({ModelFault::kNoTimeToAnswer, ModelFault::kWaitedAtTheEnd});
  }

  // Guards against two steps of a stop that must not be separated.
  void TestRequestIsLostIfAPauseBeginsAtAnyStep() {
    Walk walk("pauses at each step");
    const std::vector<ModelRequest> requests =
        Requests({-milliseconds(300), -microseconds(50), milliseconds(3030)});
    for (std::size_t index = 0; index < requests.size(); index += 7) {
      const bool brokered = index % 2 == 0;
      std::vector<std::vector<std::pair<Duration, Duration>>> pauses;
      for (const Duration step : StepsOf({.brokered = brokered}, requests[index])) {
        for (const Duration begin : {step, step + Duration(1)}) {
          for (const int length_ms : {2, 60, 330, 800, 1700}) {
            if (begin + milliseconds(length_ms) < kGrace) {
              pauses.push_back({{begin, begin + milliseconds(length_ms)}});
            }
          }
        }
      }
      for (ModelOrder& order : Orders(pauses)) {
        order.brokered = brokered;
        walk.RunBatch(order, {requests[index]});
      }
    }
    walk.Check({});
  }

  // Guards against a second signal, or a signal after an operator has stopped the host, that moves
  // the limits.
  void TestRequestIsLostIfAStopIsAnnouncedTwice() {
    Walk walk("stops that are announced twice");
    for (const auto& pause : std::vector<std::pair<Duration, Duration>>{
             {-milliseconds(300), milliseconds(200)}, {milliseconds(2500), milliseconds(3200)}}) {
      for (ModelOrder& order : Orders({{pause}})) {
        for (const Duration again : {milliseconds(10), milliseconds(2600), milliseconds(5000)}) {
          order.drained_at.reset();
          order.second_signal_at = again;
          walk.Run(order, AllRequests());
          order.second_signal_at.reset();
          order.drained_at = milliseconds(100) - again / 3;
          walk.Run(order, AllRequests());
        }
      }
    }
    walk.Check({});
  }

  // Guards against requests that are accepted for longer than the limits of a stop, which follow
  // from an earlier pause, allow.
  void TestRequestIsLostWhenAPauseIsForgotten() {
    Walk walk("stops in which a pause is forgotten");
    const std::vector<ModelRequest> requests =
        Requests({milliseconds(1500), milliseconds(3100), milliseconds(3700), milliseconds(4700)});
    for (const Duration forgotten_at : {milliseconds(500), milliseconds(3000)}) {
      const Duration history = 2 * PauseMonitor::kWindow - forgotten_at;
      for (ModelOrder& order : Orders({{{-history + seconds(1), -history + seconds(2)}}})) {
        order.history = history;
        walk.Run(order, requests);
      }
    }
    walk.Check({});
  }

  // Guards against requests that are ended late by a dispatcher that does not look for the next
  // deadline, as it has many.
  void TestRequestIsLostAmongMany() {
    Walk walk("many requests");
    const std::vector<ModelRequest>& all = AllRequests();
    const std::vector<ModelRequest> requests(all.begin(), all.begin() + 400);
    walk.RunBatch({}, requests);
    for (const ModelOrder& order :
         Orders({{{-milliseconds(300), milliseconds(200)}}, {{seconds(5), milliseconds(5800)}}})) {
      walk.RunBatch(order, requests);
    }
    walk.Check({});
  }

  // Guards against losses in orders that no grid has.
  void TestRequestIsLostInARandomOrder() {
    Walk walk("random orders");
    CheckProperty("stops in a random order", 5000, [&walk] {
      const auto time = [](int from, int to) {
        return Duration(milliseconds(*rc::gen::inRange(from, to)));
      };
      ModelOrder order{.check_phase = time(0, 50),
                       .timers_first = *rc::gen::arbitrary<bool>(),
                       .brokered = *rc::gen::arbitrary<bool>()};
      const int pauses = *rc::gen::inRange(0, 5);
      for (int index = 0; index < pauses; ++index) {
        const Duration begin = time(-2000, 5900);
        const Duration end = std::min<Duration>(begin + time(1, 1500), kGrace - milliseconds(1));
        order.pauses.push_back({begin, end, *rc::gen::arbitrary<bool>()});
      }
      std::vector<ModelRequest> requests;
      for (int index = 0; index < 8; ++index) {
        ModelRequest request{.sent = time(-1500, 6000),
                             .budget = time(100, 10'000),
                             .idempotent = *rc::gen::arbitrary<bool>()};
        if (*rc::gen::arbitrary<bool>()) {
          request.slot_free_at = request.sent + time(0, 3000);
        }
        for (const AttemptResult result :
             {*rc::gen::element(AttemptResult::kSuccess, AttemptResult::kShed,
                                AttemptResult::kServerError, AttemptResult::kConnectionLost,
                                AttemptResult::kConnectFailure),
              AttemptResult::kSuccess}) {
          request.attempts.push_back({result, time(1, 6000), time(0, 2) * 500});
        }
        requests.push_back(std::move(request));
      }
      if (!walk.RunBatch(order, requests)) {
        RC_FAIL(walk.Text());
      }
    });
    walk.Check({});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopModelTest);

}  // namespace
}  // namespace pimentopin
