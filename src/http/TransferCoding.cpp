#include "http/TransferCoding.h"

#include "http/HttpHeaders.h"

#include <algorithm>

namespace cranberry {

bool hasOtherTransferCoding(const HttpHeaders &headers)
{
    return std::any_of(
        headers.fields().cbegin(), headers.fields().cend(), [](const HttpHeaders::Field &field) {
            return field.first.compare("Transfer-Encoding", Qt::CaseInsensitive) == 0
                && field.second.trimmed().compare("chunked", Qt::CaseInsensitive) != 0;
        });
}

} // namespace cranberry
