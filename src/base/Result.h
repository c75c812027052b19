// Defines Result, a value or the Error that kept it from coming about.
#pragma once

#include "base/Error.h"

#include <boost/outcome.hpp>

namespace cranberry {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// A value or an Error. Reading the side that is absent ends the process: it is a
/// programming fault, never a condition of the outside.
template <typename T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

} // namespace cranberry
