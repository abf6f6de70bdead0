#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace pimentopin {

// Bound on the sum of the request bodies that a server holds. Thread-safe.
class BodyBudget {
 public:
  // Bodies up to this size may use the whole budget. Larger ones leave a part of it free.
  static constexpr std::size_t kSmallBodyBytes = 64 << 10;

  explicit BodyBudget(std::size_t max_bytes) : max_bytes(max_bytes) {}

  // Size in bytes of the largest body that fits.
  std::size_t max_body_bytes() const;
  std::size_t held_bytes() const { return this->held; }

 private:
  friend class BodyReservation;

  // Reserves `additional_bytes` more for a body that then has `body_bytes`; false if they do not
  // fit.
  bool TryReserve(std::size_t additional_bytes, std::size_t body_bytes);
  void Release(std::size_t bytes) { this->held -= bytes; }
  // Bytes that bodies larger than kSmallBodyBytes may fill.
  std::size_t max_bytes_with_large_bodies() const;

  const std::size_t max_bytes;
  std::atomic<std::size_t> held = 0;
};

// Part of a budget that one body holds; released on destruction.
class BodyReservation {
 public:
  BodyReservation() = default;
  explicit BodyReservation(std::shared_ptr<BodyBudget> budget);
  ~BodyReservation();
  BodyReservation(BodyReservation&& other) noexcept;
  BodyReservation& operator=(BodyReservation&& other) noexcept;

  // Reserves the bytes of a body of this size beyond those that are already reserved; false,
  // without effect, if they do not fit.
  bool GrowTo(std::size_t body_bytes);

 private:
  std::shared_ptr<BodyBudget> budget;
  std::size_t bytes = 0;
};

}  // namespace pimentopin
