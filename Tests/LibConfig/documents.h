#pragma once

#include <nlohmann/json.hpp>

namespace pimentopin::documents {

// Returns a valid document with every kind of entry except routes, for tests to modify.
inline nlohmann::json Valid() {
  return nlohmann::json::parse(R"({
    "organisations": [{"name": "wheels", "labels": {"region": "accra"}}, {"name": "lifts"}],
    "callers": [{"name": "desk-1", "organisation": "wheels", "labels": {"role": "front-desk"}},
                {"name": "desk-2", "organisation": "lifts"}],
    "services": [{"name": "parts", "floor_slots": 4, "deadline_ms": 2000, "queue_limit": 200},
                 {"name": "booking", "floor_slots": 0, "deadline_ms": 3000, "queue_limit": 50}],
    "targets": [
      {"name": "parts-1", "service": "parts", "address": "127.0.0.1:9001", "domain": "accra-a",
       "slots": 3, "connections": 300, "labels": {"tier": "stock"}, "leaving": false},
      {"name": "parts-2", "service": "parts", "address": "127.0.0.1:9002", "domain": "accra-b",
       "slots": 3, "connections": 300, "labels": {"tier": "archive"}},
      {"name": "booking-1", "service": "booking", "address": "[::1]:9003", "domain": "accra-a",
       "slots": 2, "connections": 10}],
    "access": [
      {"callers": {"match_labels": {"organisation": "wheels"}},
       "targets": {"match_expressions": [{"key": "tier", "operator": "In", "values": ["stock"]}]},
       "services": ["parts"]},
      {"callers": {"match_expressions": [{"key": "role", "operator": "Exists"}]}, "targets": {}}],
    "work": [
      {"services": ["booking"], "methods": ["POST"], "path_prefix": "/bookings", "callers": {},
       "idempotent": false, "long": false, "deadline_ms": 5000, "affinity": false},
      {"path_prefix": "/large", "idempotent": true, "long": true},
      {"services": ["parts"], "idempotent": true, "affinity": true}],
    "request_limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})");
}

}  // namespace pimentopin::documents
