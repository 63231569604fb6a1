#include <iostream>

#include "simulator/adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  return paddlestile::simulator::RunAdapter(std::cin, std::cout, std::cerr);
}
