#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace pimentopin {

// Bound on the bytes of target responses that a host holds because callers have not read them yet.
// Thread-safe.
class ResponseBudget {
 public:
  // Bytes that a response may hold at most, and in any case.
  static constexpr std::size_t kMaxPerResponse = 256 << 10;
  static constexpr std::size_t kMinPerResponse = 16 << 10;
  static constexpr std::size_t kDefaultMaxBytes = 64 << 20;

  explicit ResponseBudget(std::size_t max_bytes) : max_bytes(max_bytes) {}

  // Bytes that one response may hold before reading from its target is paused. Falls as the budget
  // fills, so that the slowest callers' responses are paused first and others still find room.
  std::size_t MaxPerResponse() const;
  std::size_t held_bytes() const { return this->held; }
  // Times at which a response was paused that would not have been with an empty budget.
  std::size_t early_pauses() const { return this->early_pause_count; }
  void RecordEarlyPause() { ++this->early_pause_count; }

 private:
  friend class ResponseReservation;

  const std::size_t max_bytes;
  std::atomic<std::size_t> held = 0;
  std::atomic<std::size_t> early_pause_count = 0;
};

// Bytes that one response holds; released on destruction.
class ResponseReservation {
 public:
  explicit ResponseReservation(std::shared_ptr<ResponseBudget> response_budget);
  ~ResponseReservation();
  ResponseReservation(const ResponseReservation&) = delete;
  ResponseReservation& operator=(const ResponseReservation&) = delete;

  // Always succeeds: bytes that have been read from a target are held in any case.
  void Set(std::size_t held_bytes);

 private:
  const std::shared_ptr<ResponseBudget> budget;
  std::size_t bytes = 0;
};

}  // namespace pimentopin
