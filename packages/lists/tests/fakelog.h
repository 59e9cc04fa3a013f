// In-memory stream `lists`, and helpers that write records for it.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <lists/lists.h>

namespace baobabstall::lists {

struct StoredRecord {
    std::int64_t timeMs = 0;
    std::string text;
};

class FakeLog
{
public:
    core::Offset append(const std::string &text)
    {
        records_.push_back({nowMs, text});
        return nextOffset().value() == 0 ? core::Offset() : core::Offset(nextOffset().value() - 1);
    }

    /// Appends a change of one part and returns its offset.
    core::Offset appendChange(ListName list, core::Offset basedOn, const std::string &patch, const std::string &group = "g")
    {
        core::Error why;
        const auto records = ListsState::changeRecords(list, basedOn, patch, "ops", group, why);
        return append(records.value().at(0).text);
    }

    [[nodiscard]] core::Offset nextOffset() const { return core::Offset(records_.size() + 1); }

    Verdict feed(ListsState &state, core::Offset offset) const
    {
        const auto &record = records_.at(offset.value() - 1);
        return state.apply(offset, record.timeMs, record.text);
    }

    /// Applies all unread records, starting at `first` at the earliest, and returns the last verdict.
    Verdict feedRemaining(ListsState &state, core::Offset first = core::Offset(1)) const
    {
        Verdict last;
        state.skipTo(first);
        for (auto offset = state.position().next(); offset < nextOffset(); offset = offset.next()) {
            last = feed(state, offset);
        }
        state.onCaughtUp();
        return last;
    }

    std::int64_t nowMs = 1'000'000;

private:
    std::vector<StoredRecord> records_;
};

inline std::string keyText(const std::string &key)
{
    return keyDigestText(digestOfKey(key));
}

/// A patch that gives a customer a plan and one key derived from its name.
inline std::string customerPatch(const std::string &customer, const std::string &plan)
{
    return nlohmann::json{{"customers", {{customer, {{"plan", plan}, {"keys", {keyText("key of " + customer)}}}}}}}.dump();
}

inline std::string planPatch(const std::string &plan, const std::string &version, double share = 1)
{
    const nlohmann::json adapters{{"brief", {{"versions", {version}}, {"base_model", "base-a"}}}};
    return nlohmann::json{{"plans", {{plan, {{"share", share}, {"max_in_flight", 20}, {"adapters", adapters}, {"services", {"booking"}}}}}}}.dump();
}

} // namespace baobabstall::lists
