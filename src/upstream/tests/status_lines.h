#ifndef HIBISCUSGLADE_UPSTREAM_TESTS_STATUS_LINES_H_
#define HIBISCUSGLADE_UPSTREAM_TESTS_STATUS_LINES_H_

namespace hibiscusglade {

/// Status lines of upstreams in trouble that begin no answer. 101 is one of
/// them, as no request asks for another protocol.
inline constexpr const char* kNoStatusLines[] = {
    "HTTP/1.1 000 Unknown",
    "HTTP/1.1 000",
    "HTTP/1.1 0 None",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 099 Low",
    "HTTP/1.1 600 High",
    "HTTP/1.1 999 Higher",
    "HTTP/1.1 1000 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 -200 OK",
    "HTTP/1.1 +200 OK",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 2x0 OK",
    "HTTP/1.1 200OK",
    "HTTP/1.1 200;OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1\t200 OK",
    "HTTP/1.1 200\tOK",
    "HTTP/1.1",
    "HTTP/1.1 ",
    "HTTP/1.1 OK",
    "HTTP/0.0 200 OK",
    "HTTP/0.9 200 OK",
    "HTTP/1.10 200 OK",
    "HTTP/1.2 200 OK",
    "HTTP/2 200",
    "HTTP/2 200 OK",
    "HTTP/2.0 200 OK",
    "HTTP/3 200 OK",
    "HTTP/11 200 OK",
    "HTTP/ 200 OK",
    "http/1.1 200 OK",
    "HTTP 200 OK",
    "ICY 200 OK",
    "RTSP/1.0 200 OK",
    "HTTP/1.1 101 Switching",
    " HTTP/1.1 200 OK",
    "HTTP/1.1 200 O\rK",
};

/// Status lines that begin an answer, with its status.
inline constexpr struct {
  const char* line;
  int status;
} kStatusLines[] = {
    {"HTTP/1.1 200 OK", 200},
    {"HTTP/1.1 200 ", 200},
    {"HTTP/1.1 200", 200},
    {"HTTP/1.0 200 OK", 200},
    {"HTTP/1.1 299 Of Its Own", 299},
    {"HTTP/1.1 404 Not Found", 404},
    {"HTTP/1.1 599 Of Its Own", 599},
    {"HTTP/1.1 500 caf\xc3\xa9", 500},
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_UPSTREAM_TESTS_STATUS_LINES_H_
