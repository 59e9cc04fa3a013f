// What replicas answer in place of the rest of a stream that another one has begun.
#pragma once

#include <string>
#include <vector>

namespace baobabstall::serving::tests {

/// What a replica answers to a stream that another one has begun.
struct BrokenContinuation {
    std::string name;
    std::string answer;
    bool closes = true;
};

inline std::vector<BrokenContinuation> brokenContinuations()
{
    const std::string text = "data: the replica is broken\n\n";
    const std::string json = R"({"error":"broken"})";
    const auto withLength
        = [](const std::string &head, const std::string &body) { return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body; };
    const std::string id = "Id: @ID\r\n";
    const std::string sealed = "Seal: s\r\n" + id;
    return {
        {"400 that says that it was not run", withLength("HTTP/1.1 400 Bad Request\r\nNot-Run: 1\r\n" + id, json)},
        {"400", withLength("HTTP/1.1 400 Bad Request\r\n" + id, json)},
        {"500 with a length", withLength("HTTP/1.1 500 Broken\r\n" + id, json)},
        {"500 with a seal and a body like events", withLength("HTTP/1.1 500 Broken\r\n" + sealed, text)},
        {"500 in chunks", "HTTP/1.1 500 Broken\r\n" + sealed + "Transfer-Encoding: chunked\r\n\r\n1d\r\n" + text + "\r\n0\r\n\r\n"},
        {"500 without a length", "HTTP/1.1 500 Broken\r\n" + id + "\r\n" + text},
        {"503 that says that it was not run", withLength("HTTP/1.1 503 Full\r\nNot-Run: 1\r\n" + id, text)},
        {"503 without that", withLength("HTTP/1.1 503 Full\r\n" + id, text)},
        {"429", withLength("HTTP/1.1 429 Too Many\r\nNot-Run: 1\r\n" + id, text)},
        {"421", withLength("HTTP/1.1 421 Misdirected\r\n" + id, text)},
        {"302", withLength("HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\n" + sealed, text)},
        {"interim answer", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 500 Broken\r\n" + id + "Content-Length: 0\r\n\r\n"},
        {"200 without a seal", "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n1d\r\n" + text + "\r\n0\r\n\r\n"},
        {"200 that is no stream", withLength("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + sealed, json)},
        {"200 that is no stream and is empty", withLength("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + sealed, "")},
        {"200 that is no stream and has a body like events", withLength("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + sealed, text)},
    };
}

} // namespace baobabstall::serving::tests
