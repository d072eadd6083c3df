#ifndef HIBISCUSGLADE_CALLS_HEADER_CODEC_H_
#define HIBISCUSGLADE_CALLS_HEADER_CODEC_H_

#include <vector>

#include "calls/types/call_types.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {

/// Appends header fields to a message with a field `repeated Header headers`.
template <typename Message>
void FillHeaders(const std::vector<HeaderField>& fields, Message& out) {
  for (const HeaderField& field : fields) {
    wire::Header* header = out.add_headers();
    header->set_name(field.name);
    header->set_value(field.value);
  }
}

/// @return the header fields of such a message, in order.
template <typename Message>
std::vector<HeaderField> HeadersOf(const Message& in) {
  std::vector<HeaderField> fields;
  for (const wire::Header& header : in.headers()) {
    fields.push_back({header.name(), header.value()});
  }
  return fields;
}

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLS_HEADER_CODEC_H_
