#ifndef HIBISCUSGLADE_ADMISSION_CALL_ORIGINS_H_
#define HIBISCUSGLADE_ADMISSION_CALL_ORIGINS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace hibiscusglade {

/// Tells which classes are calls that upstreams of another service make for
/// requests that they run. Callers are beside the instances of all services, so
/// that requests of their classes come from all of them; calls come from the
/// instances of one service only. Load: classes without a rank, whose calls
/// name no customer and no depth. A class that callers use as well is none.
/// State: the classes and services of the last requests.
class CallOrigins {
 public:
  /// A request reached its owner.
  /// @param origin service of the instance where it began; empty: none there.
  void OnRequest(const std::string& request_class, const std::string& origin);

  /// @return whether the requests of a class are calls of begun work.
  bool AreCalls(const std::string& request_class) const;

 private:
  using Counts = std::map<std::string, double>;  ///< By origin.

  struct Origins {
    Counts counts;
    double total = 0;
  };

  bool ComeFromOneService(const Origins& origins) const;
  void JudgeAll();
  void Halve();

  std::map<std::string, Origins> classes_;
  std::set<std::string> calls_;  ///< Classes judged as calls.
  Origins all_;
  uint32_t since_judged_ = 0;
  uint32_t since_halved_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ADMISSION_CALL_ORIGINS_H_
