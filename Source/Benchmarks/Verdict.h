// Prints figures over seeds beside their bounds and remembers whether all were met.
#pragma once

#include <string>
#include <vector>

namespace Benchmarks {

/// A figure over all seeds; `median` and the extremes are printed.
class Verdict {
public:
    /// `title` names the scenario and says what ran: processes, or decisions under a virtual clock.
    explicit Verdict(const std::string& title);

    /// A figure without a bound.
    static void note(const std::string& name, std::vector<double> values);
    void atLeast(const std::string& name, std::vector<double> values, double bound);
    void atMost(const std::string& name, std::vector<double> values, double bound);
    /// The program's exit code: zero when every median met its bound.
    int exitCode() const { return m_missed == 0 ? 0 : 1; }

private:
    void judge(const std::string& name, std::vector<double> values, const char* relation, double bound, bool met);

    int m_missed = 0;
};

double median(std::vector<double>);
/// The value below which `share` of the values lie; zero when there are none.
double quantile(std::vector<double>, double share);
/// a[i] / b[i].
std::vector<double> ratios(const std::vector<double>& a, const std::vector<double>& b);

} // namespace Benchmarks
