#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace pimentopin {

// An immutable value that the control thread replaces and any thread may read.
template <typename T>
class Snapshot {
 public:
  using Observer = std::function<void(const T&)>;

  // Null until the first Write().
  std::shared_ptr<const T> Read() const { return this->value.load(); }

  // Control thread only. Runs the observers before it returns. No effect if `next` equals
  // the current value.
  void Write(T next) {
    const auto before = this->value.load();
    if (before && *before == next) {
      return;
    }
    const auto after = std::make_shared<const T>(std::move(next));
    this->value.store(after);
    for (const Observer& observer : this->observers) {
      observer(*after);
    }
  }

  // Control thread only.
  void Observe(Observer observer) { this->observers.push_back(std::move(observer)); }

 private:
  std::atomic<std::shared_ptr<const T>> value;
  std::vector<Observer> observers;
};

}  // namespace pimentopin
