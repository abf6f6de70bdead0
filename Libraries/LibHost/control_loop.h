#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// One-shot timer that runs a task at the earliest time set since the last run.
class Alarm {
 public:
  Alarm(asio::io_context& context, std::function<void()> task);
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;

  // No effect if an earlier time is already set. TimePoint::max() means never.
  void Set(TimePoint when);

 private:
  void StartTimer();

  asio::steady_timer timer;
  std::function<void()> task;
  std::optional<TimePoint> due;
};

// Event loop of the control thread, which makes all decisions of a host.
class ControlLoop {
 public:
  ControlLoop() = default;
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  // Runs `task` on the control thread. Callable from any thread.
  void Post(std::function<void()> task);
  // Runs `task` every `period` until the loop stops. Missed runs are skipped.
  void RunPeriodically(Duration period, std::function<void()> task);
  // Runs `task` once after `delay`. Call on the control thread only.
  void RunAfter(Duration delay, std::function<void()> task);

  // `task` runs on the control thread.
  std::unique_ptr<Alarm> CreateAlarm(std::function<void()> task);

  // Blocks until Stop().
  void Run();
  void Stop();

  asio::io_context& context() { return this->io_context; }

 private:
  struct PeriodicTask {
    Duration period;
    std::function<void()> task;
    asio::steady_timer timer;
  };

  void Schedule(PeriodicTask& periodic);

  asio::io_context io_context{1};
  std::vector<std::unique_ptr<PeriodicTask>> periodic_tasks;
};

}  // namespace pimentopin
