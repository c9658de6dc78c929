#pragma once

#include "rattanrack/base/error.h"

#include <string>

namespace rattanrack::platform {

/// Port to the platform's object store: large values by name, last writer wins. Safe from several threads.
class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    /// Errors: Unavailable (not stored), OutcomeUnknown (perhaps stored; storing again is harmless).
    virtual Result<void> put(const std::string& name, const std::string& value) = 0;

    /// Errors: NotFound, Unavailable.
    virtual Result<std::string> read(const std::string& name) = 0;
};

} // namespace rattanrack::platform
