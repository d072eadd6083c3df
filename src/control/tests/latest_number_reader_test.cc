#include "control/internal/latest_number_reader.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "wire/storage.pb.h"

namespace hibiscusglade {
namespace {

/// A daemon that has just started, and the leader of the versions group.
class AFirstRead : public testing::Test {
 protected:
  AFirstRead() {
    reader_.SetInstance("x");
    reader_.Read();
  }

  wire::VersionQuery LastQuery() const {
    wire::VersionQuery query;
    query.ParseFromString(last_.command);
    return query;
  }

  void Answer(const wire::VersionQueryAnswer& answer) {
    client_.OnAnswer({last_.request_id, {}, answer.SerializeAsString(), ""},
                     clock_.Now());
  }

  static wire::VersionQueryAnswer Latest(uint64_t number) {
    wire::VersionQueryAnswer answer;
    answer.set_found(true);
    answer.add_versions()->set_number(number);
    return answer;
  }

  using Events = std::vector<std::string>;

  SteadyClock clock_;
  GroupRequest last_;
  GroupClient client_{{"a"},
                      [this](const std::string&, const GroupRequest& request) {
                        last_ = request;
                      }};
  Events events_;
  LatestNumberReader reader_{
      client_, clock_,
      [this](uint64_t number, Instant) {
        events_.push_back("number " + std::to_string(number));
      },
      [this](const std::vector<UpstreamLeave>& leaves) {
        for (const UpstreamLeave& leave : leaves) {
          events_.push_back("leave of " + leave.id);
        }
        events_.emplace_back("leaves read");
      }};
};

TEST_F(AFirstRead, BringsTheLeavesBeforeTheNumber) {
  EXPECT_EQ(LastQuery().leaves_of(), "x");
  wire::VersionQueryAnswer answer = Latest(7);
  answer.add_leaves()->set_upstream("i-1");
  Answer(answer);
  EXPECT_EQ(events_, (Events{"leave of i-1", "leaves read", "number 7"}));
}

TEST_F(AFirstRead, IsTheOnlyOneThatAsksForLeaves) {
  Answer(Latest(7));
  reader_.Read();
  EXPECT_EQ(LastQuery().leaves_of(), "");
  Answer(Latest(8));
  EXPECT_EQ(events_, (Events{"leaves read", "number 7", "number 8"}));
}

/// A leader of an earlier release knows neither this read nor leaves.
TEST_F(AFirstRead, EndsWithAHistoryUnderAnEarlierRelease) {
  Answer({});
  EXPECT_EQ(events_, Events{});
  reader_.Read();
  EXPECT_EQ(LastQuery().kind(), wire::VersionQuery::HISTORY);
  Answer(Latest(7));
  EXPECT_EQ(events_, (Events{"leaves read", "number 7"}));
}

}  // namespace
}  // namespace hibiscusglade
