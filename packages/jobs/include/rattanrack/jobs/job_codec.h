#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/jobs/job.h"
#include "rattanrack/jobs/job_progress.h"

#include <string>

/// CBOR encoding of jobs and their progress, in rows of the store and in messages between nodes. Unknown fields are
/// ignored. A job without `attempts`, as earlier versions stored it, gets the default; any other missing field is an
/// error.
namespace rattanrack::jobs {

std::string encode(const Job& job);

/// Errors: MalformedMessage (not CBOR, a missing field, a wrong type or an invalid job).
Result<Job> decodeJob(const std::string& bytes);

std::string encode(const StoredProgress& progress);

/// Errors: MalformedMessage.
Result<StoredProgress> decodeProgress(const std::string& bytes);

} // namespace rattanrack::jobs
