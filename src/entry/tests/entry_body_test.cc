#include <gtest/gtest.h>

#include "admission/admission_result_codes.h"
#include "entry/tests/entry_fixture.h"

namespace hibiscusglade {
namespace {

constexpr size_t kUploadBytes = 60'000;

/// An entry that is sent uploads, which may not be repeated.
class AnEntryWithAnUpload : public AnEntry {
 protected:
  void Upload(size_t bytes = kUploadBytes) {
    CallRequest request;
    request.method = "POST";
    request.target = "/tags/1";
    request.body = Body(bytes);
    entry_->Begin(++last_call_, request,
                  std::make_unique<RecordingStream>(received_, retry_after_),
                  now_);
  }

  static std::string Body(size_t bytes) {
    std::string body(bytes, 'a');
    for (size_t i = 0; i < bytes; ++i) body[i] = static_cast<char>('a' + i % 7);
    return body;
  }

  const std::string& OwnerOf(size_t number) {
    return owners_.started.at(number).first;
  }
};

TEST_F(AnEntryWithAnUpload, OffersItAndSendsWhatIsGranted) {
  Upload();
  EXPECT_EQ(owners_.last.offered_bytes, kUploadBytes);
  EXPECT_TRUE(owners_.last.request.body.empty());
  EXPECT_TRUE(owners_.bodies.empty());
  entry_->OnBodyGranted(Attempt(0), 20'000);
  EXPECT_EQ(owners_.bodies[Attempt(0)], Body(kUploadBytes).substr(0, 20'000));
  entry_->OnBodyGranted(Attempt(0), 20'000);  // Nothing new.
  EXPECT_EQ(owners_.bodies[Attempt(0)].size(), 20'000u);
  entry_->OnBodyGranted(Attempt(0), kUploadBytes + 1);
  EXPECT_EQ(owners_.bodies[Attempt(0)], Body(kUploadBytes));
  Answer(Attempt(0), "kept");
  EXPECT_EQ(received_, "head 200 kept end");
}

TEST_F(AnEntryWithAnUpload, SendsAShortOneWithItsRequest) {
  Upload(4000);
  EXPECT_EQ(owners_.last.offered_bytes, 0u);
  EXPECT_EQ(owners_.last.request.body, Body(4000));
}

TEST_F(AnEntryWithAnUpload, OffersItToAnotherOwnerWhenOneRefuses) {
  Upload();
  Refuse(Attempt(0), AdmissionCode::kQueueFull, Certainty::kNotRun);
  ASSERT_EQ(owners_.started.size(), 2u);
  EXPECT_NE(OwnerOf(0), OwnerOf(1));
  EXPECT_TRUE(owners_.bodies.empty());
  entry_->OnBodyGranted(Attempt(0), kUploadBytes);  // Of an ended attempt.
  EXPECT_TRUE(owners_.bodies.empty());
  entry_->OnBodyGranted(Attempt(1), kUploadBytes);
  EXPECT_EQ(owners_.bodies[Attempt(1)], Body(kUploadBytes));
}

/// An order of which an owner had only a part was reported as perhaps run.
TEST_F(AnEntryWithAnUpload, SaysNotRunWhenItsBodyWasNotWhole) {
  Upload();
  entry_->OnBodyGranted(Attempt(0), kUploadBytes - 1);
  now_ += std::chrono::milliseconds(1001);
  entry_->OnTick(now_);
  EXPECT_EQ(received_, "refused 4005 not-run");
}

TEST_F(AnEntryWithAnUpload, SaysUnknownOnceItsBodyWasSentWhole) {
  Upload();
  entry_->OnBodyGranted(Attempt(0), kUploadBytes);
  now_ += std::chrono::milliseconds(1001);
  entry_->OnTick(now_);
  EXPECT_EQ(received_, "refused 4005 unknown");
}

TEST_F(AnEntryWithAnUpload, MayBeRepeatedWhenALinkIsLostBeforeItWasWhole) {
  CompleteManyReads();  // For the retry budget.
  received_.clear();
  owners_.started.clear();
  Upload();
  entry_->OnBodyGranted(Attempt(0), 1000);
  entry_->OnOwnerLost(OwnerOf(0), true, now_);
  ASSERT_FALSE(owners_.started.empty());
  EXPECT_EQ(received_, "");
  const AttemptId second = owners_.last.id;
  EXPECT_EQ(owners_.last.offered_bytes, kUploadBytes);
  entry_->OnBodyGranted(second, kUploadBytes);
  entry_->OnOwnerLost(owners_.started.back().first, true, now_);
  EXPECT_EQ(received_, "refused 4006 unknown");
}

/// In a mesh of mixed builds, a daemon that doesn't know offers refuses one as
/// for a service that it doesn't have.
TEST_F(AnEntryWithAnUpload, SendsItWholeToAnOlderDaemon) {
  Upload();
  Refuse(Attempt(0), AdmissionCode::kWrongService, Certainty::kNotRun);
  ASSERT_EQ(owners_.started.size(), 2u);
  EXPECT_EQ(OwnerOf(0), OwnerOf(1));
  EXPECT_EQ(owners_.last.offered_bytes, 0u);
  EXPECT_EQ(owners_.last.request.body, Body(kUploadBytes));
  Refuse(Attempt(1), AdmissionCode::kWrongService, Certainty::kNotRun);
  ASSERT_EQ(owners_.started.size(), 3u);
  EXPECT_NE(OwnerOf(1), OwnerOf(2));
}

TEST_F(AnEntryWithAnUpload, GoesElsewhereWhenTheServiceIsAnother) {
  Upload();
  LoadReport load = kLoad;
  load.takes_offers = true;
  const std::error_code wrong_service = AdmissionCode::kWrongService;
  entry_->OnAnswerRefused(
      Attempt(0), {wrong_service, Certainty::kNotRun, "", {}}, load, now_);
  ASSERT_EQ(owners_.started.size(), 2u);
  EXPECT_NE(OwnerOf(0), OwnerOf(1));
}

}  // namespace
}  // namespace hibiscusglade
