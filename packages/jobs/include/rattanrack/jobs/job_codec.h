#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/jobs/job.h"
#include "rattanrack/jobs/job_progress.h"

#include <string>

/// The bytes of jobs and their progress in rows of the store and in messages between nodes (CBOR). Unknown fields are
/// ignored, missing ones have their default.
namespace rattanrack::jobs {

std::string encode(const Job& job);

/// Errors: MalformedMessage (not CBOR, wrong types, or not a possible job).
Result<Job> decodeJob(const std::string& bytes);

std::string encode(const StoredProgress& progress);

/// Errors: MalformedMessage.
Result<StoredProgress> decodeProgress(const std::string& bytes);

} // namespace rattanrack::jobs
