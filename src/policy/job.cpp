// Names and properties of send results.
#include "magnoliatide/policy/job.h"

namespace magnoliatide::policy {

bool
SendReport::HasBegun() const
{
  return result == SendResult::kWhole || (toFirstEvent > Duration::zero() &&
                                          toEnd - toFirstEvent >= kBeginTime);
}

const char*
Name(SendResult aResult)
{
  switch (aResult) {
    case SendResult::kWhole:
      return "whole";
    case SendResult::kFailed:
      return "failed";
    case SendResult::kCut:
      return "cut";
    case SendResult::kSilent:
      return "silent";
    case SendResult::kCancelled:
      return "cancelled";
    case SendResult::kNotRun:
      return "not-run";
    case SendResult::kFull:
      return "full";
    case SendResult::kMoved:
      return "moved";
    case SendResult::kNotSent:
      return "not-sent";
    case SendResult::kUnreachable:
      return "no-way";
  }
  return "unknown";
}

} // namespace magnoliatide::policy
