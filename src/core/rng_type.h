/** Random number generator that the host passes to the decision core. */
#pragma once

#include <random>

namespace camphorfield {

using Rng = std::mt19937_64;

} // namespace camphorfield
