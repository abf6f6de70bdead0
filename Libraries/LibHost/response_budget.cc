#include "Libraries/LibHost/response_budget.h"

#include <algorithm>
#include <utility>

namespace pimentopin {
namespace {

// Part of the free budget that one response may hold. With n slow callers, n / (n + 8) of the
// budget is in use.
constexpr std::size_t kFreeDivisor = 8;

}  // namespace

std::size_t ResponseBudget::MaxPerResponse() const {
  const std::size_t free = this->max_bytes - std::min(this->max_bytes, this->held.load());
  return std::clamp(free / kFreeDivisor, kMinPerResponse, kMaxPerResponse);
}

ResponseReservation::ResponseReservation(std::shared_ptr<ResponseBudget> response_budget)
    : budget(std::move(response_budget)) {}

ResponseReservation::~ResponseReservation() {
  this->Set(0);
}

void ResponseReservation::Set(std::size_t held_bytes) {
  if (held_bytes > this->bytes) {
    this->budget->held += held_bytes - this->bytes;
  } else {
    this->budget->held -= this->bytes - held_bytes;
  }
  this->bytes = held_bytes;
}

}  // namespace pimentopin
