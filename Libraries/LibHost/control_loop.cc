#include "Libraries/LibHost/control_loop.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>

#include <utility>

namespace pimentopin {

Alarm::Alarm(asio::io_context& context, std::function<void()> task)
    : timer(context), task(std::move(task)) {}

void Alarm::Set(TimePoint when) {
  if (when == TimePoint::max() || (this->due && *this->due <= when)) {
    return;
  }
  this->due = when;
  this->StartTimer();
}

void Alarm::StartTimer() {
  this->timer.expires_at(std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          this->due->time_since_epoch())));
  this->timer.async_wait([this](const asio::error_code& error) {
    if (error) {
      return;
    }
    this->due.reset();
    this->task();
  });
}

std::unique_ptr<Alarm> ControlLoop::CreateAlarm(std::function<void()> task) {
  return std::make_unique<Alarm>(this->io_context, std::move(task));
}

void ControlLoop::Post(std::function<void()> task) {
  asio::post(this->io_context, std::move(task));
}

void ControlLoop::RunPeriodically(Duration period, std::function<void()> task) {
  this->periodic_tasks.push_back(std::make_unique<PeriodicTask>(
      PeriodicTask{period, std::move(task), asio::steady_timer(this->io_context)}));
  this->Schedule(*this->periodic_tasks.back());
}

void ControlLoop::RunAfter(Duration delay, std::function<void()> task) {
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
