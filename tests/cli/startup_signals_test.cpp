// Signals that arrive while the program starts.
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>
#include <string>

#include "base/address.h"
#include "gateway/child_process.h"
#include "gateway/test_peers.h"

namespace paddlestile {
namespace {

constexpr int kStarts = 20;

void BlockAndRaise(int signal) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, signal);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  raise(signal);
}
void RaiseHup() {
  BlockAndRaise(SIGHUP);
}
void RaiseTerm() {
  BlockAndRaise(SIGTERM);
}

class StartupSignals : public ::testing::Test {
 protected:
  StartupSignals() {
    std::ofstream(config_path_)
        << R"({"seed":"1f","limits":{"sockets":64},"known":{"revision":1,"complete":true,)"
        << R"("members":[]},"settings":{"Classes":[{"Name":"read","Effect":"safe","Slo":400.0,)"
        << R"("Deadline":1000.0}],"Allowed":{"SendCap":3,"ConnectTimeout":250.0}}})";
    const Address address{0x7f4e0000U | (static_cast<uint32_t>(getpid()) & 0xffffU), 5000};
    environment_ = {{"LB_NAME", "n1"},
                    {"LB_LISTEN", ToText(address)},
                    {"LB_DISCOVERY", discovery_.text()},
                    {"LB_CONFIG", config_path_}};
  }
  ~StartupSignals() override { std::remove(config_path_.c_str()); }

  std::string config_path_ =
      ::testing::TempDir() + "paddlestile-startup-" + std::to_string(getpid()) + ".json";
  testing::Port discovery_;
  std::map<std::string, std::string> environment_;
};

// The default action of SIGHUP or SIGTERM must not kill a gateway that is starting.
TEST_F(StartupSignals, AreBlockedBeforeAnyLibraryIsInitialized) {
  testing::Child child;
  child.Start(
      {{"LD_PRELOAD", PADDLESTILE_SIGNAL_MASK_PROBE}, {"ASAN_OPTIONS", "verify_asan_link_order=0"}},
      {"version"});
  EXPECT_EQ(child.Wait(), 0);
  EXPECT_NE(child.Text().find("probe: blocked"), std::string::npos) << child.Text();
}

// The parent process may block the signals until the gateway does. One that arrives meanwhile is
// pending when the program starts.
TEST_F(StartupSignals, PendingSighupReloadsConfiguration) {
  for (int i = 0; i < kStarts; ++i) {
    testing::Child child;
    child.Start(environment_, {}, RaiseHup);
    ASSERT_TRUE(child.WaitForOutput("configuration read again")) << child.Text();
    child.Signal(SIGTERM);
    ASSERT_EQ(child.Wait(), 0) << child.Text();
  }
}

TEST_F(StartupSignals, PendingSigtermExitsWithZero) {
  for (int i = 0; i < kStarts; ++i) {
    testing::Child child;
    child.Start(environment_, {}, RaiseTerm);
    ASSERT_EQ(child.Wait(), 0) << child.Text();
  }
}

// SIGTERM ends a command that waits for input, here from a FIFO without a writer.
TEST_F(StartupSignals, SigtermEndsOtherCommands) {
  const std::string fifo = config_path_ + ".fifo";
  ASSERT_EQ(mkfifo(fifo.c_str(), 0600), 0);
  testing::Child child;
  child.Start({}, {"check", fifo});
  usleep(100'000);
  child.Signal(SIGTERM);
  EXPECT_EQ(child.Wait(), -1);
  EXPECT_EQ(child.pid(), -1) << "the process did not exit";
  std::remove(fifo.c_str());
}

}  // namespace
}  // namespace paddlestile
