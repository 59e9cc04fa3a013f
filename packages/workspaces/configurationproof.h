// workspaces/configurationproof.h: how old the proof is that the configuration in force is the newest one. No I/O.
//
//   ConfigurationProof proof;
//   proof.onRead(version, era);        // a configuration was read from the store, by this host or by the one whose page it applied
//   proof.onCaughtUp(askedAt, era);    // everything that the store had at `askedAt` has been applied
//   if (proof.isWithin(bound, now)) ...// no configuration that was acknowledged longer than `bound` ago can be unknown here
//
// A configuration that this host lacks was acknowledged after `askedAt`: the store answers with all that it had acknowledged before the
// question. So the age counts from the question, not from the answer, and on a clock that goes on while the host is suspended.
//
// A store that came back as an earlier copy of itself (a later era) proves nothing until it shows a configuration that is at least as new
// as the one in force: it may have lost newer ones.
#pragma once

#include <algorithm>
#include <optional>

#include <core/types.h>

namespace baobabstall::workspaces {

class ConfigurationProof
{
public:
    void onRead(core::ConfigVersion version, core::StoreEra era)
    {
        if (version >= newest_) {
            newest_ = version;
            era_ = era;
        }
    }
    void onCaughtUp(core::Instant askedAt, core::StoreEra era)
    {
        if (newest_.value() > 0 && era == era_) {
            provenAt_ = std::max(provenAt_.value_or(askedAt), askedAt);
        }
    }

    /// Nothing before the first proof.
    [[nodiscard]] std::optional<core::Milliseconds> age(core::Instant now) const { return provenAt_ ? std::optional(now - *provenAt_) : std::nullopt; }
    [[nodiscard]] bool isWithin(core::Milliseconds bound, core::Instant now) const { return provenAt_ && now - *provenAt_ <= bound; }

private:
    core::ConfigVersion newest_;
    core::StoreEra era_; // of the store that showed it last
    std::optional<core::Instant> provenAt_;
};

} // namespace baobabstall::workspaces
