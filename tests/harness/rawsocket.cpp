#include <harness/rawsocket.h>

#include <array>
#include <chrono>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace baobabstall::harness {

RawSocket::RawSocket(const std::string &address, int receiveBuffer)
{
    const auto parsed = net::Address::parse(address);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(parsed ? parsed->port : 0);
    inet_pton(AF_INET, parsed ? parsed->ip.c_str() : "", &to.sin_addr);
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
        setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    if (connect(socket_, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0) {
        close(socket_);
        socket_ = -1;
    }
}

RawSocket::~RawSocket()
{
    if (socket_ >= 0) {
        close(socket_);
    }
}

bool RawSocket::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

std::string RawSocket::readToEnd(core::Milliseconds within)
{
    std::string text;
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(within.count());
    while (!closed_) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now()).count();
        pollfd waiting{socket_, POLLIN, 0};
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            break;
        }
        std::array<char, 65536> piece{};
        const ssize_t count = recv(socket_, piece.data(), piece.size(), 0);
        closed_ = count <= 0;
        text.append(piece.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
    }
    return text;
}

bool RawSocket::waitClosed(core::Milliseconds within)
{
    readToEnd(within);
    return closed_;
}

int statusOf(const std::string &text)
{
    constexpr std::size_t statusAt = 9;                                                                    // "HTTP/1.1 "
    return text.starts_with("HTTP/1.") && text.size() > statusAt ? std::atoi(text.c_str() + statusAt) : 0; // NOLINT(cert-err34-c)
}

std::string bodyTextOf(const std::string &text)
{
    const auto end = text.find("\r\n\r\n");
    return end == std::string::npos ? "" : text.substr(end + 4);
}

} // namespace baobabstall::harness
