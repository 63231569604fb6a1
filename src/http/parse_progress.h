// The result of one step of an incremental parser.
#ifndef PADDLESTILE_HTTP_PARSE_PROGRESS_H_
#define PADDLESTILE_HTTP_PARSE_PROGRESS_H_

namespace paddlestile {

enum class ParseProgress {
  kNeedMore,  // more bytes are needed
  kDone,      // the end has been reached
  kMalformed  // final: parsing cannot continue
};

}  // namespace paddlestile

#endif  // PADDLESTILE_HTTP_PARSE_PROGRESS_H_
