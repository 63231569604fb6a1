// Fixtures of tests that write and read a gateway's configuration file.
#ifndef PADDLESTILE_CONFIG_GATEWAY_CONFIG_FIXTURE_H_
#define PADDLESTILE_CONFIG_GATEWAY_CONFIG_FIXTURE_H_

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <string>

#include "config/gateway_config.h"

namespace paddlestile {

inline const std::string kSettings =
    R"({"Me":1,"NInstances":3,"Zone":1,"FailureDomains":["north","south east"],)"
    R"("Kinds":["big","small"],"Classes":[)"
    R"({"Name":"read","Effect":"safe","Slo":400.0,"Deadline":1000.0,"Worth":1.0},)"
    R"({"Name":"book","Effect":"keyed","Group":"all","Window":1500.0,"Slo":300.0,"Deadline":900.0}],)"
    R"("Tenants":[{"Name":"t one","Share":0.5},{"Name":"two","Share":0.5}],)"
    R"("Allowed":{"Probes":true,"SendCap":3,"ConnectTimeout":250.0,"IdleClose":60000.0},)"
    R"("Stats":{"Source":"probe","Fields":["inflight","latency_ms"]},)"
    R"("Obligations":{"ColdFrom":0.3},"SomethingNew":{"Deep":[{"x":1}]},"Nothing":null})";

// Returns the text of a file with these settings and endpoint list entries.
inline std::string ConfigText(const std::string& settings, const std::string& members = "[]") {
  return R"({"name":"n1","seed":"8c1f30d27a5be964","limits":{"sockets":512},"known":)"
         R"({"revision":41,"complete":true,"members":)" +
         members + R"(},"settings":)" + settings + "}";
}

// Reads a file that the test writes, with the environment variables in env_.
class GatewayConfigTest : public ::testing::Test {
 protected:
  void Write(const std::string& text) {
    std::ofstream(path_, std::ios::binary) << text;
    env_["LB_CONFIG"] = path_;
  }
  GatewayConfig Read() {
    return ReadGatewayConfig(
        [this](const char* name) {
          const auto value = env_.find(name);
          return value == env_.end() ? nullptr : value->second.c_str();
        },
        [](double ms) { return Time(static_cast<int64_t>(ms)); });
  }
  // Returns the error of Read, or an empty string if it succeeds.
  std::string Error() {
    try {
      Read();
      return "";
    } catch (const ConfigError& error) {
      return error.what();
    }
  }
  void TearDown() override { std::remove(path_.c_str()); }

  std::string path_ =
      ::testing::TempDir() + "paddlestile-config-" + std::to_string(getpid()) + ".json";
  std::map<std::string, std::string> env_{
      {"LB_NAME", "n1"}, {"LB_LISTEN", "127.0.0.4:5000"}, {"LB_DISCOVERY", "127.0.0.9:8500"}};
};

// Reloads the file after it was read with kSettings.
class GatewayConfigReloadTest : public GatewayConfigTest {
 protected:
  void SetUp() override {
    Write(ConfigText(kSettings));
    previous = Read();
  }
  // Returns the text of the file with kSettings, in which `from` is replaced by `to`.
  static std::string ConfigTextWith(const std::string& from, const std::string& to) {
    std::string text = ConfigText(kSettings);
    const size_t position = text.find(from);
    EXPECT_NE(position, std::string::npos) << from;
    return text.replace(position, from.size(), to);
  }
  GatewayConfig Reload(const std::string& text) {
    Write(text);
    return ReloadGatewayConfig(previous, Time(5'000'000),
                               [](double ms) { return Time(static_cast<int64_t>(ms)); });
  }
  // Returns the error of Reload, or an empty string if it succeeds.
  std::string RejectionOf(const std::string& text) {
    try {
      Reload(text);
      return "";
    } catch (const ConfigError& error) {
      return error.what();
    }
  }
  GatewayConfig previous;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_GATEWAY_CONFIG_FIXTURE_H_
