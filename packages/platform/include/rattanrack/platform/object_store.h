#pragma once

#include "rattanrack/base/error.h"

#include <string>

namespace rattanrack::platform {

/// Interface of the platform's object store: large values by name, last writer wins. Thread-safe.
class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    /// Errors: Unavailable (not stored), OutcomeUnknown (may have been stored; a retry is harmless).
    virtual Result<void> put(const std::string& name, const std::string& value) = 0;

    /// Errors: NotFound, Unavailable.
    virtual Result<std::string> read(const std::string& name) = 0;
};

} // namespace rattanrack::platform
