// Starts the loops that a VM runs for as long as it lives.
#ifndef MAGNOLIATIDE_SRC_NODE_CONTROL_TASK_H
#define MAGNOLIATIDE_SRC_NODE_CONTROL_TASK_H

#include "magnoliatide/core/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace magnoliatide::node {

/// The pause before a task that failed starts again.
constexpr Duration kTaskRestartDelay = Seconds(1);

/// Runs a task on the event loop, without waiting for it. If the task ends with
/// an exception, logs it and starts the task again after a pause: detached
/// coroutines end silently otherwise.
void
StartControlTask(boost::asio::io_context& aLoop,
                 std::string aName,
                 std::function<boost::asio::awaitable<void>()> aTask,
                 Duration aRestartDelay = kTaskRestartDelay);

} // namespace magnoliatide::node

#endif
