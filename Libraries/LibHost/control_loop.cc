#include "Libraries/LibHost/control_loop.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>

#include <utility>

namespace pimentopin {

void ControlLoop::Post(std::function<void()> task) {
  asio::post(this->io_context, std::move(task));
}

void ControlLoop::Every(Duration period, std::function<void()> task) {
  this->periodic_tasks.push_back(std::make_unique<PeriodicTask>(
      PeriodicTask{period, std::move(task), asio::steady_timer(this->io_context)}));
  this->Schedule(*this->periodic_tasks.back());
}

void ControlLoop::After(Duration delay, std::function<void()> task) {
  auto timer = std::make_shared<asio::steady_timer>(this->io_context, delay);
  timer->async_wait([timer, task = std::move(task)](const asio::error_code& error) {
    if (!error) {
      task();
    }
  });
}

void ControlLoop::Schedule(PeriodicTask& periodic) {
  periodic.timer.expires_after(periodic.period);
  periodic.timer.async_wait([this, &periodic](const asio::error_code& error) {
    if (error) {
      return;
    }
    periodic.task();
    this->Schedule(periodic);
  });
}

void ControlLoop::Run() {
  const auto guard = asio::make_work_guard(this->io_context);
  this->io_context.run();
}

void ControlLoop::Stop() {
  this->io_context.stop();
}

}  // namespace pimentopin
