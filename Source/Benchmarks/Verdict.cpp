// Prints figures and checks their medians against bounds.
#include "Verdict.h"

#include <algorithm>
#include <cstdio>

namespace Benchmarks {

namespace {

    std::string summary(std::vector<double> values)
    {
        std::sort(values.begin(), values.end());
        char text[96];
        const double low = values.empty() ? 0 : values.front();
        const double high = values.empty() ? 0 : values.back();
        std::snprintf(text, sizeof text, "%10.4g  [%.4g .. %.4g, %zu seeds]", median(values), low, high, values.size());
        return text;
    }

} // namespace

Verdict::Verdict(const std::string& title) { std::printf("== %s\n", title.c_str()); }

void Verdict::note(const std::string& name, std::vector<double> values)
{
    std::printf("   %-58s %s\n", name.c_str(), summary(std::move(values)).c_str());
}

void Verdict::atLeast(const std::string& name, std::vector<double> values, double bound)
{
    const bool met = median(values) >= bound;
    printAndCount(name, std::move(values), ">=", bound, met);
}

void Verdict::atMost(const std::string& name, std::vector<double> values, double bound)
{
    const bool met = median(values) <= bound;
    printAndCount(name, std::move(values), "<=", bound, met);
}

void Verdict::printAndCount(
    const std::string& name, std::vector<double> values, const char* relation, double bound, bool met)
{
    m_missed += met ? 0 : 1;
    std::printf("%s %-58s %s  bound %s %.4g\n", met ? "ok  " : "MISS", name.c_str(), summary(std::move(values)).c_str(),
        relation, bound);
}

double median(std::vector<double> values) { return quantile(std::move(values), 0.5); }

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto position = static_cast<size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position), values.end());
    return values[position];
}

std::vector<double> ratios(const std::vector<double>& a, const std::vector<double>& b)
{
    std::vector<double> result;
    for (size_t i = 0; i < a.size() && i < b.size(); ++i)
        result.push_back(b[i] > 0 ? a[i] / b[i] : 0);
    return result;
}

} // namespace Benchmarks
