#include <serving/versionhistory.h>

#include <algorithm>

namespace baobabstall::serving {

void VersionHistory::update(const ReplicaBook &replicas, Instant now)
{
    std::map<ServiceName, std::set<SoftwareVersion>> present;
    for (const auto &id : replicas.all()) {
        const auto *record = replicas.find(id);
        present[record->service].insert(record->version);
    }
    for (const auto &[service, versions] : std::exchange(present_, std::move(present))) {
        for (const auto &version : versions) {
            if (!present_[service].contains(version)) {
                goneAt_[service][version] = now;
            }
        }
    }
    for (auto *times : {&goneAt_, &leftAt_}) {
        for (auto &[service, versions] : *times) {
            std::erase_if(versions, [now](const auto &each) { return now - each.second > memory; });
            while (versions.size() > maxGonePerService) {
                versions.erase(std::min_element(versions.begin(), versions.end(), [](const auto &a, const auto &b) { return a.second < b.second; }));
            }
        }
    }
}

void VersionHistory::onNamed(const ServiceName &service, const SoftwareVersion &version, Instant now)
{
    if (!present_[service].contains(version)) {
        goneAt_[service][version] = now;
    }
}

void VersionHistory::adopt(const Past &past, Instant now)
{
    if (past.unvouched.count() == 0) {
        coveredSince_ = std::min(coveredSince_, now - past.coveredFor);
    }
    for (const auto &[service, version, age] : past.gone) {
        auto &goneAt = goneAt_[service].try_emplace(version, now - age).first->second;
        goneAt = std::max(goneAt, now - age);
    }
}

VersionHistory::Past VersionHistory::past(Instant now) const
{
    Past past{now - coveredSince_, {}};
    for (const auto &[service, versions] : goneAt_) {
        for (const auto &[version, at] : versions) {
            if (now - at <= memory) {
                past.gone.push_back({service, version, now - at});
            }
        }
    }
    return past;
}

std::set<SoftwareVersion> VersionHistory::versionsWithin(const ServiceName &service, Milliseconds span, Instant now) const
{
    const auto present = present_.find(service);
    auto versions = present == present_.end() ? std::set<SoftwareVersion>() : present->second;
    if (const auto gone = goneAt_.find(service); gone != goneAt_.end()) {
        for (const auto &[version, at] : gone->second) {
            if (now - at <= span) {
                versions.insert(version);
            }
        }
    }
    return versions;
}

std::optional<SoftwareVersion> VersionHistory::only(const ServiceName &service, Milliseconds span, Instant now) const
{
    const auto versions = versionsWithin(service, span, now);
    const bool isCovered = now - coveredSince_ >= span;
    return isCovered && versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

bool VersionHistory::isMixed(const ServiceName &service, Milliseconds span, Instant now) const
{
    return versionsWithin(service, span, now).size() > 1;
}

bool VersionHistory::isShrinking(const ServiceName &service, const SoftwareVersion &version, Instant now) const
{
    const auto left = leftAt_.find(service);
    const auto present = present_.find(service);
    if (left == leftAt_.end() || present == present_.end() || present->second.size() < 2) {
        return false;
    }
    const auto latest = std::max_element(left->second.begin(), left->second.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    return latest != left->second.end() && latest->first == version && now - latest->second <= shrinkingTime;
}

} // namespace baobabstall::serving
