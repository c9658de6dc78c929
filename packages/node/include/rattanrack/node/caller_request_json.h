#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/node/pending_request.h"

#include <string>

namespace rattanrack::node {

/// A submission as read from its JSON body.
struct Submission {
    CallerRequest request;
    /// The caller keeps the connection open until the answer is there.
    bool waits { true };
};

/// Parses the body of POST /v1/requests; docs/API.md describes the fields. Errors: InvalidArgument, with the first
/// invalid field and what was expected.
Result<Submission> parseSubmission(const std::string& body, TimePoint now);

/// Returns the response body for an answer.
std::string answerBody(const RequestId& id, const Answer& answer);

/// Returns the response body for a request without an answer yet.
std::string pendingBody(const RequestId& id);

/// Returns the response body for an invalid call.
std::string errorBody(const Error& error);

/// Returns the HTTP status for an answer.
int httpStatus(const Answer& answer);

} // namespace rattanrack::node
