#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibCore/error.h"

namespace pimentopin {

enum class ListedState { kLive, kLeaving };
enum class ListedKind { kHost, kTarget };

struct ListedHost {
  std::string name;
  // Peer address of a host, service address of a target; IP:port.
  std::string address;
  ListedState state = ListedState::kLive;
  ListedKind kind = ListedKind::kHost;

  friend bool operator==(const ListedHost&, const ListedHost&) = default;
};

// Lagging list of live and leaving hosts. Callbacks run on the control thread.
class HostList {
 public:
  using ListCallback = std::function<void(std::optional<std::vector<ListedHost>>, const Error&)>;
  using RegisterCallback = std::function<void(bool registered, const Error&)>;

  virtual ~HostList() = default;
  virtual void List(ListCallback callback) = 0;
  virtual void Register(const ListedHost& host, RegisterCallback callback) = 0;
};

}  // namespace pimentopin
