/** Source of randomness handed to the decision core by its host. */
#pragma once

#include <random>

namespace camphorfield {

using Rng = std::mt19937_64;

} // namespace camphorfield
