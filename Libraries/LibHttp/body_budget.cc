#include "Libraries/LibHttp/body_budget.h"

#include <algorithm>
#include <utility>

namespace pimentopin {
namespace {

// Part of the budget that large bodies leave free: a few callers whose uploads take long must not
// keep all others from sending ordinary requests.
constexpr std::size_t kReservedDivisor = 8;

}  // namespace

std::size_t BodyBudget::max_bytes_with_large_bodies() const {
  return this->max_bytes - this->max_bytes / kReservedDivisor;
}

std::size_t BodyBudget::max_body_bytes() const {
  return std::max(this->max_bytes_with_large_bodies(), std::min(this->max_bytes, kSmallBodyBytes));
}

bool BodyBudget::TryReserve(std::size_t additional_bytes, std::size_t body_bytes) {
  const std::size_t limit =
      body_bytes <= kSmallBodyBytes ? this->max_bytes : this->max_bytes_with_large_bodies();
  std::size_t current = this->held;
  do {
    if (current > limit || additional_bytes > limit - current) {
      return false;
    }
  } while (!this->held.compare_exchange_weak(current, current + additional_bytes));
  return true;
}

BodyReservation::BodyReservation(std::shared_ptr<BodyBudget> budget) : budget(std::move(budget)) {}

BodyReservation::~BodyReservation() {
  if (this->budget) {
    this->budget->Release(this->bytes);
  }
}

BodyReservation::BodyReservation(BodyReservation&& other) noexcept
    : budget(std::move(other.budget)), bytes(std::exchange(other.bytes, 0)) {}

BodyReservation& BodyReservation::operator=(BodyReservation&& other) noexcept {
  std::swap(this->budget, other.budget);
  std::swap(this->bytes, other.bytes);
  return *this;
}

bool BodyReservation::GrowTo(std::size_t body_bytes) {
  if (body_bytes <= this->bytes) {
    return true;
  }
  if (!this->budget || !this->budget->TryReserve(body_bytes - this->bytes, body_bytes)) {
    return false;
  }
  this->bytes = body_bytes;
  return true;
}

}  // namespace pimentopin
