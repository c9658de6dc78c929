#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/node/pending_request.h"

#include <string>

namespace rattanrack::node {

/// A submission as read from its JSON body.
struct Submission {
    CallerRequest request;
    bool waits { true }; ///< The caller holds the connection until the answer is there.
};

/// Reads the body of POST /v1/requests; docs/API.md describes the fields. Errors: InvalidArgument, with the first field
/// that is wrong and what was expected.
Result<Submission> parseSubmission(const std::string& body, TimePoint now);

/// The JSON text for an answer.
std::string answerBody(const RequestId& id, const Answer& answer);

/// The JSON text for a request whose answer is not there yet.
std::string pendingBody(const RequestId& id);

/// The JSON text for a call that was wrong in itself.
std::string errorBody(const Error& error);

/// HTTP status that goes with an answer.
int httpStatus(const Answer& answer);

} // namespace rattanrack::node
