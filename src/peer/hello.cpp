#include "peer/hello.h"

namespace paddlestile::peer {

using nlohmann::json;

json EncodeHello(const Hello& hello) {
  return {{"hello", hello.version}, {"bank", hello.cluster_name}, {"from", hello.from},
          {"to", hello.to},         {"life", hello.incarnation},  {"boot", hello.restart_count},
          {"known", hello.claim}};
}

Hello DecodeHello(const json& value) {
  Hello hello;
  hello.version = value.at("hello");
  hello.cluster_name = value.at("bank");
  hello.from = value.at("from");
  hello.to = value.at("to");
  hello.incarnation = value.at("life");
  hello.restart_count = value.at("boot");
  hello.claim = value.value("known", json());
  return hello;
}

}  // namespace paddlestile::peer
