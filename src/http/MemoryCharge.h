#pragma once

#include "http/CallerMemory.h"

namespace cranberry {

/// A part of CallerMemory, which is released on destruction.
/// Thread safety: that of CallerMemory.
class MemoryCharge
{
public:
    /// Precondition: @p memory outlives the charge.
    explicit MemoryCharge(CallerMemory &memory)
        : m_memory(memory)
    {
    }
    ~MemoryCharge() { set(Bytes(0)); }
    MemoryCharge(const MemoryCharge &) = delete;
    MemoryCharge &operator=(const MemoryCharge &) = delete;

    Bytes bytes() const { return m_bytes; }
    void set(Bytes bytes)
    {
        m_memory.add(Bytes(bytes.value() - m_bytes.value()));
        m_bytes = bytes;
    }
    /// As CallerMemory::makeRoomFor() for the bytes of this charge.
    bool makeRoom() { return m_memory.makeRoomFor(m_bytes); }

private:
    CallerMemory &m_memory;
    Bytes m_bytes{0};
};

} // namespace cranberry
