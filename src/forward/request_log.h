// Log lines and counters of sends to servers.
#ifndef MAGNOLIATIDE_SRC_FORWARD_REQUEST_LOG_H
#define MAGNOLIATIDE_SRC_FORWARD_REQUEST_LOG_H

#include "request.h"
#include "sender.h"

namespace magnoliatide::forward {

/// Logs the decision to send a request to a server.
void
LogSend(const ForwarderParams& aParams,
        const Request& aRequest,
        const Decision& aDecision);

/// Logs and counts the end of a send.
void
RecordSendEnd(const ForwarderParams& aParams,
              const Request& aRequest,
              const std::string& aServer,
              const SendEnd& aEnd);

} // namespace magnoliatide::forward

#endif
