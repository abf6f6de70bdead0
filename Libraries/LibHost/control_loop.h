#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <vector>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// The single thread of all decisions: an io_context with periodic tasks.
class ControlLoop {
 public:
  ControlLoop() = default;
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  // Runs `task` on the control thread; callable from any thread.
  void Post(std::function<void()> task);
  // Runs `task` every `period` until the loop stops. A late run is not made up for.
  void Every(Duration period, std::function<void()> task);
  // Runs `task` once after `delay`. Control thread only.
  void After(Duration delay, std::function<void()> task);

  // Runs until Stop.
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
