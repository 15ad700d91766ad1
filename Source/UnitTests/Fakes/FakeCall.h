// Simulates a call over the fake network: request, answer and timeout. The callback runs exactly once.
// The fake ports and stores make their calls with it.
#pragma once

#include "Common/Result.h"
#include "Fakes/FakeNetwork.h"
#include "Fakes/FakeProcess.h"

#include <functional>
#include <memory>
#include <string>

namespace Fakes {

enum class Delivery {
    /// One request over one connection; the network never delivers it twice.
    AtMostOnce,
    /// The network may deliver the request twice.
    MayRepeat,
};

/// `serve` runs at the receiver and passes its answer to its argument. It may run twice, or after the timeout.
/// `done` gets the first answer, or Timeout after `timeout`.
template <typename Value>
void callOver(FakeNetwork& network, FakeProcess& caller, const std::string& from, const std::string& to,
    Common::Duration timeout, std::function<void(Common::Callback<Value>)> serve, Common::Callback<Value> done,
    Delivery delivery = Delivery::MayRepeat)
{
    const auto finish = [done, isDone = std::make_shared<bool>(false)](const Common::Result<Value>& result) {
        if (!std::exchange(*isDone, true))
            done(result);
    };
    caller.schedule(timeout, [finish] { finish(Common::Failure { Common::ErrorCode::Timeout, "", std::nullopt }); });
    const auto deliver = [&network, &caller, from, to, serve, finish] {
        serve([&network, &caller, from, to, finish](const Common::Result<Value>& result) {
            network.send(to, from, [&caller, finish, result] { caller.post([finish, result] { finish(result); }); });
        });
    };
    if (delivery == Delivery::AtMostOnce)
        network.sendOnce(from, to, deliver);
    else
        network.send(from, to, deliver);
}

} // namespace Fakes
