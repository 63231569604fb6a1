#include "peer/hello.h"

namespace paddlestile::peer {

using nlohmann::json;

json EncodeHello(const Hello& hello, const json& claim) {
  return {{"hello", kProtocolVersion},
          {"bank", hello.cluster_name},
          {"from", hello.from},
          {"to", hello.to},
          {"life", hello.incarnation},
          {"boot", hello.restart_count},
          {"known", claim}};
}

Hello DecodeHello(const json& value) {
  Hello hello;
  hello.cluster_name = value.at("bank");
  hello.from = value.at("from");
  hello.to = value.at("to");
  hello.incarnation = value.at("life");
  hello.restart_count = value.at("boot");
  return hello;
}

const json& VersionOfHello(const json& value) {
  return value.at("hello");
}

json ClaimOfHello(const json& value) {
  return value.value("known", json());
}

}  // namespace paddlestile::peer
