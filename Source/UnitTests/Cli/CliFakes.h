// A fake transport with scripted answers, and a fixture that runs commands against it.
#pragma once

#include "Cli/Commands.h"
#include "Cli/HttpCall.h"
#include "Cli/Session.h"
#include "Cli/Transport.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace CliFakes {

using Common::ErrorCode;
using Common::Failure;
using Common::Result;

inline Cli::HttpReply reply(int status, const std::string& body, std::map<std::string, std::string> headers = {})
{
    return Cli::HttpReply { status, std::move(headers), body };
}

inline Cli::HttpReply errorReply(int status, const std::string& code)
{
    return reply(status, R"({"error": {"code": ")" + code + R"(", "message": "because"}, "retryAfterMs": 250})",
        { { "x-outcome", "not-run" } });
}

class Transport final : public Cli::Transport {
public:
    struct Sent {
        std::string address;
        Cli::HttpCall call;
        nlohmann::json body() const { return nlohmann::json::parse(call.body); }
    };
    using Answer = std::function<Result<Cli::HttpReply>(const Sent&)>;

    /// Answers calls whose "METHOD target" begins with `start`, at `address` or, if that is empty, at every address.
    /// The first matching answer wins; calls without one fail with ConnectFailed.
    void on(const std::string& start, Answer answer, const std::string& address = {})
    {
        m_answers.push_back({ start, address, std::move(answer) });
    }
    void on(const std::string& start, const Cli::HttpReply& answer, const std::string& address = {})
    {
        on(
            start, [answer](const Sent&) { return Result<Cli::HttpReply>(answer); }, address);
    }
    void fail(const std::string& start, ErrorCode code, const std::string& address = {})
    {
        on(
            start, [code](const Sent&) { return Result<Cli::HttpReply>(Failure { .code = code }); }, address);
    }

    Result<Cli::HttpReply> send(const std::string& address, const Cli::HttpCall& call) override
    {
        sent.push_back(Sent { address, call });
        const std::string line = call.method + " " + call.target;
        for (const Rule& rule : m_answers) {
            if (line.compare(0, rule.start.size(), rule.start) == 0
                && (rule.address.empty() || rule.address == address))
                return rule.answer(sent.back());
        }
        return Failure { .code = ErrorCode::ConnectFailed };
    }

    std::vector<Sent> sent;

private:
    struct Rule {
        std::string start;
        std::string address;
        Answer answer;
    };
    std::vector<Rule> m_answers;
};

/// Runs commands. Time advances only in sleep().
struct CommandFixture {
    Transport transport;
    std::vector<std::string> daemons { "a:1", "b:1" };
    std::map<std::string, std::string> files;
    std::ostringstream output;
    std::ostringstream errors;
    Common::MonotonicTime now {};

    Cli::ExitCode run(const std::string& command, std::vector<std::string> arguments = {}, Cli::Options options = {})
    {
        Cli::DaemonClient client(transport, daemons);
        Cli::Session session { client, std::move(options), std::move(arguments), output, errors,
            [this](const std::string& path) {
                const auto found = files.find(path);
                return found == files.end() ? std::nullopt : std::optional(found->second);
            },
            [](const std::string& prefix) { return prefix + "-made-up"; }, [this] { return now; },
            [this](Common::Duration duration) { now += duration; } };
        return Cli::runCommand(command, session);
    }
};

} // namespace CliFakes
