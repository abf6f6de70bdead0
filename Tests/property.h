#pragma once

#include <cppunit/TestAssert.h>
#include <rapidcheck.h>

#include <iostream>
#include <sstream>
#include <string>

namespace pimentopin {

// Runs a property with a fixed seed and states how many cases were run, so
// that an empty run cannot pass for a test.
template <typename Property>
void CheckProperty(const std::string& name, int wanted_cases, Property property) {
  int cases = 0;
  rc::detail::TestParams parameters;
  parameters.seed = 20261204;
  parameters.maxSuccess = wanted_cases;
  rc::detail::TestMetadata metadata;
  metadata.id = name;
  metadata.description = name;
  const auto result = rc::detail::checkTestable(
      [&] {
        ++cases;
        property();
      },
      metadata, parameters);
  std::cout << name << ": " << cases << " cases\n";
  if (!result.template is<rc::detail::SuccessResult>()) {
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    CPPUNIT_FAIL(text.str());
  }
  CPPUNIT_ASSERT(cases >= wanted_cases);
}

}  // namespace pimentopin
