// Checks the deploy file and the program that its `run` starts against the requirements of the
// operators' page: one process, linked dynamically against the C library, that starts no other
// program and needs no Unix socket, splice or sendfile.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <linux/audit.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <sched.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <toml++/toml.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gateway/child_process.h"
#include "gateway/test_peers.h"

namespace paddlestile {
namespace {

using testing::Peer;
using testing::Port;

const std::string kSource = PADDLESTILE_SOURCE;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// Installs the seccomp filter of the operators' page in this process and the program that it
// executes. Forbidden calls, such as those that start a process, kill the process with SIGSYS, so
// that their use is visible. Creating a Unix socket fails as on a system without Unix sockets.
void InstallSeccompFilter() {
  constexpr uint32_t kKill = SECCOMP_RET_KILL_PROCESS;
  constexpr auto kNumber = static_cast<uint32_t>(offsetof(seccomp_data, nr));
  constexpr auto kFirst = static_cast<uint32_t>(offsetof(seccomp_data, args));
  std::vector<sock_filter> code;
  const auto load = [&](uint32_t at) {
    code.push_back(BPF_STMT(BPF_LD | BPF_W | BPF_ABS, at));
  };
  const auto result = [&](uint32_t value) {
    code.push_back(BPF_STMT(BPF_RET | BPF_K, value));
  };
  // arm64 has neither fork nor vfork: there clone and clone3, bounded below, start every process.
  constexpr long kForbidden[] = {
#ifdef SYS_fork
      SYS_fork,
#endif
      SYS_splice, SYS_sendfile, SYS_io_uring_setup,
#ifdef SYS_vfork
      SYS_vfork,
#endif
  };
  load(kNumber);
  for (const long call : kForbidden) {
    code.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, static_cast<uint32_t>(call), 0, 1));
    result(kKill);
  }
  // Allows clone for threads, which share the memory and are no vfork. The filter cannot inspect
  // the flags of clone3, so clone3 fails with ENOSYS and the C library falls back to clone.
  code.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_clone3, 0, 1));
  result(SECCOMP_RET_ERRNO | ENOSYS);
  code.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_clone, 0, 5));
  load(kFirst);
  code.push_back(BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, CLONE_VFORK, 2, 0));
  code.push_back(BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, CLONE_VM, 0, 1));
  result(SECCOMP_RET_ALLOW);
  result(kKill);
  code.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_socket, 0, 3));
  load(kFirst);
  code.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, AF_UNIX, 0, 1));
  result(SECCOMP_RET_ERRNO | EAFNOSUPPORT);
  result(SECCOMP_RET_ALLOW);
  sock_fprog program{static_cast<unsigned short>(code.size()), code.data()};
  if (prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) != 0 ||
      prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &program) != 0) {
    _exit(126);
  }
}

// Guards against a stale path in the file, which would fail the operators' build.
TEST(DeployFile, PathsExist) {
  const auto file = toml::parse_file(kSource + "/deploy/balancer.toml");
  for (const char* key : {"policy", "node"}) {
    const auto* const paths = file[key].as_array();
    ASSERT_NE(paths, nullptr) << key;
    for (const auto& path : *paths) {
      EXPECT_TRUE(std::filesystem::exists(kSource + "/" + path.value_or(std::string())))
          << key << ": " << path.value_or(std::string());
    }
  }
}

// Guards against a `run` that leaves a shell or starts a second process, which the operators' bench
// counts as a crash.
TEST(DeployFile, RunExecutesOneProcess) {
  const auto file = toml::parse_file(kSource + "/deploy/balancer.toml");
  const std::string run = file["run"].value_or(std::string());
  EXPECT_TRUE(run.starts_with("exec build/paddlestile")) << run;
  EXPECT_EQ(run.find_first_of(";&|`$()\n"), std::string::npos) << run;
  EXPECT_NE(file["build"].value_or(std::string()).find("cmake"), std::string::npos);
}

// Guards against a program that forks, splices or requires a Unix socket; it would fail on the
// operators' bench.
TEST(DeployedProgram, ServesUnderSeccompFilterAndIsLinkedDynamically) {
  const Port discovery;
  const Address address{0x7f4c0000U | (static_cast<uint32_t>(getpid()) & 0xffffU), 5000};
  const Address admin{address.host, 5001};
  const std::string path =
      ::testing::TempDir() + "paddlestile-deploy-" + std::to_string(getpid()) + ".json";
  std::ofstream(path) << R"({"seed":"1f","limits":{"sockets":256},"known":{"revision":1,)"
                         R"("complete":true,"members":[]},"settings":{"Classes":[{"Name":"read",)"
                         R"("Effect":"safe","Slo":400.0,"Deadline":1000.0}]}})";
  testing::Child child;
  child.Start({{"LB_NAME", "n1"},
               {"LB_LISTEN", ToText(address)},
               {"LB_ADMIN", ToText(admin)},
               {"LB_DISCOVERY", discovery.text()},
               {"LB_CONFIG", path},
               {"TMPDIR", ::testing::TempDir()}},
              {}, InstallSeccompFilter);
  ASSERT_TRUE(child.WaitForOutput("listens on")) << child.Text();
  EXPECT_NE(ReadFile("/proc/" + std::to_string(child.pid()) + "/maps").find("/libc.so.6"),
            std::string::npos);
  Peer client = Peer::To(address);
  client.Send("GET /read/x HTTP/1.1\r\nX-Call-Id: 1\r\nX-Budget-Ms: 900\r\n\r\n");
  for (int i = 0; i < 400 && !client.Has("HTTP/1.1 503"); ++i) {
    usleep(5000);
  }
  EXPECT_TRUE(client.Has("HTTP/1.1 503"));  // rejected, as there are no hosts
  child.Signal(SIGHUP);
  EXPECT_TRUE(child.WaitForOutput("configuration read again"));
  child.Signal(SIGTERM);
  EXPECT_EQ(child.Wait(), 0) << child.Text();
  std::filesystem::remove(path);
}

// ---- No code for a single deployment ------------------------------------------------------------

// XXH64 hashes of all names (sites, classes, tenants, zones, tiers, kinds) in the operators'
// deployments, whose files are not part of this repository.
const std::set<uint64_t> kDeploymentNameHashes = {
    0x000a649ac49ac13e, 0x0077db1b046896f8, 0x098065be87abd8aa, 0x098823c3c668c012,
    0x0f242aeff5b925f9, 0x106dc98eeb6e98db, 0x181c7277c55e280c, 0x1887b2a5db61cc2e,
    0x18a0cf2b12177e25, 0x1cc64fb6a501f095, 0x1df00564b86fe51e, 0x1e0d90c99eebc2e8,
    0x227f234ea06a7a93, 0x2836cda713d54244, 0x28559d73320a7a4f, 0x28e42074d83fe905,
    0x2c2ee457e0c2c01d, 0x30e7175b250fe256, 0x3393de6a72a7b7a6, 0x35ffb8fabff02ed9,
    0x38b4e1aef54b1c68, 0x38ea01e659903dfa, 0x39980289cfdc9f3f, 0x3ba71648a7fd62ed,
    0x3f82efab1bbe28cc, 0x4e5eb917a8b79583, 0x4eb7e82e61a2c8eb, 0x4fae1a0fd88261dc,
    0x507e16541a73653f, 0x54ad47e605771ba1, 0x57b5189768d96b09, 0x5a5d781c8ed89927,
    0x5e56f4452adb2583, 0x5eb14fe41f605bc3, 0x5ee2b8ec3df1e126, 0x615362cd2cb06861,
    0x6263d0d2ba3acf5a, 0x6638367a5aedcc02, 0x692b8635fb19fba4, 0x6ba1e9c96ea18ecb,
    0x6c7e7984c9ab0e8a, 0x71e6f6d1e157dbfe, 0x732a0af097d5510c, 0x754313f324d2b3f4,
    0x7a3932f976bebb5d, 0x7bb8ad841c094044, 0x7dc435e2eeb54c26, 0x7f7beb5a9baad751,
    0x82a3931143b4ccc4, 0x885f455e1098073c, 0x8897a4082756997a, 0x89b12873368132b2,
    0x8ae57f41360a128a, 0x8bbdda2116951d2d, 0x8df32fde307567fa, 0x9067cc2425ba2c44,
    0x921b5bbfd72bfc95, 0x929f93246550c471, 0x92f314ad8e69deb8, 0x9547b576d48a1f6a,
    0x9f1b07f2ea61c01a, 0xa23a560c04163b11, 0xa6fcd4199790dcb2, 0xa8ce38f99756b7b3,
    0xa971746d05944b5a, 0xac1023a1f9e2be1a, 0xae34ab9ceafba519, 0xb26732945e771787,
    0xb45f96a305f5e9c8, 0xbc61ee5fd8cb1453, 0xbe982b73ce1fae58, 0xbff21eba2eab8195,
    0xc311f4011f8321b3, 0xc641b2419f8a3ce1, 0xc80a2dff23a11b6b, 0xcf0d1adf368b5015,
    0xcfeb9fb2d9f1261e, 0xd08224ecc3b06340, 0xd2cb127ef33d2acb, 0xd522a89a4e6e95c6,
    0xd795d67f2e9e6996, 0xd8d25572b01ef589, 0xdb158d2c11179f8f, 0xeb0615c77119673a,
    0xec8998f098c5f3fa, 0xeecddbd91d4e484c, 0xf04d1b36a0aeb068, 0xf2052dd4ca7e7861,
    0xf2c93bf2771e809d, 0xf314e9852b5ad2b2, 0xf46a73bbf4387327, 0xf581f922c8954db1,
    0xf63017cba542b256, 0xf92c429fc5cf8138, 0xfb83495b011ae4fc, 0xfc17167a280eec96,
    0xfc91152c29eecd5c, 0xffa2de270fc52bce};

// Names of deployments that are also common English words. The sources may use them as words, but
// not as a complete string literal, which is how code would compare a name.
const std::set<std::string> kCommonWords = {"bind",    "handover", "large", "price",
                                            "release", "search",   "small", "status"};
// Exceptions: the operators' command, the call that it makes, and the member that replies.
const std::set<std::string> kAllowedUses = {"status in cluster_status_command.cpp",
                                            "status in blocking_call.cpp",
                                            "status in operator_calls.cpp"};

std::vector<std::string> SplitWords(const std::string& text) {
  std::vector<std::string> words;
  std::string word;
  for (const char c : text + ' ') {
    if (isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' || c == '-') {
      word += c;
    } else if (!word.empty()) {
      words.push_back(std::move(word));
      word.clear();
    }
  }
  return words;
}

void AddName(const toml::node* node, std::set<std::string>& names) {
  if (node != nullptr && node->is_string()) {
    names.insert(*node->value<std::string>());
  }
}

std::set<std::string> NamesInSite(const toml::table& site) {
  std::set<std::string> names;
  AddName(site.get("name"), names);
  if (const auto* const zones = site["net"]["zones"].as_array()) {
    for (const auto& zone : *zones) {
      AddName(&zone, names);
    }
  }
  for (const char* const list : {"class", "tenant", "tier"}) {
    const auto* const items = site[list].as_array();
    if (items == nullptr) {
      continue;
    }
    for (const auto& item : *items) {
      AddName(item.as_table()->get("name"), names);
      const auto* const kinds = (*item.as_table())["kind"].as_array();
      if (kinds == nullptr) {
        continue;
      }
      for (const auto& kind : *kinds) {
        AddName(kind.as_table()->get("name"), names);
      }
    }
  }
  return names;
}

// Guards against a rule for one class or zone by its name, and against values that are read from
// the file of a site.
TEST(Deployments, SourcesNameNoDeployment) {
  std::set<std::string> site_names;
  int sites = 0;
  for (const auto& at : std::filesystem::recursive_directory_iterator(kSource + "/deploy/sites")) {
    if (at.path().extension() != ".toml") {
      continue;
    }
    site_names.merge(NamesInSite(toml::parse_file(at.path().string())));
    ++sites;
  }
  EXPECT_EQ(sites, 2);
  EXPECT_GE(site_names.size(), 15u);
  std::map<std::string, std::string> texts = {
      {"deploy", ReadFile(kSource + "/deploy/balancer.toml")}};
  for (const auto& at : std::filesystem::recursive_directory_iterator(kSource + "/src")) {
    if (at.is_regular_file()) {
      texts[at.path().string()] = ReadFile(at.path().string());
    }
  }
  EXPECT_GE(texts.size(), 60u);
  for (const auto& [path, text] : texts) {
    EXPECT_EQ(text.find("deploy/sites"), std::string::npos) << path;
    for (const std::string& word : SplitWords(text)) {
      const bool known = site_names.contains(word) ||
                         kDeploymentNameHashes.contains(XXH64(word.data(), word.size(), 0));
      EXPECT_FALSE(known && !kCommonWords.contains(word)) << word << " in " << path;
    }
    for (const std::string& word : kCommonWords) {
      if (kAllowedUses.contains(word + " in " + std::filesystem::path(path).filename().string())) {
        continue;
      }
      EXPECT_EQ(text.find('"' + word + '"'), std::string::npos) << word << " in " << path;
    }
  }
}

}  // namespace
}  // namespace paddlestile
