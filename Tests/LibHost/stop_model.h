#pragma once

#include <csignal>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "Libraries/LibCore/pause_monitor.h"
#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibCore/scoped_signal_mask.h"
#include "Libraries/LibCore/signal_timestamp.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/host_dispatcher.h"
#include "Libraries/LibHost/stop_admission.h"

namespace pimentopin {

// All times of the model count from the moment at which the platform sends the signal.

// A time in which the process, or its control thread alone, does not run.
struct ModelPause {
  Duration begin{};
  Duration end{};
  bool whole_process = true;

  friend bool operator==(const ModelPause&, const ModelPause&) = default;
};

struct ModelOrder {
  std::vector<ModelPause> pauses;
  // Time of a run of the periodic check, at or after the signal.
  Duration check_phase{};
  // What is due when a thread runs again: timers or messages first.
  bool timers_first = true;
  // Slots are granted by a broker on another host.
  bool brokered = false;
  // When an operator stops the host; never if empty.
  std::optional<Duration> drained_at;
  std::optional<Duration> second_signal_at;
  Duration grace = std::chrono::seconds(6);
  // Time for which the host runs before the signal.
  Duration history = std::chrono::milliseconds(2500);

  friend bool operator==(const ModelOrder&, const ModelOrder&) = default;
};

// What a target does with an attempt.
struct ModelAttempt {
  AttemptResult result = AttemptResult::kSuccess;
  // Until the response begins, or the connection fails.
  Duration work{};
  // From the beginning of the response to its end.
  Duration body{};
  // In the queue of the target, before its work.
  Duration queued{};

  friend bool operator==(const ModelAttempt&, const ModelAttempt&) = default;
};

struct ModelRequest {
  // When its last byte is in the kernel of the host.
  Duration sent{};
  Duration budget{};
  bool idempotent = true;
  // No attempt can start before.
  Duration slot_free_at = Duration::min();
  // The last one is repeated.
  std::vector<ModelAttempt> attempts;

  friend bool operator==(const ModelRequest&, const ModelRequest&) = default;
};

// How the rule LOST, or the promise of a refusal, is broken.
enum class ModelFault : std::uint8_t {
  kNone,
  // Passed on, and no whole answer.
  kNoAnswer,
  // Read, not passed on, and no answer.
  kNotPassedOnNoAnswer,
  // The host's own answer, or none, in place of one at which a target worked.
  kBrokenOff,
  // Not passed on although it waited for no slot, and told so late.
  kLateRefusal,
  // Refused before the platform has announced that it ends the host.
  kRefusedWithoutNeed,
  kToldNotRun,
  // The host's own answer in place of one that its target had given in time.
  kAnswerReplaced,
  // Not answered: its target ended its work, or it was read, when the host, or its control thread,
  // no longer ran.
  kNoTimeToAnswer,
  // Not answered: it waited for a slot or a connection when the host ran for the last time, which
  // was before the end of such waits.
  kWaitedAtTheEnd,
};

std::string ModelFaultName(ModelFault fault);
std::ostream& operator<<(std::ostream& stream, const ModelOrder& order);
std::ostream& operator<<(std::ostream& stream, const ModelRequest& request);

// One stop of a host in virtual time, with the decisions of the product and a model of what is
// around them: the threads, the clients, the targets and the platform that ends the host. One
// instance at a time.
class StopModel {
 public:
  // What happened to a request.
  struct Course {
    struct Attempt {
      AttemptResult result{};
      // When the target received it; empty if it never did.
      std::optional<Duration> passed_on;
      Duration target_begin{};
      // When the target ends its work by itself.
      Duration target_end{};
      // When the host broke it off.
      std::optional<Duration> broken_off;
      bool ended = false;

      friend bool operator==(const Attempt&, const Attempt&) = default;
    };

    std::optional<Duration> read;
    bool refused = false;
    std::vector<Attempt> attempts;
    // The answer is complete, or the connection was closed.
    std::optional<Duration> ended;
    bool closed = false;
    Outcome outcome{};

    friend bool operator==(const Course&, const Course&) = default;
  };

  StopModel(ModelOrder model_order, std::vector<ModelRequest> model_requests);
  ~StopModel();
  StopModel(const StopModel&) = delete;
  StopModel& operator=(const StopModel&) = delete;

  // Returns a fault for each request.
  std::vector<ModelFault> Run();
  const std::vector<Course>& courses() const { return this->all_courses; }
  // Times at which something other than the periodic check was done, until the host was killed.
  const std::vector<Duration>& steps() const { return this->all_steps; }

 private:
  static constexpr int kStopSignal = SIGUSR1;
  // Of Host.
  static constexpr Duration kCheckInterval = std::chrono::milliseconds(50);

  enum class Thread : std::uint8_t { kTraffic, kControl, kOutside };
  // Order of what is due at once on a thread.
  enum class Kind : std::uint8_t { kSignal, kFirst, kMessage, kLast };
  struct Event {
    TimePoint due;
    Kind kind{};
    std::uint64_t sequence = 0;
    Thread thread{};
    std::function<void()> task;
  };
  struct IsLater {
    bool operator()(const Event& left, const Event& right) const;
  };

  void At(TimePoint due, Thread thread, Kind kind, std::function<void()> task);
  void Post(Thread thread, std::function<void()> task);
  // Runs the task of a timer of the control thread.
  void AtTimer(TimePoint due, std::function<void()> task);
  TimePoint RunsFrom(Thread thread, TimePoint time) const;
  Duration Elapsed() const;

  // The following do what Host does, the first two on a signal and in its periodic check.
  std::optional<StopAdmission> CurrentStop() const;
  void CheckRunning();
  void OnSignal();
  void SetHostEnd(const HostEnd& end);
  void Raise();
  void HandlePendingSignal();
  void OnRequest(std::size_t index);

  // The following do what DispatchController does.
  void Reschedule();
  void Execute(const std::vector<DispatchAction>& actions);
  void Execute(const SendToHost& action);
  void Execute(const StartAttempt& action);
  void Execute(const CancelAttempt& action);
  void Execute(const ForwardResponse& action);
  void Execute(const FinishRequest& action);

  void PassOn(AttemptId attempt, std::size_t index, std::size_t number);
  void EndAttempt(AttemptId attempt,
                  std::size_t index,
                  std::size_t number,
                  AttemptResult result,
                  bool sent);
  void OnSlotRequest(HostId broker, const SlotRequest& request);
  void SendView(HostId broker, AttemptId attempt, Duration until);
  void SendGrant(HostId broker, AttemptId attempt, std::size_t index);

  ModelFault Judge(std::size_t index) const;
  // Time that the attempts of a request took that did not reach a target.
  Duration ConnectTime(std::size_t index) const;
  bool MayBeBrokenOff(const ModelRequest& request, Duration time) const;
  // When the control thread has run for `time` since `from`.
  Duration AfterRunning(Duration from, Duration time) const;
  // First moment from which the host does not run until it is killed.
  Duration LastRun() const;

  const ModelOrder order;
  const std::vector<ModelRequest> requests;
  std::vector<Course> all_courses;
  std::vector<Duration> all_steps;
  TimePoint now;
  std::uint64_t next_sequence = 0;
  std::priority_queue<Event, std::vector<Event>, IsLater> events;

  static inline const StopModel* playing = nullptr;
  // One thread plays all of them. The signal waits until the control thread runs.
  const ScopedSignalMask blocked_signal{SIG_BLOCK, {kStopSignal}};
  SignalTimestamp stop_signal{{kStopSignal}, [] { return playing->now; }};
  std::optional<TimePoint> drained_at;
  PauseMonitor pauses{kCheckInterval};
  HostEnd host_end;
  RandomSource random{1};
  std::unique_ptr<HostDispatcher> dispatcher;
  std::optional<TimePoint> alarm;
  // Numbers of requests and their attempts.
  std::map<AttemptId, std::pair<std::size_t, std::size_t>> attempts;
  std::map<AttemptId, HostId> waiting_at_broker;
};

}  // namespace pimentopin
