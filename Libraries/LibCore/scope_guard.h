#pragma once

#include <functional>
#include <utility>

namespace pimentopin {

// Calls a function at the end of the scope unless dismissed.
class ScopeGuard {
 public:
  explicit ScopeGuard(std::function<void()> cleanup) : cleanup(std::move(cleanup)) {}
  ~ScopeGuard() {
    if (this->cleanup) {
      this->cleanup();
    }
  }
  ScopeGuard(const ScopeGuard&) = delete;
  ScopeGuard& operator=(const ScopeGuard&) = delete;

  void Dismiss() { this->cleanup = nullptr; }

 private:
  std::function<void()> cleanup;
};

}  // namespace pimentopin
