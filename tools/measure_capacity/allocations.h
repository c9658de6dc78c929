#pragma once

#include <cstdint>

namespace rattanrack::capacity {

/// Bytes that the program holds from the allocator now, as the allocator counts them.
std::int64_t liveBytes();

/// Processor seconds that the calling thread has used.
double threadSeconds();

} // namespace rattanrack::capacity
