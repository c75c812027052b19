#include "http/RequestFraming.h"

namespace cranberry {

namespace {

/// A chunk of one byte has five bytes around it, and more if its size has leading zeros.
constexpr qint64 MaxFramingPerBodyByte = 16;

} // namespace

bool isFramingTooLarge(const RequestFraming &framing, Bytes maxHeaders)
{
    if (framing.unparsed > maxHeaders)
        return true;
    const qint64 aroundBody = framing.parsed.value() - framing.body.value();
    return aroundBody > maxHeaders.value() + MaxFramingPerBodyByte * framing.body.value();
}

} // namespace cranberry
