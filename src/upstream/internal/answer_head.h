#ifndef HIBISCUSGLADE_UPSTREAM_INTERNAL_ANSWER_HEAD_H_
#define HIBISCUSGLADE_UPSTREAM_INTERNAL_ANSWER_HEAD_H_

#include <optional>
#include <string_view>

#include "calls/types/call_types.h"

namespace hibiscusglade {

/// Parses a line of an answer's head, without its end.
/// @return nullopt when it is not a field. Folded fields are not accepted.
std::optional<HeaderField> ParseAnswerField(std::string_view line);

/// Sets the length of an answer's body from its fields.
/// @return false when the fields contradict each other or are invalid.
bool ReadAnswerLength(AnswerHead& head);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_UPSTREAM_INTERNAL_ANSWER_HEAD_H_
