// serving/responsebudget.h: bounds the bytes of upstreams' responses that a host holds at a time, over all requests. No I/O.
//
//   ResponseBudget::Share share(budget);        // of one response
//   if (!share.resize(bytes)) { ...give up the response... }
//
// A response that is no stream is held until it is complete, because only then is it known to be whole. Upstreams in trouble may send
// without end, so a bound for each response alone does not bound the memory of the host.
#pragma once

#include <cstddef>

namespace baobabstall::serving {

class ResponseBudget
{
public:
    static constexpr std::size_t maxTotalBytes = 32 * 1024 * 1024; // a fifth of the memory of the smallest host

    class Share
    {
    public:
        explicit Share(ResponseBudget &budget)
            : budget_(budget)
        { }
        ~Share() { budget_.heldBytes_ -= bytes_; }
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /// Sets the bytes that the response holds now. False, and no change, when the host would hold too much.
        [[nodiscard]] bool resize(std::size_t bytes)
        {
            if (budget_.heldBytes_ - bytes_ + bytes > maxTotalBytes) {
                return false;
            }
            budget_.heldBytes_ += bytes - bytes_;
            bytes_ = bytes;
            return true;
        }

    private:
        ResponseBudget &budget_;
        std::size_t bytes_ = 0;
    };

private:
    std::size_t heldBytes_ = 0;
};

} // namespace baobabstall::serving
