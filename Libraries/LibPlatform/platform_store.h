#pragma once

#include "Libraries/LibPlatform/object_store.h"
#include "Libraries/LibPlatform/row_feed.h"
#include "Libraries/LibPlatform/table_store.h"

namespace pimentopin {

// All interfaces of the platform's store.
class PlatformStore : public TableStore, public ObjectStore, public RowFeed {
 public:
  using ObjectStore::List;
  using RowFeed::List;
};

}  // namespace pimentopin
