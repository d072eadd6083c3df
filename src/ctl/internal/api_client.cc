#include "ctl/internal/api_client.h"

#include <curl/curl.h>

namespace hibiscusglade {
namespace {

constexpr long kConnectTimeoutMs = 1000;
constexpr long kTimeoutMs = 10000;

size_t Collect(char* data, size_t size, size_t count, void* cls) {
  static_cast<std::string*>(cls)->append(data, size * count);
  return size * count;
}

}  // namespace

ApiAnswer ApiClient::Send(const std::string& method, const std::string& path,
                          const std::string& body) const {
  ApiAnswer answer;
  CURL* easy = curl_easy_init();
  const std::string url = "http://" + address_ + path;
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, kTimeoutMs);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Collect);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer.text);
  if (method == "POST") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.c_str());
  }
  if (curl_easy_perform(easy) == CURLE_OK) {
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer.status);
  }
  curl_off_t connect_micros = 0;
  curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connect_micros);
  answer.connected = connect_micros > 0;
  curl_easy_cleanup(easy);
  answer.body = nlohmann::json::parse(answer.text, nullptr, false);
  return answer;
}

}  // namespace hibiscusglade
