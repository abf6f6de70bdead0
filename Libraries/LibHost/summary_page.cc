#include "Libraries/LibHost/summary_page.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "Libraries/LibReport/summary.h"

namespace pimentopin {
namespace {

constexpr std::size_t kMaxPageEntries = 200;

using PageCallback = std::function<void(std::optional<SummaryPage>, const Error&)>;

struct PageState {
  ObjectStore& objects;
  std::vector<std::string> keys;
  SummaryPage page;
  PageCallback callback;
};

void ReadNext(const std::shared_ptr<PageState>& state) {
  const std::size_t index = state->page.summaries.size();
  if (index == state->keys.size()) {
    state->callback(std::move(state->page), Error{});
    return;
  }
  state->objects.Get(state->keys[index], [state, index](const auto& content, const Error& error) {
    if (!content) {
      state->callback(std::nullopt, error);
      return;
    }
    state->page.summaries.push_back({state->keys[index], *content});
    ReadNext(state);
  });
}

}  // namespace

void ReadSummaryPage(ObjectStore& objects,
                     const std::string& month,
                     const std::string& after,
                     PageCallback callback) {
  objects.List(SummaryPrefix(month), [&objects, after, callback = std::move(callback)](
                                         const auto& listed, const Error& error) {
    if (!listed) {
      callback(std::nullopt, error);
      return;
    }
    std::vector<std::string> keys = *listed;
    std::erase_if(keys, [&after](const std::string& key) { return key <= after; });
    std::sort(keys.begin(), keys.end());
    auto state = std::make_shared<PageState>(PageState{objects, {}, {}, callback});
    if (keys.size() > kMaxPageEntries) {
      keys.resize(kMaxPageEntries);
      state->page.next = keys.back();
    }
    state->keys = std::move(keys);
    ReadNext(state);
  });
}

}  // namespace pimentopin
