// tests/harness/rawsocket.h: a TCP connection that sends any bytes, for callers that break the rules of HTTP.
#pragma once

#include <string>
#include <string_view>

#include <harness/client.h>

namespace baobabstall::harness {

class RawSocket
{
public:
    static constexpr int smallReceiveBuffer = 4096; // bytes

    /// Connects; isOpen() is false when that failed. `receiveBuffer`: bytes that the kernel takes for this side; 0: its default.
    explicit RawSocket(const std::string &address, int receiveBuffer = 0);
    ~RawSocket();
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    [[nodiscard]] bool isOpen() const { return socket_ >= 0; }
    /// False when the other side has closed.
    bool send(std::string_view bytes);
    /// What arrives until the other side closes, or the time is over.
    std::string readToEnd(core::Milliseconds within = patience);
    /// True once the other side has closed the connection; reads and drops what arrives.
    bool waitClosed(core::Milliseconds within = patience);

private:
    int socket_ = -1;
    bool closed_ = false;
};

/// The status of the first answer in `text`; 0 when there is none.
[[nodiscard]] int statusOf(const std::string &text);
/// The body after the first empty line.
[[nodiscard]] std::string bodyTextOf(const std::string &text);

} // namespace baobabstall::harness
