#include "measure.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <new>
#include <numeric>

#include <malloc.h>

namespace {

std::size_t held = 0; // single-threaded: no need to guard it

} // namespace

void *operator new(std::size_t size)
{
    void *memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    held += malloc_usable_size(memory);
    return memory;
}

void operator delete(void *memory) noexcept
{
    held -= memory == nullptr ? 0 : malloc_usable_size(memory);
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    operator delete(memory);
}

namespace baobabstall::capacity {

std::size_t heapBytes()
{
    return held;
}

double cpuMicroseconds()
{
    constexpr double microsecondsPerSecond = 1e6;
    return static_cast<double>(std::clock()) * microsecondsPerSecond / CLOCKS_PER_SEC;
}

double Series::slope() const
{
    const auto count = static_cast<double>(sizes.size());
    const double meanSize = std::accumulate(sizes.begin(), sizes.end(), 0.0) / count;
    const double meanValue = std::accumulate(values.begin(), values.end(), 0.0) / count;
    double together = 0;
    double spread = 0;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        together += (sizes[i] - meanSize) * (values[i] - meanValue);
        spread += (sizes[i] - meanSize) * (sizes[i] - meanSize);
    }
    return together / spread;
}

double Series::base() const
{
    const auto count = static_cast<double>(sizes.size());
    return (std::accumulate(values.begin(), values.end(), 0.0) - slope() * std::accumulate(sizes.begin(), sizes.end(), 0.0)) / count;
}

void print(const std::vector<Series> &all)
{
    std::printf("%-18s %-44s %-10s %12s %12s %12s %12s %12s\n", "role", "quantity", "by", "at 1/4", "at 1/2", "at target", "slope", "base");
    for (const Series &each : all) {
        std::printf("%-18s %-44s %-10s", each.role.c_str(), each.quantity.c_str(), each.sizeOf.c_str());
        for (const double value : each.values) {
            std::printf(" %12.2f", value);
        }
        std::printf(" %12.4f %12.2f\n", each.slope(), each.base());
    }
}

} // namespace baobabstall::capacity
