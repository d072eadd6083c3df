#include "tests/harness/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>

namespace hibiscusglade {
namespace {

size_t AppendBody(char* data, size_t size, size_t count, void* cls) {
  static_cast<std::string*>(cls)->append(data, size * count);
  return size * count;
}

size_t ParseHeaderLine(char* data, size_t size, size_t count, void* cls) {
  std::string line(data, size * count);
  const size_t colon = line.find(':');
  if (colon != std::string::npos) {
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const size_t first = line.find_first_not_of(' ', colon + 1);
    const size_t last = line.find_last_not_of("\r\n");
    auto& fields = *static_cast<std::map<std::string, std::string>*>(cls);
    fields[name] = first > last ? "" : line.substr(first, last - first + 1);
  }
  return size * count;
}

std::string FieldOf(const HttpAnswer& answer, const std::string& name) {
  auto found = answer.fields.find(name);
  return found == answer.fields.end() ? "" : found->second;
}

}  // namespace

int HttpAnswer::Code() const {
  const std::string code = FieldOf(*this, "x-result-code");
  return code.empty() ? 0 : std::stoi(code);
}

std::string HttpAnswer::Outcome() const { return FieldOf(*this, "x-outcome"); }

HttpAnswer SendHttp(const std::string& method, const std::string& url,
                    const std::string& body,
                    const std::vector<std::string>& fields, int timeout_ms) {
  HttpAnswer answer;
  CURL* easy = curl_easy_init();
  curl_slist* header_lines = nullptr;
  for (const std::string& field : fields) {
    header_lines = curl_slist_append(header_lines, field.c_str());
  }
  header_lines = curl_slist_append(header_lines, "Expect:");
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout_ms));
  if (method == "HEAD") curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, header_lines);
  if (!body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.data());
  }
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer.body);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &ParseHeaderLine);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &answer.fields);
  answer.complete = curl_easy_perform(easy) == CURLE_OK;
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  answer.status = answer.complete ? static_cast<int>(status) : 0;
  curl_slist_free_all(header_lines);
  curl_easy_cleanup(easy);
  return answer;
}

}  // namespace hibiscusglade
