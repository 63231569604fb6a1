#include "config/name_table.h"

#include <utility>

namespace paddlestile {

void NameTable::Add(std::string name) {
  if (positions_.use_count() > 1) {
    positions_ = std::make_shared<Positions>(*positions_);
  }
  positions_->emplace(std::move(name), size_++);
}

size_t NameTable::Find(std::string_view name) const {
  const auto found = positions_->find(name);
  return found == positions_->end() ? size_ : found->second;
}

}  // namespace paddlestile
