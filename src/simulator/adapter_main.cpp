#include <iostream>

#include "simulator/adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  return paddlestile::simulator::RunHost(std::cin, std::cout, std::cerr);
}
