#pragma once

#include "base/Error.h"

#include <boost/outcome.hpp>

namespace cranberry {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// A value or the Error that prevented it. Reading the absent alternative terminates the process,
/// because it is a programming error and not caused by external conditions.
template <typename T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

} // namespace cranberry
