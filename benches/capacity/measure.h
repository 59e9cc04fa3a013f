// capacity/measure.h: bytes and processor time of a piece of code, and the straight line through measurements at several sizes.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace baobabstall::capacity {

/// Bytes of the heap that this process holds now.
[[nodiscard]] std::size_t heapBytes();
/// Processor time of this process so far.
[[nodiscard]] double cpuMicroseconds();

/// Processor time of one call of `action`, in microseconds, as the mean of many.
template<typename Action>
double cpuOf(int times, Action action)
{
    const double before = cpuMicroseconds();
    for (int i = 0; i < times; ++i) {
        action(i);
    }
    return (cpuMicroseconds() - before) / times;
}

/// One quantity of one role, measured at several sizes.
struct Series {
    std::string role;
    std::string quantity; // with its unit
    std::string sizeOf;   // what the sizes count
    std::vector<double> sizes;
    std::vector<double> values;

    /// value = base + slope * size, by least squares.
    [[nodiscard]] double slope() const;
    [[nodiscard]] double base() const;
};

void print(const std::vector<Series> &all);

} // namespace baobabstall::capacity
