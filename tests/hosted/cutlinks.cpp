// Loaded into a daemon by the tests (LD_PRELOAD): cuts this process off from some addresses, which a firewall rule would need root for. The file
// named by CUT_LINKS holds the port of a listener that accepts nothing (0: refuse), then the ports that connections fail to. Without it none fail.
#include <cerrno>
#include <cstdio>
#include <cstdlib>

#include <arpa/inet.h>
#include <dlfcn.h>
#include <sys/socket.h>

namespace {

/// The port to connect to instead; 0: refuse.
int portInstead(int port)
{
    const char *path = std::getenv("CUT_LINKS");
    FILE *file = path == nullptr ? nullptr : std::fopen(path, "re");
    if (file == nullptr) {
        return port;
    }
    int instead = 0;
    int found = port;
    int each = 0;
    if (std::fscanf(file, "%d", &instead) == 1) {
        while (std::fscanf(file, "%d", &each) == 1) {
            found = each == port ? instead : found;
        }
    }
    std::fclose(file);
    return found;
}

} // namespace

extern "C" int connect(int socket, const sockaddr *address, socklen_t length)
{
    using Connect = int (*)(int, const sockaddr *, socklen_t);
    static const auto next = reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
    if (address->sa_family != AF_INET || length < sizeof(sockaddr_in)) {
        return next(socket, address, length);
    }
    auto target = *reinterpret_cast<const sockaddr_in *>(address);
    const int instead = portInstead(ntohs(target.sin_port));
    if (instead == 0) {
        errno = ECONNREFUSED;
        return -1;
    }
    target.sin_port = htons(static_cast<in_port_t>(instead));
    return next(socket, reinterpret_cast<const sockaddr *>(&target), sizeof target);
}
