#include "control/internal/control_codec.h"

#include "base/compression.h"
#include "base/socket_address.h"

namespace hibiscusglade {
namespace {

/// The version ledger rejects larger documents.
constexpr size_t kMaxWholeBytes = size_t{4} << 20U;
/// Ages above this are treated as unknown.
constexpr uint64_t kMaxAgeMicros = uint64_t{3600} * 1'000'000;

/// @param out a message with repeated steps.
template <typename Message>
void FillSteps(const std::vector<VersionStep>& steps, Message& out) {
  for (const VersionStep& step : steps) {
    wire::VersionStep* out_step = out.add_steps();
    out_step->set_number(step.number);
    out_step->set_patch(step.patch);
  }
}

template <typename Message>
std::vector<VersionStep> StepsFrom(const Message& in) {
  std::vector<VersionStep> steps;
  for (const wire::VersionStep& step : in.steps()) {
    steps.push_back({step.number(), step.patch()});
  }
  return steps;
}

std::string CompressSteps(const std::vector<VersionStep>& steps) {
  wire::VersionSteps message;
  FillSteps(steps, message);
  return Compress(message.SerializeAsString());
}

/// @return no steps when the bytes are damaged; the follower then ignores the
/// answer.
std::vector<VersionStep> DecompressSteps(const std::string& bytes) {
  wire::VersionSteps message;
  const auto serialized = Decompress(bytes, kMaxWholeBytes);
  if (!serialized.has_value() || !message.ParseFromString(*serialized)) {
    return {};
  }
  return StepsFrom(message);
}

struct DistributionFiller {
  wire::Envelope& out;

  void operator()(const VersionNotice& m) const {
    auto* to = out.mutable_version_notice();
    to->set_number(m.number);
    to->set_digest(m.digest);
    if (m.age && m.age->count() >= 0) {
      to->set_age_micros(static_cast<uint64_t>(m.age->count()));
    }
    to->set_wants_answer(m.wants_answer);
    to->set_forward_to(m.forward_to);
    to->set_relay(m.relay);
    if (m.rollouts.revision != 0) ToWire(m.rollouts, *to->mutable_rollouts());
    if (m.asked_at) {
      to->set_asked_at_micros(
          static_cast<uint64_t>(m.asked_at->time_since_epoch().count()));
    }
  }
  void operator()(const VersionPull& m) const {
    auto* to = out.mutable_version_pull();
    to->set_have_number(m.have_number);
    to->set_have_digest(m.have_digest);
    to->set_reads_compressed_steps(m.reads_compressed_steps);
  }
  void operator()(const VersionPullAnswer& m) const {
    auto* to = out.mutable_version_pull_answer();
    to->set_base_number(m.base_number);
    to->set_base_digest(m.base_digest);
    if (!m.compressed_steps.empty()) {
      to->set_compressed_steps(m.compressed_steps);
    } else if (m.compress_steps && !m.steps.empty()) {
      to->set_compressed_steps(CompressSteps(m.steps));
    } else {
      FillSteps(m.steps, *to);
    }
    if (!m.whole.empty()) to->set_whole(Compress(m.whole));
    to->set_number(m.number);
    to->set_digest(m.digest);
    to->set_busy(m.busy);
    to->set_unsolicited(m.unsolicited);
    to->set_forward_to(m.forward_to);
  }
};

void Fill(const InstanceRecord& record, wire::InstanceRecord& out) {
  out.set_instance(record.instance);
  out.set_region(record.region);
  out.set_failure_domain(record.failure_domain);
  out.set_incarnation(record.incarnation);
  out.set_sequence(record.sequence);
  out.set_state(static_cast<uint32_t>(record.state));
  out.set_control_address(record.control_address);
  out.set_request_address(record.request_address);
  out.set_service(record.service);
  out.set_slots(record.slots);
  out.set_upstream_state(static_cast<uint32_t>(record.upstream_state));
  out.set_upstream_started_at_ms(record.upstream_started_at_ms);
  out.set_upstream_sequence(record.upstream_sequence);
  out.set_upstream_version(record.upstream_version);
  out.set_version_in_use(record.version_in_use);
  out.set_version_digest(record.version_digest);
  out.set_replica(record.replica);
  for (const std::string& domain : record.unreachable_domains) {
    out.add_unreachable_domains(domain);
  }
}

bool IsReachable(const std::string& address) {
  const auto parsed = ParseSocketAddress(address);
  return parsed.has_value() && parsed->sin_port != 0;
}

InstanceRecord From(const wire::InstanceRecord& in) {
  InstanceRecord record;
  record.instance = in.instance();
  record.region = in.region();
  record.failure_domain = in.failure_domain();
  record.incarnation = in.incarnation();
  record.sequence = in.sequence();
  record.state = static_cast<InstanceState>(in.state());
  record.control_address = in.control_address();
  record.request_address = in.request_address();
  record.service = in.service();
  record.slots = in.slots();
  record.upstream_state = static_cast<UpstreamState>(in.upstream_state());
  record.upstream_started_at_ms = in.upstream_started_at_ms();
  record.upstream_sequence = in.upstream_sequence();
  record.upstream_version = in.upstream_version();
  record.version_in_use = in.version_in_use();
  record.version_digest = in.version_digest();
  record.replica = in.replica();
  record.unreachable_domains.assign(in.unreachable_domains().begin(),
                                    in.unreachable_domains().end());
  return record;
}

struct MembershipFiller {
  wire::Envelope& out;

  void operator()(const GossipMessage& m) const {
    auto* to = out.mutable_gossip();
    for (const InstanceRecord& record : m.records) {
      Fill(record, *to->add_records());
    }
    to->mutable_bucket_digests()->Add(m.bucket_digests.begin(),
                                      m.bucket_digests.end());
  }
  void operator()(const ProbeMessage& m) const {
    out.mutable_probe()->set_sequence(m.sequence);
    out.mutable_probe()->set_instance(m.instance);
  }
  void operator()(const ProbeAckMessage& m) const {
    out.mutable_probe_ack()->set_sequence(m.sequence);
    out.mutable_probe_ack()->set_instance(m.instance);
  }
  void operator()(const IndirectProbeMessage& m) const {
    auto* to = out.mutable_indirect_probe();
    to->set_sequence(m.sequence);
    to->set_target_instance(m.target_instance);
    to->set_target_address(m.target_address);
    to->set_asker_address(m.asker_address);
  }
};

VersionNotice From(const wire::VersionNotice& in) {
  VersionNotice notice;
  notice.number = in.number();
  notice.digest = in.digest();
  if (in.has_age_micros() && in.age_micros() <= kMaxAgeMicros) {
    notice.age = Duration(static_cast<int64_t>(in.age_micros()));
  }
  notice.wants_answer = in.wants_answer();
  notice.forward_to = in.forward_to();
  notice.relay = in.relay();
  notice.rollouts = FromWire(in.rollouts());
  if (in.has_asked_at_micros()) {
    notice.asked_at =
        Instant(Duration(static_cast<int64_t>(in.asked_at_micros())));
  }
  return notice;
}

VersionPullAnswer From(const wire::VersionPullAnswer& in) {
  VersionPullAnswer answer;
  answer.base_number = in.base_number();
  answer.base_digest = in.base_digest();
  answer.steps = in.compressed_steps().empty()
                     ? StepsFrom(in)
                     : DecompressSteps(in.compressed_steps());
  answer.compressed_steps = in.compressed_steps();
  if (!in.whole().empty()) {
    // Damaged data gives an empty text; the follower then ignores the answer.
    answer.whole = Decompress(in.whole(), kMaxWholeBytes).value_or("");
  }
  answer.number = in.number();
  answer.digest = in.digest();
  answer.busy = in.busy();
  answer.unsolicited = in.unsolicited();
  answer.forward_to = in.forward_to();
  return answer;
}

}  // namespace

void ToWire(const DistributionMessage& message, wire::Envelope& out) {
  std::visit(DistributionFiller{out}, message);
}

void ToWire(const MembershipMessage& message, wire::Envelope& out) {
  std::visit(MembershipFiller{out}, message);
}

std::optional<DistributionMessage> DistributionFromWire(
    const wire::Envelope& in) {
  switch (in.body_case()) {
    case wire::Envelope::kVersionNotice:
      return From(in.version_notice());
    case wire::Envelope::kVersionPull:
      return VersionPull{in.version_pull().have_number(),
                         in.version_pull().have_digest(),
                         in.version_pull().reads_compressed_steps()};
    case wire::Envelope::kVersionPullAnswer:
      return From(in.version_pull_answer());
    default:
      return std::nullopt;
  }
}

std::optional<MembershipMessage> MembershipFromWire(const wire::Envelope& in) {
  switch (in.body_case()) {
    case wire::Envelope::kGossip: {
      GossipMessage gossip;
      for (const wire::InstanceRecord& record : in.gossip().records()) {
        if (IsReachable(record.control_address()) &&
            IsReachable(record.request_address())) {
          gossip.records.push_back(From(record));
        }
      }
      gossip.bucket_digests.assign(in.gossip().bucket_digests().begin(),
                                   in.gossip().bucket_digests().end());
      return gossip;
    }
    case wire::Envelope::kProbe:
      return ProbeMessage{in.probe().sequence(), in.probe().instance()};
    case wire::Envelope::kProbeAck:
      return ProbeAckMessage{in.probe_ack().sequence(),
                             in.probe_ack().instance()};
    case wire::Envelope::kIndirectProbe:
      return IndirectProbeMessage{in.indirect_probe().sequence(),
                                  in.indirect_probe().target_instance(),
                                  in.indirect_probe().target_address(),
                                  in.indirect_probe().asker_address()};
    default:
      return std::nullopt;
  }
}

}  // namespace hibiscusglade
