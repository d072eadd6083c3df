#include "ctl/internal/api_client.h"

#include <curl/curl.h>

#include <string_view>

namespace hibiscusglade {
namespace {

constexpr long kConnectTimeoutMs = 1000;
constexpr long kTimeoutMs = 10000;

size_t AppendBody(char* data, size_t size, size_t count, void* text) {
  static_cast<std::string*>(text)->append(data, size * count);
  return size * count;
}

/// Notes in `whole` whether the last line received ends a head.
size_t NoteHeadEnd(char* data, size_t size, size_t count, void* whole) {
  const std::string_view line(data, size * count);
  *static_cast<bool*>(whole) = line == "\r\n" || line == "\n";
  return size * count;
}

}  // namespace

ApiAnswer ApiClient::Send(const std::string& method, const std::string& path,
                          const std::string& body) const {
  ApiAnswer answer;
  CURL* curl = curl_easy_init();
  const std::string url = "http://" + address_ + path;
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, kTimeoutMs);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer.text);
  // libcurl reports success when the connection is closed within the head.
  bool whole_head = false;
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &NoteHeadEnd);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &whole_head);
  if (method == "POST") {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.c_str());
  }
  if (curl_easy_perform(curl) == CURLE_OK && whole_head) {
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer.status);
  }
  curl_off_t connect_micros = 0;
  curl_easy_getinfo(curl, CURLINFO_CONNECT_TIME_T, &connect_micros);
  answer.connected = connect_micros > 0;
  curl_easy_cleanup(curl);
  answer.body = nlohmann::json::parse(answer.text, nullptr, false);
  return answer;
}

}  // namespace hibiscusglade
