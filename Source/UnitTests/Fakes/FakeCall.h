// A call over the fake network: request, answer, time limit, and the callback exactly once.
#pragma once

#include "Common/Result.h"
#include "Fakes/FakeNetwork.h"
#include "Fakes/FakeProcess.h"

#include <functional>
#include <memory>
#include <string>

namespace Fakes {

enum class Delivery {
    /// A request over one connection, which is never sent again by itself.
    AtMostOnce,
    MayRepeat,
};

/// `serve` runs at the receiver, maybe twice, maybe after the time limit; it hands its answer to its argument.
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
