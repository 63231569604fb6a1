#include <iostream>

#include "simulator/adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  return paddlestile::RunHost(std::cin, std::cout, std::cerr);
}
