// Prints the figures of a scenario over all seeds beside their bounds, and records whether all bounds were met.
#pragma once

#include <string>
#include <vector>

namespace Benchmarks {

/// Each figure is a list of one value per seed. Its median, which the bound applies to, and its extremes are printed.
class Verdict {
public:
    /// `title` names the scenario and what is measured: processes, or decisions under a virtual clock.
    explicit Verdict(const std::string& title);

    /// Prints a figure without a bound.
    static void note(const std::string& name, std::vector<double> values);
    void atLeast(const std::string& name, std::vector<double> values, double bound);
    void atMost(const std::string& name, std::vector<double> values, double bound);
    /// Exit code of the program: zero when every median met its bound, else 1.
    int exitCode() const { return m_missed == 0 ? 0 : 1; }

private:
    void printAndCount(
        const std::string& name, std::vector<double> values, const char* relation, double bound, bool met);

    int m_missed = 0;
};

double median(std::vector<double>);
/// The value below which `share` (0 to 1) of the values lie; zero when there are none.
double quantile(std::vector<double>, double share);
/// Returns a[i] / b[i] for each i, or zero where b[i] is not positive.
std::vector<double> ratios(const std::vector<double>& a, const std::vector<double>& b);

} // namespace Benchmarks
