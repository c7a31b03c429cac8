#pragma once

/// \file
/// Visitors for std::variant, built from lambdas.

namespace cornelfront {

/// Overload set of \p Functions for std::visit.
template<class... Functions>
struct Visitor : Functions...
{
  using Functions::operator()...;
};

template<class... Functions>
Visitor(Functions...) -> Visitor<Functions...>;

} // namespace cornelfront
